/** Stores a job, unless a refusal of it has been recorded since the attempt began. */
import type {JobDeclaration} from '@turmericbay/scheduler';
import type {KeyValueStore} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {Clock} from './ports.js';
import {
	jobPrefix, parseRefusal, refusalPrefix, resultPrefix,
} from './records.js';
import type {StoreHealth} from './store-health.js';

/** Delay before a write is retried. */
export const retryMilliseconds = 80;

export type StoreJobOutcome = 'accepted' | 'not-stored' | 'unknown';

/** Why a write whose conditions did not hold was rejected. */
type Obstacle
	= | {readonly type: 'stored'}
		| {readonly type: 'refused'; readonly revision: number; readonly attempt: string | undefined}
		/** The obstacle is gone. */
		| {readonly type: 'none'}
		| {readonly type: 'unreadable'};

export const createJobStoring = (options: {
	readonly store: KeyValueStore;
	readonly health: StoreHealth;
	readonly clock: Clock;
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Time by which the store had reached the revision; undefined if no response has shown it. */
	readonly getReachedTime: (revision: number) => number | undefined;
	readonly onStored: (declaration: JobDeclaration, revision: number) => void;
}) => {
	const {store, health, clock, wait, getReachedTime, onStored} = options;

	/** A refusal exists only while neither the job nor its result does. The job is read before its result, which is written before the job is deleted. */
	const findObstacle = async (id: string): Promise<Obstacle> => {
		const refusal = await store.read({key: refusalPrefix + id});
		if (refusal.isErr()) {
			return {type: 'unreadable'};
		}

		if (refusal.value) {
			return {type: 'refused', revision: refusal.value.modifiedRevision, attempt: parseRefusal(refusal.value)?.attempt};
		}

		for (const prefix of [jobPrefix, resultPrefix]) {
			// eslint-disable-next-line no-await-in-loop -- The order of the reads matters.
			const entry = await store.read({key: prefix + id});
			if (entry.isErr()) {
				return {type: 'unreadable'};
			}

			if (entry.value) {
				return {type: 'stored'};
			}
		}

		return {type: 'none'};
	};

	/** True for a refusal that this attempt recorded without sending it, and for one recorded before this attempt began. */
	const mayRemove = (refusal: {readonly revision: number; readonly attempt: string | undefined}, attempt: string | undefined, startedAt: number): boolean =>
		(attempt !== undefined && refusal.attempt === attempt) || (getReachedTime(refusal.revision) ?? Number.POSITIVE_INFINITY) <= startedAt;

	/**
	 * `attempt` names the refusal that this attempt may have recorded without sending it. If the outcome of the write is unknown, the write is retried until the deadline, since not every caller
	 * sends the request again. A job of which no write was attempted is rejected at once while the store is unavailable.
	 */
	return async (request: {readonly declaration: JobDeclaration; readonly attempt: string | undefined; readonly startedAt: number; readonly deadline: number}): Promise<StoreJobOutcome> => {
		const {declaration, attempt, startedAt, deadline} = request;
		const {id} = declaration;
		const value = JSON.stringify(declaration);
		let mayBeStored = false;
		/** Revision of the refusal of an earlier attempt, which is removed with the write. */
		let refusalRevision = 0;
		for (;;) {
			if (!mayBeStored && health.unavailableMilliseconds() !== undefined) {
				return 'not-stored';
			}

			// eslint-disable-next-line no-await-in-loop -- Attempts are sequential.
			const written = await store.transact({
				conditions: [{key: jobPrefix + id, modifiedRevision: 0}, {key: resultPrefix + id, modifiedRevision: 0}, {key: refusalPrefix + id, modifiedRevision: refusalRevision}],
				operations: [{type: 'put', key: jobPrefix + id, value}, ...(refusalRevision > 0 ? [{type: 'delete', key: refusalPrefix + id} as const] : [])],
			});
			if (written.isOk()) {
				if (written.value.type === 'committed') {
					onStored(declaration, written.value.revision);
					return 'accepted';
				}

				// eslint-disable-next-line no-await-in-loop -- Attempts are sequential.
				const obstacle = await findObstacle(id);
				switch (obstacle.type) {
					case 'stored': {
						// An earlier attempt was applied.
						return 'accepted';
					}

					case 'refused': {
						if (!mayRemove(obstacle, attempt, startedAt)) {
							// Another attempt has told the caller that the job never runs. While its record exists, no write of this attempt can be applied.
							return 'not-stored';
						}

						refusalRevision = obstacle.revision;
						if (clock.now() < deadline) {
							continue;
						}

						break;
					}

					case 'none': {
						refusalRevision = 0;
						break;
					}

					case 'unreadable': {
						mayBeStored = true;
						break;
					}
				}
			} else {
				mayBeStored ||= written.error.kind !== StoreErrorKind.NotApplied && written.error.kind !== StoreErrorKind.TooLarge;
				if (!mayBeStored) {
					return 'not-stored';
				}
			}

			if (clock.now() + retryMilliseconds >= deadline) {
				return mayBeStored ? 'unknown' : 'not-stored';
			}

			// eslint-disable-next-line no-await-in-loop -- Attempts are sequential.
			await wait(retryMilliseconds);
		}
	};
};
