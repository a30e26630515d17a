/** Operations on jobs for callers, served by every instance. The store is the source of truth; the owner of the jobs only gives faster and more detailed responses. */
import type {JobDeclaration} from '@turmericbay/scheduler';
import {isFinalState, JobState} from '@turmericbay/scheduler';
import type {KeyValueStore} from '@turmericbay/types';
import type {OwnerClient} from './owner-client.js';
import {createPendingCounts} from './pending-counts.js';
import type {Clock} from './ports.js';
import {
	cancellationPrefix, jobPrefix, parseResult, resultPrefix, toJobState,
} from './records.js';
import type {StoreHealth} from './store-health.js';
import {wait} from './wait.js';
import type {AdmissionControl} from './admission-control.js';
import type {Refusal} from './admission.js';
import {decisionShare} from './admission.js';
import type {SizeRefusal} from './job-size.js';
import {checkJobSize} from './job-size.js';
import {createJobStoring, retryMilliseconds} from './job-storing.js';
import {createRefusalRecords} from './refusal-records.js';

/** Older final states are read from the store. */
const maximumCachedStates = 20_000;

/** A refused job is not stored and never runs. */
export type SubmitOutcome = 'accepted' | 'not-stored' | 'unknown' | Refusal | SizeRefusal;
export type CancelOutcome = 'cancelled' | 'unknown-job' | 'unavailable';
export type JobStateOutcome = {readonly type: 'known'; readonly state: JobState} | {readonly type: 'unknown-job'} | {readonly type: 'unavailable'};

export type AdmissionLog = {
	/** The refusal is recorded and is about to be sent. */
	jobRefused(declaration: JobDeclaration, refusal: Refusal): void;
	/** The job is handled like an admitted one. */
	refusalNotRecorded(job: string, message: string): void;
};

export type JobOperations = ReturnType<typeof createJobOperations>;

/** Tells the attempts of all instances apart. */
const chooseAttemptName = (random: () => number): string => `${random().toString(36).slice(2)}${random().toString(36).slice(2)}`;

export const createJobOperations = (options: {
	readonly store: KeyValueStore;
	readonly health: StoreHealth;
	readonly ownerClient: OwnerClient;
	readonly clock: Clock;
	readonly admission: AdmissionControl;
	/** Largest value that the store takes. */
	readonly maximumValueBytes: number;
	readonly random: () => number;
	/** Time by which the store had reached the revision; undefined if no response has shown it. */
	readonly getReachedTime: (revision: number) => number | undefined;
	readonly log: AdmissionLog;
	readonly onUnreadable: (key: string) => void;
}) => {
	const {store, health, ownerClient, clock, admission, maximumValueBytes, random, getReachedTime, log, onUnreadable} = options;
	const refusalRecords = createRefusalRecords({store, clock, wait});
	const storeJob = createJobStoring({
		store, health, clock, wait, getReachedTime,
		onStored(declaration, revision) {
			admission.recordAccepted(declaration);
			ownerClient.notifyJobStored(declaration, revision);
		},
	});
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

	/** Returns undefined if the refusal is not known to be recorded. */
	const refuse = async (request: {readonly declaration: JobDeclaration; readonly decision: Refusal; readonly attempt: string; readonly receivedAt: number}): Promise<SubmitOutcome | undefined> => {
		const {declaration, decision, attempt, receivedAt} = request;
		const objective = admission.getPolicy(declaration.queue)?.objectiveMilliseconds ?? 0;
		const recorded = await refusalRecords.record({
			id: declaration.id, value: {attempt, cause: decision.cause}, latestAt: receivedAt + (objective * decisionShare),
		});
		switch (recorded.type) {
			case 'recorded': {
				admission.recordRefused(decision);
				log.jobRefused(declaration, decision);
				return decision;
			}

			case 'already-stored': {
				return 'accepted';
			}

			case 'not-recorded': {
				log.refusalNotRecorded(declaration.id, recorded.message);
				return undefined;
			}
		}
	};

	return {
		/**
		 * Stores a job, unless it is refused because it is too large or could not be of use. `receivedAt`: when the caller's
		 * request arrived. If the refusal cannot be recorded in time, the job is handled like an admitted one.
		 */
		async submit(declaration: JobDeclaration, deadline: number, receivedAt = clock.now()): Promise<SubmitOutcome> {
			const tooLarge = checkJobSize(declaration, maximumValueBytes);
			if (tooLarge) {
				return tooLarge;
			}

			if (health.unavailableMilliseconds() !== undefined) {
				return 'not-stored';
			}

			const decision = admission.decide(declaration, receivedAt);
			const attempt = decision.type === 'refuse' ? chooseAttemptName(random) : undefined;
			if (decision.type === 'refuse' && attempt !== undefined) {
				const refused = await refuse({
					declaration, decision, attempt, receivedAt,
				});
				if (refused) {
					return refused;
				}
			}

			return storeJob({
				declaration, attempt, deadline, startedAt: receivedAt,
			});
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
