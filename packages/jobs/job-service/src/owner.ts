/** The owner of the jobs: loads the stored jobs and run records, takes over the workers, and runs the scheduler until it loses ownership. */
import type {JobDeclaration, JobState} from '@turmericbay/scheduler';
import {createScheduler} from '@turmericbay/scheduler';
import type {KeyValueStore, StoredEntry} from '@turmericbay/types';
import {createCommitQueue} from './commit-queue.js';
import {createFencingTokens} from './fencing-tokens.js';
import {computeMaximumRows} from './job-size.js';
import {createMachineManagement} from './machine-management.js';
import {createOrderExecutor} from './order-executor.js';
import {createOwnedEvacuations} from './owned-evacuations.js';
import {createOwnedJobs} from './owned-jobs.js';
import {createOwnerLoadFigures} from './owner-load-figures.js';
import type {OwnedWorkers} from './owned-workers.js';
import {createOwnedWorkers, handoverExtensionMilliseconds, leaseExtensionMilliseconds} from './owned-workers.js';
import type {OpenDispatchChannel} from './dispatch-channel.js';
import {createOwnerDispatch} from './owner-dispatch.js';
import type {OwnerLog} from './owner-log.js';
import type {LeaseRenewal, Ownership} from './ownership.js';
import type {
	AdviceClient, Clock, Configuration, MachineClient, PlatformRecordCodec, WorkerClient,
} from './ports.js';
import {
	cancellationPrefix, idFromKey, jobPrefix, machineOrderPrefix, progressPrefix, runPrefix, waveProgressPrefix,
} from './records.js';
import {createRunRecords} from './run-records.js';
import type {WatchedPrefix} from './stored-state.js';
import {createStoredState} from './stored-state.js';
import {wait} from './wait.js';
import {createWorkerSession} from './worker-session.js';

/** Longest time between two ticks. */
const tickIntervalMilliseconds = 50;
/** Responses that arrive within this time are handled in one tick. */
const tickCoalescingMilliseconds = 10;
/** The time between two ticks is at least this many times the duration of the latest tick, so that planning leaves processor time for the calls of the responses. */
const tickRestFactor = 2;
/** A longer time between two ticks is logged: meanwhile no task was started. */
const delayedTickMilliseconds = 500;

export type Owner = Awaited<ReturnType<typeof createOwner>>;

export type OwnerOptions = {
	readonly store: KeyValueStore;
	/** Largest value that the store takes. */
	readonly maximumValueBytes: number;
	readonly recordCodec: PlatformRecordCodec;
	readonly ownership: Ownership;
	readonly leaseRenewal: LeaseRenewal;
	/** Calls workers from this instance. */
	readonly workerClient: WorkerClient;
	readonly openDispatchChannel: OpenDispatchChannel;
	readonly largestDirectFleet?: number;
	readonly adviceClient: AdviceClient | undefined;
	/** Undefined where the platform has no machine service. */
	readonly machineClient: MachineClient | undefined;
	readonly instance: string;
	readonly clock: Clock;
	readonly configuration: () => Configuration;
	readonly workerLeaseMilliseconds: number;
	/** Longest lease that workers take. */
	readonly maximumLeaseMilliseconds: number;
	/** Time after which no task may start in a zone that the operator evacuates; undefined where zones are not evacuated. */
	readonly evacuationMilliseconds: number | undefined;
	/** How many times as long a task takes away from its preferred rack; 1 if undefined. */
	readonly farFactor: number | undefined;
	/** Time by which the store had reached the revision; undefined if no response has shown it. */
	readonly getReachedTime: (revision: number) => number | undefined;
	readonly onLost: (reason: string) => void;
	readonly log: OwnerLog;
};

