/** What any instance does for callers: accepts, cancels and describes jobs, with the store as the one truth. */
import type {JobDeclaration} from '@turmericbay/scheduler';
import {isFinalState, JobState} from '@turmericbay/scheduler';
import type {KeyValueStore} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {OwnerClient} from './owner-client.js';
import type {Clock} from './ports.js';
import {
	cancellationPrefix, jobPrefix, parseJob, parseResult, resultPrefix, toJobState,
} from './records.js';
import type {StoreHealth} from './store-health.js';
import {wait} from './wait.js';

/** Pause between tries of a write whose outcome is unknown. */
const retryMilliseconds = 80;
/** Results that are kept at hand; older ones are read from the store. */
const maximumCachedStates = 20_000;

export type SubmitOutcome = 'accepted' | 'not-stored' | 'unknown';
export type CancelOutcome = 'cancelled' | 'unknown-job' | 'unavailable';
export type JobStateOutcome = {readonly type: 'known'; readonly state: JobState} | {readonly type: 'unknown-job'} | {readonly type: 'unavailable'};

export type JobOperations = ReturnType<typeof createJobOperations>;

export const createJobOperations = (options: {
	readonly store: KeyValueStore;
	readonly health: StoreHealth;
	readonly ownerClient: OwnerClient;
	readonly clock: Clock;
	readonly onUnreadable: (key: string) => void;
}) => {
	const {store, health, ownerClient, clock, onUnreadable} = options;
	/** Final states never change. */
	const finalStates = new Map<string, JobState>();

	const cacheFinalState = (id: string, state: JobState): void => {
		if (isFinalState(state)) {
			finalStates.set(id, state);
			if (finalStates.size > maximumCachedStates) {
				finalStates.delete(finalStates.keys().next().value!);
			}
		}
	};

	/** The job is read before its result, since the result is written before the job is removed. */
	const readStoredState = async (id: string): Promise<JobStateOutcome & {readonly revision?: number}> => {
		if (health.unavailableMilliseconds() !== undefined) {
			return {type: 'unavailable'};
		}

		const job = await store.read({key: jobPrefix + id});
		if (job.isErr()) {
			return {type: 'unavailable'};
		}

		const result = await store.read({key: resultPrefix + id});
		if (result.isErr()) {
			return {type: 'unavailable'};
		}

		if (result.value) {
			const state = parseResult(result.value);
			if (state !== undefined) {
				cacheFinalState(id, toJobState(state));
				return {type: 'known', state: toJobState(state)};
			}

			onUnreadable(result.value.key);
		}

		if (!job.value) {
			return {type: 'unknown-job'};
		}

		return {type: 'known', state: JobState.Queued, revision: job.value.modifiedRevision};
	};

	return {
		/**
		 * Stores a job. After an unknown outcome the same write is tried until the store has told: callers
		 * cannot send such a request again. A job that was not sent is refused while the store is down.
		 */
		async submit(declaration: JobDeclaration, deadline: number): Promise<SubmitOutcome> {
			const key = jobPrefix + declaration.id;
			let mayBeStored = false;
			for (;;) {
				if (!mayBeStored && health.unavailableMilliseconds() !== undefined) {
					return 'not-stored';
				}

				// eslint-disable-next-line no-await-in-loop -- Each try follows the one before it.
				const written = await store.transact({
					conditions: [{key, modifiedRevision: 0}, {key: resultPrefix + declaration.id, modifiedRevision: 0}],
					operations: [{type: 'put', key, value: JSON.stringify(declaration)}],
				});
				if (written.isOk()) {
					if (written.value.type === 'committed') {
						ownerClient.notifyJobStored(declaration, written.value.revision);
					}

					return 'accepted';
				}

				mayBeStored ||= written.error.kind !== StoreErrorKind.NotApplied && written.error.kind !== StoreErrorKind.TooLarge;
				if (!mayBeStored) {
					return 'not-stored';
				}

				if (clock.now() + retryMilliseconds >= deadline) {
					return 'unknown';
				}

				// eslint-disable-next-line no-await-in-loop -- Each try follows the one before it.
				await wait(retryMilliseconds);
			}
		},
		async cancel(id: string, deadline: number): Promise<CancelOutcome> {
			for (;;) {
				// eslint-disable-next-line no-await-in-loop -- Each try follows the one before it.
				const stored = await readStoredState(id);
				if (stored.type === 'unknown-job') {
					return 'unknown-job';
				}

				if (stored.type === 'known') {
					if (stored.revision === undefined) {
						return 'cancelled';
					}

					// eslint-disable-next-line no-await-in-loop -- Each try follows the one before it.
					const written = await store.transact({
						conditions: [{key: jobPrefix + id, modifiedRevision: stored.revision}],
						operations: [{type: 'put', key: cancellationPrefix + id, value: ''}],
					});
					if (written.isOk() && written.value.type === 'committed') {
						ownerClient.notifyJobCancelled(id);
						return 'cancelled';
					}
				}

				if (health.unavailableMilliseconds() !== undefined || clock.now() + retryMilliseconds >= deadline) {
					return 'unavailable';
				}

				// eslint-disable-next-line no-await-in-loop -- Each try follows the one before it.
				await wait(retryMilliseconds);
			}
		},
		async getState(id: string): Promise<JobStateOutcome> {
			const known = finalStates.get(id);
			if (known !== undefined) {
				return {type: 'known', state: known};
			}

			const told = await ownerClient.getJobState(id);
			if (told !== undefined) {
				cacheFinalState(id, told);
				return {type: 'known', state: told};
			}

			return readStoredState(id);
		},
		/** Jobs of the queue of which nothing has begun; undefined if neither the owner nor the store answers. */
		async countPending(queue: string): Promise<number | undefined> {
			const told = await ownerClient.countPending(queue);
			if (told !== undefined) {
				return told;
			}

			// Without an owner nothing begins; jobs already begun are counted as well, since only the owner knows them.
			const jobs = await store.list({prefix: jobPrefix, limit: 500});
			return jobs.isErr() ? undefined : jobs.value.entries.filter(entry => parseJob(entry)?.queue === queue).length;
		},
	};
};
