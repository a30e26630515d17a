/** Operations on jobs for callers, served by every instance. The store is the source of truth; the owner of the jobs only gives faster and more detailed responses. */
import type {JobDeclaration} from '@turmericbay/scheduler';
import {isFinalState, JobState} from '@turmericbay/scheduler';
import type {KeyValueStore} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {OwnerClient} from './owner-client.js';
import {createPendingCounts} from './pending-counts.js';
import type {Clock} from './ports.js';
import {
	cancellationPrefix, jobPrefix, parseResult, resultPrefix, toJobState,
} from './records.js';
import type {StoreHealth} from './store-health.js';
import {wait} from './wait.js';

/** Delay before a write is retried. */
const retryMilliseconds = 80;
/** Older final states are read from the store. */
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
	/** Cache of the states of ended jobs; they never change. */
	const finalStates = new Map<string, JobState>();
	const pendingCounts = createPendingCounts({store, clock});

	const cacheFinalState = (id: string, state: JobState): void => {
		if (isFinalState(state)) {
			finalStates.set(id, state);
			if (finalStates.size > maximumCachedStates) {
				finalStates.delete(finalStates.keys().next().value!);
			}
		}
	};

	/** Reads the job before its result: results are written before jobs are deleted, so an accepted job is found in at least one place. */
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
		 * Stores a job. If the outcome of the write is unknown, the write is retried until the deadline,
		 * since not every caller sends the request again. A job of which no write was attempted is
		 * rejected at once while the store is unavailable.
		 */
		async submit(declaration: JobDeclaration, deadline: number): Promise<SubmitOutcome> {
			const key = jobPrefix + declaration.id;
			let mayBeStored = false;
			for (;;) {
				if (!mayBeStored && health.unavailableMilliseconds() !== undefined) {
					return 'not-stored';
				}

				// eslint-disable-next-line no-await-in-loop -- Attempts are sequential.
				const written = await store.transact({
					conditions: [{key, modifiedRevision: 0}, {key: resultPrefix + declaration.id, modifiedRevision: 0}],
					operations: [{type: 'put', key, value: JSON.stringify(declaration)}],
				});
				if (written.isOk()) {
					if (written.value.type === 'committed') {
						ownerClient.notifyJobStored(declaration, written.value.revision);
					}

					// A failed condition means that the job or its result is already stored: an earlier attempt was applied.
					return 'accepted';
				}

				mayBeStored ||= written.error.kind !== StoreErrorKind.NotApplied && written.error.kind !== StoreErrorKind.TooLarge;
				if (!mayBeStored) {
					return 'not-stored';
				}

				if (clock.now() + retryMilliseconds >= deadline) {
					return 'unknown';
				}

				// eslint-disable-next-line no-await-in-loop -- Attempts are sequential.
				await wait(retryMilliseconds);
			}
		},
		async cancel(id: string, deadline: number): Promise<CancelOutcome> {
			for (;;) {
				// eslint-disable-next-line no-await-in-loop -- Attempts are sequential.
				const stored = await readStoredState(id);
				if (stored.type === 'unknown-job') {
					return 'unknown-job';
				}

				if (stored.type === 'known') {
					if (stored.revision === undefined) {
						return 'cancelled';
					}

					// eslint-disable-next-line no-await-in-loop -- Attempts are sequential.
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

				// eslint-disable-next-line no-await-in-loop -- Attempts are sequential.
				await wait(retryMilliseconds);
			}
		},
		async getState(id: string): Promise<JobStateOutcome> {
			const known = finalStates.get(id);
			if (known !== undefined) {
				return {type: 'known', state: known};
			}

			const state = await ownerClient.getJobState(id);
			if (state !== undefined) {
				cacheFinalState(id, state);
				return {type: 'known', state};
			}

			return readStoredState(id);
		},
		/** Counts the jobs of the queue of which no task has started. Returns undefined if neither the owner nor the store responds. */
		async countPending(queue: string): Promise<number | undefined> {
			return await ownerClient.countPending(queue) ?? pendingCounts.count(queue);
		},
	};
};