/** Returns undefined if the ownership was lost while the stored jobs were being read. */
export const createOwner = async (options: OwnerOptions) => {
	const {store, maximumValueBytes, recordCodec, ownership, leaseRenewal, adviceClient, machineClient, instance, clock, configuration, workerLeaseMilliseconds, maximumLeaseMilliseconds, evacuationMilliseconds, farFactor, getReachedTime, onLost, log} = options;
	const tookOverAt = clock.now();
	let isEnded = false;
	let isLoaded = false;
	/** After a handover, the end of the time in which this owner still extends leases. */
	let handoverEndsAt = Number.POSITIVE_INFINITY;

	const scheduler = createScheduler({
		epoch: ownership.epoch, farFactor, maximumOpenRows: computeMaximumRows(maximumValueBytes), emit(event) {
			log.schedulerEvent(event);
		},
	});
	const {workerClient, ...dispatch} = createOwnerDispatch({
		...options, epoch: ownership.epoch, workers: scheduler.workers, getMachineCount: () => countMachines(),
	});
	const fencingTokens = createFencingTokens({epoch: ownership.epoch, scheduler});
	const loseOwnership = (reason: string): void => {
		if (!isEnded) {
			onLost(reason);
		}
	};

	const commitQueue = createCommitQueue({
		store, epoch: ownership.epoch, revision: ownership.commitRevision,
		onFenced() {
			loseOwnership('another owner has written');
		},
		onFailure(message) {
			log.storeCallFailed('commit', message);
		},
		wait,
	});

	const mayStart = (): boolean => !isEnded && isLoaded && leaseRenewal.isValid();
	/** Maintenance goes on while the list of evacuated zones is not confirmed. */
	const mayStartTasks = (): boolean => mayStart() && evacuations.isConfirmed();
	const mayExtendLeases = (): boolean => clock.now() < Math.min(leaseRenewal.renewedAt() + leaseExtensionMilliseconds, handoverEndsAt);
	const onFenced = (): void => {
		loseOwnership('a worker has seen a newer owner');
	};

	let pendingTick: NodeJS.Timeout | undefined;
	let tickMilliseconds = 0;
	const requestTick = (): void => {
		pendingTick ??= setTimeout(() => {
			pendingTick = undefined;
			tick();
		}, Math.min(tickIntervalMilliseconds, Math.max(tickCoalescingMilliseconds, tickRestFactor * tickMilliseconds)));
	};

	const evacuations = createOwnedEvacuations({
		store, recordCodec, clock, evacuationMilliseconds, scheduler, onChange: requestTick, log,
	});
	const jobs = createOwnedJobs({
		store, commitQueue, maximumValueBytes, scheduler, clock, onChange: requestTick, log,
	});
	const runRecords = createRunRecords({
		commitQueue, epoch: ownership.epoch, now: clock.now, persistChanges: jobs.persistChanges, onUnreadable: log.recordUnreadable,
	});
	const workers: OwnedWorkers = createOwnedWorkers({
		scheduler, runRecords, recordCodec, workerClient, clock, tookOverAt, workerLeaseMilliseconds, onChange: requestTick, log,
		createSession: worker => createWorkerSession({
			worker, workerClient, scheduler, clock, fencingTokens, workerLeaseMilliseconds, maximumLeaseMilliseconds, mayExtendLeases, onFenced,
			persistChanges: jobs.persistChanges,
			onChange: requestTick,
			onCallFailed: log.workerCallFailed,
			onRecovered: log.workerRecovered,
			onGone(gone) {
				workers.removeLost(gone);
			},
		}),
	});
	const orderExecutor = createOrderExecutor({
		scheduler, workerClient, adviceClient, clock, fencingTokens, mayStart: mayStartTasks, onFenced,
		getSession: worker => workers.getSession(worker),
		recordRun: runRecords.record,
		onChange: requestTick,
		onStartAttempted: log.startAttempted,
		onStopAttempted: log.stopAttempted,
	});

	const {orderGuard, maintenance, poolMoves, getMovableCapacity = () => 0, countMachines = () => 0} = machineClient
		? createMachineManagement({
			scheduler, machineClient, recordCodec, clock, holder: instance, epoch: ownership.epoch, tookOverAt, getReachedTime, mayOrder: mayStart, mayMove: mayStartTasks,
			commit: commitQueue.commit, retire: workers.retire, log,
		})
		: {};

	const loadFigures = createOwnerLoadFigures({
		scheduler, clock, tookOverAt, getMovableCapacity,
	});

	let lastTickAt = tookOverAt;
	const tick = (): void => {
		if (isEnded) {
			return;
		}

		const sinceLastTick = clock.now() - lastTickAt;
		lastTickAt += sinceLastTick;
		if (sinceLastTick > delayedTickMilliseconds) {
			log.ownerDelayed(sinceLastTick);
		}

		// Also while the records are being read, which can take longer than the lease.
		leaseRenewal.tick();
		evacuations.tick();
		if (!isLoaded) {
			return;
		}

		const now = clock.now();
		workers.tick(now);
		for (const row of scheduler.takeAdoptedRuns()) {
			void runRecords.record(row);
		}

		runRecords.tick();
		for (const order of scheduler.plan({now, wallNow: clock.wallNow(), mayStart: mayStartTasks()})) {
			orderExecutor.execute(order);
		}

		if (scheduler.changedJobs.size > 0) {
			void jobs.persistChanges();
		}

		jobs.tick(now);
		maintenance?.tick();
		poolMoves?.tick();
		tickMilliseconds = clock.now() - now;
	};

	const storedState = createStoredState({
		store, wait, now: clock.now, onFailure: log.storeCallFailed,
		isCancelled: () => isEnded || leaseRenewal.isEnded(),
	});

	const watchedPrefixes: readonly WatchedPrefix[] = [
		{
			prefix: recordCodec.workerPrefix,
			onEntries(entries) {
				workers.applyEntries(entries, false);
			},
			onSnapshot(entries) {
				workers.applyEntries(entries, false);
				workers.markMissingUnregistered(entries);
			},
			onDelete(keys) {
				workers.markUnregistered(keys.map(key => idFromKey(key)));
			},
		},
		// Deletions of these need no handling: only this owner deletes jobs and cancellations, and waves are never deleted.
		{
			prefix: jobPrefix,
			onEntries(entries) {
				jobs.addEntries(entries, false);
			},
		},
		{
			prefix: cancellationPrefix,
			onEntries(entries) {
				for (const entry of entries) {
					jobs.cancel(idFromKey(entry.key));
				}
			},
		},
	];
	const wavePrefixes: readonly WatchedPrefix[] = [{
		prefix: recordCodec.wavePrefix,
		onEntries(entries) {
			for (const entry of entries) {
				if (maintenance?.addWave(entry) === false) {
					log.recordUnreadable(entry.key);
				}
			}
		},
	}];

	/** Returns false if the ownership was lost first. */
	const load = async (): Promise<boolean> => {
		const entriesByPrefix = await storedState.load({
			watched: [...watchedPrefixes, ...wavePrefixes],
			prefixes: [recordCodec.workerPrefix, runPrefix, recordCodec.wavePrefix, waveProgressPrefix, machineOrderPrefix],
			prefixesByJob: [jobPrefix, progressPrefix, cancellationPrefix],
		});
		if (!entriesByPrefix) {
			return false;
		}

		const getEntries = (prefix: string): readonly StoredEntry[] => entriesByPrefix.get(prefix) ?? [];
		scheduler.setPolicies(configuration());
		workers.restore(getEntries(runPrefix));
		workers.applyEntries(getEntries(recordCodec.workerPrefix), true);
		jobs.addEntries(getEntries(jobPrefix), true, new Map(getEntries(progressPrefix).map(entry => [idFromKey(entry.key), entry])));
		workers.restoreRuns(clock.now());
		for (const entry of getEntries(cancellationPrefix)) {
			jobs.cancel(idFromKey(entry.key));
		}

		orderGuard?.restore(getEntries(machineOrderPrefix));
		maintenance?.restore(getEntries(waveProgressPrefix));
		wavePrefixes[0]!.onEntries(getEntries(recordCodec.wavePrefix));
		isLoaded = true;
		storedState.follow();
		log.jobsLoaded({jobs: scheduler.jobs.size, workers: scheduler.workers.size, milliseconds: clock.now() - tookOverAt});
		return true;
	};

	const endWorkerCalls = (): void => {
		workers.end();
		dispatch.end();
	};

	/** Stops starting tasks and writing. At a handover the leases of workers are extended until the new owner does so. */
	const end = (isHandover = false): void => {
		isEnded = true;
		clearInterval(timer);
		clearTimeout(pendingTick);
		leaseRenewal.end();
		const unstoredChanges = commitQueue.end();
		if (unstoredChanges > 0) {
			log.changesNotStored(ownership.epoch, unstoredChanges);
		}

		storedState.stop();
		evacuations.end();

		handoverEndsAt = isHandover ? clock.now() + handoverExtensionMilliseconds : Number.NEGATIVE_INFINITY;
		if (isHandover) {
			setTimeout(endWorkerCalls, handoverExtensionMilliseconds);
		} else {
			endWorkerCalls();
		}
	};

	const timer = setInterval(tick, tickIntervalMilliseconds);
	if (!await load()) {
		end();
		return undefined;
	}

	requestTick();

	return {
		epoch: ownership.epoch,
		end,
		setConfiguration(next: Configuration): void {
			scheduler.setPolicies(next);
			requestTick();
		},
		/**
		 * Adds a job that an instance has stored at this revision. A job stored before the takeover
		 * was loaded with the others, or has ended since.
		 */
		addJob(declaration: JobDeclaration, revision: number): void {
			if (revision > ownership.commitRevision) {
				jobs.add(declaration, false);
			}
		},
		registerDispatcher: dispatch.register,
		cancel: jobs.cancel,
		getLoadFigures: loadFigures.get,
		getJobState: (id: string): JobState | undefined => jobs.getState(id),
		countPending: (queue: string): number => jobs.countPending(queue),
	};
};
