/** The jobs that the owner runs: loaded from the store into the scheduler, with their progress and results written back. */
import {Buffer} from 'node:buffer';
import type {
	JobDeclaration, JobProgress, JobRow, Scheduler,
} from '@turmericbay/scheduler';
import {captureProgress, isActive, JobState} from '@turmericbay/scheduler';
import type {KeyValueStore, StoredEntry, StoreOperation} from '@turmericbay/types';
import type {CommitQueue} from './commit-queue.js';
import type {OwnerLog} from './owner-log.js';
import type {Clock} from './ports.js';
import type {FinalState} from './records.js';
import {
	cancellationPrefix, jobPrefix, parseJob, parseProgress, progressPrefix, resultPrefix, toJobState, toFinalState,
} from './records.js';

/** Lease of results; they stay readable at least this long, less the refresh interval. The platform requires 120 s. */
const resultRetentionSeconds = 600;
/** Results written within this time share a lease. */
const resultLeaseRefreshMilliseconds = 60_000;
/** Final states are cached in memory for this time; later they are read from the store. */
const resultCacheMilliseconds = 150_000;
/** Finished jobs leave the tables at this interval, since each check reads all stored results. */
const removalIntervalMilliseconds = 200;

export type OwnedJobs = ReturnType<typeof createOwnedJobs>;

export const createOwnedJobs = (options: {
	readonly store: KeyValueStore;
	readonly commitQueue: CommitQueue;
	/** Largest value that the store takes. */
	readonly maximumValueBytes: number;
	readonly scheduler: Scheduler;
	readonly clock: Clock;
	readonly onChange: () => void;
	readonly log: OwnerLog;
}) => {
	const {store, commitQueue, maximumValueBytes, scheduler, clock, onChange, log} = options;
	/** Final states that are stored, by job. Only these are reported to callers. */
	const storedResults = new Map<string, {readonly state: FinalState; readonly at: number}>();
	/** Jobs whose result is being stored. */
	const pendingResults = new Set<string>();
	/** Cancellations that arrived before their job. */
	const earlyCancellations = new Set<string>();
	let resultLeaseId: string | undefined;
	let leaseRequestedAt = Number.NEGATIVE_INFINITY;
	let removedAt = Number.NEGATIVE_INFINITY;

	const refreshResultLease = async (): Promise<void> => {
		const granted = await store.grantLease({timeToLiveSeconds: resultRetentionSeconds});
		if (granted.isOk()) {
			resultLeaseId = granted.value.leaseId;
		} else {
			log.storeCallFailed('result lease', granted.error.message);
		}
	};

	const storeResult = async (job: JobRow, state: FinalState): Promise<void> => {
		const {id} = job.declaration;
		if (pendingResults.has(id)) {
			return;
		}

		pendingResults.add(id);
		// One transaction, so that the next owner finds either the job with its progress or the result.
		await commitQueue.commit([
			{
				type: 'put', key: resultPrefix + id, value: state, ...(resultLeaseId !== undefined && {leaseId: resultLeaseId}),
			},
			{type: 'delete', key: jobPrefix + id},
			{type: 'delete', key: progressPrefix + id},
			{type: 'delete', key: cancellationPrefix + id},
		]);
		storedResults.set(id, {state, at: clock.now()});
		pendingResults.delete(id);
		log.jobFinished(job);
		onChange();
	};

	/** Undefined if the store would not take it even without checkpoints. */
	const encodeProgress = (job: JobRow): string | undefined => {
		const progress = captureProgress(job);
		const complete = JSON.stringify(progress);
		const bytes = Buffer.byteLength(complete);
		if (bytes <= maximumValueBytes) {
			return complete;
		}

		// Without its checkpoint, a task only repeats work when it starts again.
		const reduced = JSON.stringify({...progress, checkpoints: {}} satisfies JobProgress);
		const fits = Buffer.byteLength(reduced) <= maximumValueBytes;
		log.progressTooLarge(job, bytes, fits ? 'stored without checkpoints' : 'job failed');
		return fits ? reduced : undefined;
	};

	const add = (declaration: JobDeclaration, isRestored: boolean, progress?: StoredEntry): void => {
		const {id} = declaration;
		if (scheduler.jobs.has(id) || storedResults.has(id)) {
			return;
		}

		const storedProgress = progress && parseProgress(progress);
		scheduler.addJob(declaration, {
			...(storedProgress && {progress: storedProgress}), isRestored, now: clock.now(), wallNow: clock.wallNow(),
		});
		if (earlyCancellations.delete(id)) {
			scheduler.cancelJob(id);
		}

		onChange();
	};

	return {
		add,
		addEntries(entries: readonly StoredEntry[], isRestored: boolean, progress?: ReadonlyMap<string, StoredEntry>): void {
			for (const entry of entries) {
				const declaration = parseJob(entry);
				if (declaration) {
					add(declaration, isRestored, progress?.get(declaration.id));
				} else {
					log.recordUnreadable(entry.key);
				}
			}
		},
		cancel(id: string): void {
			if (scheduler.jobs.has(id)) {
				scheduler.cancelJob(id);
			} else if (!storedResults.has(id)) {
				earlyCancellations.add(id);
			}

			onChange();
		},
		/** Queues all changes of jobs for the store. Resolves once they are stored. */
		async persistChanges(): Promise<void> {
			const writes: Array<Promise<void>> = [];
			const operations: StoreOperation[] = [];
			for (const job of scheduler.changedJobs) {
				const value = isActive(job) ? encodeProgress(job) : undefined;
				if (value === undefined) {
					// A value that the store never takes would keep all later changes from being stored.
					scheduler.failJob(job);
				}

				const state = toFinalState(job.state);
				if (value !== undefined) {
					operations.push({type: 'put', key: progressPrefix + job.declaration.id, value});
				} else if (state !== undefined && !storedResults.has(job.declaration.id)) {
					writes.push(storeResult(job, state));
				}
			}

			scheduler.changedJobs.clear();
			// Changes that an earlier call has queued may not be stored yet.
			await Promise.all([...writes, commitQueue.commit(operations), commitQueue.flush()]);
		},
		tick(now: number): void {
			if (now - leaseRequestedAt > resultLeaseRefreshMilliseconds) {
				leaseRequestedAt = now;
				void refreshResultLease();
			}

			if (now - removedAt < removalIntervalMilliseconds) {
				return;
			}

			removedAt = now;
			for (const [id, {at}] of storedResults) {
				const job = scheduler.jobs.get(id);
				if (job && scheduler.hasNoRuns(job)) {
					scheduler.removeJob(job);
				} else if (!job && now - at > resultCacheMilliseconds) {
					storedResults.delete(id);
				}
			}
		},
		/** The state to report to callers: a final state only once it is stored. */
		getState(id: string): JobState | undefined {
			const result = storedResults.get(id);
			if (result) {
				return toJobState(result.state);
			}

			const job = scheduler.jobs.get(id);
			return job && (isActive(job) ? job.state : JobState.Running);
		},
		countPending(queue: string): number {
			let count = 0;
			for (const job of scheduler.jobs.values()) {
				count += job.declaration.queue === queue && isActive(job) && !job.begun ? 1 : 0;
			}

			return count;
		},
	};
};
