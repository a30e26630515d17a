/** The owner of the jobs: loads what is stored, takes over the workers, and runs the scheduler until its lease ends. */
import type {JobDeclaration, JobState} from '@turmericbay/scheduler';
import {createScheduler} from '@turmericbay/scheduler';
import type {
	KeyValueStore, StoredEntry, WatchHandle,
} from '@turmericbay/types';
import {createCommits} from './commits.js';
import {followPrefix, listAll} from './follow.js';
import {createMachineDuties} from './machine-duties.js';
import {createOrders} from './orders.js';
import {createOwnedJobs} from './owned-jobs.js';
import type {OwnedWorkers} from './owned-workers.js';
import {createOwnedWorkers, extensionMilliseconds, handoverExtensionMilliseconds} from './owned-workers.js';
import type {OwnerLog} from './owner-log.js';
import type {Renewal, Tenure} from './ownership.js';
import type {
	AdviceClient, Clock, Configuration, MachineClient, PlatformRecordCodec, WorkerClient,
} from './ports.js';
import {
	cancellationPrefix, idOf, jobPrefix, machineOrderPrefix, progressPrefix, runPrefix, waveProgressPrefix,
} from './records.js';
import {createRunRecords} from './run-records.js';
import {wait} from './wait.js';
import {createWorkerSession} from './worker-session.js';

/** Longest time between two runs of the scheduler. */
const tickMilliseconds = 50;
/** Answers that arrive within this time are decided on together. */
const gatherMilliseconds = 4;

/** Pause before the stored jobs are read again. */
const loadRetryMilliseconds = 100;

export type Owner = Awaited<ReturnType<typeof createOwner>>;

export type OwnerOptions = {
	readonly store: KeyValueStore;
	readonly records: PlatformRecordCodec;
	readonly tenure: Tenure;
	readonly renewal: Renewal;
	readonly workerClient: WorkerClient;
	readonly advice: AdviceClient | undefined;
	/** Undefined where the platform has no machines' service. */
	readonly machines: MachineClient | undefined;
	readonly instance: string;
	readonly clock: Clock;
	readonly configuration: () => Configuration;
	readonly leaseMilliseconds: number;
	/** See `RevisionTimes`. */
	readonly reachedBy: (revision: number) => number | undefined;
	readonly onLost: (reason: string) => void;
	readonly log: OwnerLog;
};

/** Undefined if the lease ended while the stored jobs were read. */
export const createOwner = async (options: OwnerOptions) => {
	const {store, records, tenure, renewal, workerClient, advice, machines, instance, clock, configuration, leaseMilliseconds, reachedBy, onLost, log} = options;
	const tookOverAt = clock.now();
	let isEnded = false;
	let isLoaded = false;
	/** Steady time until which a successor may need this owner to extend leases. */
	let handOverUntil = Number.POSITIVE_INFINITY;
	const follows: WatchHandle[] = [];

	const scheduler = createScheduler({
		epoch: tenure.epoch, emit(event) {
			log.schedulerEvent(event);
		},
	});
	const lose = (reason: string): void => {
		if (!isEnded) {
			onLost(reason);
		}
	};

	const commits = createCommits({
		store, epoch: tenure.epoch, revision: tenure.commitRevision,
		onFenced() {
			lose('another owner has written');
		},
		onFailure(message) {
			log.storeCallFailed('commit', message);
		},
		wait,
	});

	const mayStart = (): boolean => !isEnded && isLoaded && renewal.isConfirmed();
	const mayExtend = (): boolean => clock.now() < Math.min(renewal.confirmedAt() + extensionMilliseconds, handOverUntil);
	const onFenced = (): void => {
		lose('a worker knows a newer owner');
	};

	let gather: NodeJS.Timeout | undefined;
	const requestTick = (): void => {
		gather ??= setTimeout(() => {
			gather = undefined;
			tick();
		}, gatherMilliseconds);
	};

	const jobs = createOwnedJobs({
		store, commits, scheduler, clock, onChange: requestTick, log,
	});
	const runRecords = createRunRecords({
		commits, epoch: tenure.epoch, now: clock.now, onUnreadable: log.recordUnreadable,
	});
	const workers: OwnedWorkers = createOwnedWorkers({
		scheduler, runRecords, records, client: workerClient, clock, tookOverAt, leaseMilliseconds, onChange: requestTick, log,
		createSession: worker => createWorkerSession({
			worker, client: workerClient, scheduler, clock, epoch: tenure.epoch, leaseMilliseconds, mayExtend, onFenced,
			store: jobs.storeChanges,
			onChange: requestTick,
			onTrouble: log.workerCallFailed,
			onAnswer: log.workerRecovered,
			onGone(gone) {
				workers.drop(gone);
			},
		}),
	});
	const orders = createOrders({
		scheduler, client: workerClient, advice, clock, epoch: tenure.epoch, mayStart, onFenced,
		sessionOf: worker => workers.sessionOf(worker),
		recordRun: runRecords.record,
		onChange: requestTick,
		onStart: log.startAttempted,
	});

	const {machineOrders, maintenance, poolMoves} = machines
		? createMachineDuties({
			scheduler, machines, records, clock, holder: instance, epoch: tenure.epoch, tookOverAt, reachedBy, mayOrder: mayStart,
			commit: commits.commit, retire: workers.retire, log,
		})
		: {};

	const tick = (): void => {
		if (isEnded || !isLoaded) {
			return;
		}

		const now = clock.now();
		renewal.tick();
		workers.tick(now);
		runRecords.tick();
		for (const order of scheduler.plan({now, wallNow: clock.wallNow(), mayStart: mayStart()})) {
			orders.carryOut(order);
		}

		if (scheduler.changedJobs.size > 0) {
			void jobs.storeChanges();
		}

		jobs.tick(now);
		maintenance?.tick();
		poolMoves?.tick();
	};

	const load = async (): Promise<boolean> => {
		const [list, used, stored, progress, cancellations, waves, ordered] = await Promise.all([
			listAll(store, records.workerPrefix),
			listAll(store, runPrefix),
			listAll(store, jobPrefix),
			listAll(store, progressPrefix),
			listAll(store, cancellationPrefix),
			listAll(store, waveProgressPrefix),
			listAll(store, machineOrderPrefix),
		]);
		if (list.isErr() || used.isErr() || stored.isErr() || progress.isErr() || cancellations.isErr() || waves.isErr() || ordered.isErr()) {
			return false;
		}

		scheduler.setPolicies(configuration());
		workers.restore(used.value);
		workers.applyEntries(list.value, true);
		jobs.addEntries(stored.value, true, new Map(progress.value.map(entry => [idOf(entry.key), entry])));
		workers.restoreRuns(clock.now());
		for (const entry of cancellations.value) {
			jobs.cancel(idOf(entry.key));
		}

		machineOrders?.restore(ordered.value);
		maintenance?.restore(waves.value);
		isLoaded = true;
		log.jobsLoaded({jobs: scheduler.jobs.size, workers: scheduler.workers.size, milliseconds: clock.now() - tookOverAt});
		return true;
	};

	const follow = (prefix: string, handlers: {
		readonly onEntries: (entries: readonly StoredEntry[]) => void;
		readonly onSnapshot?: (entries: readonly StoredEntry[]) => void;
		readonly onDelete?: (keys: readonly string[]) => void;
	}): void => {
		follows.push(followPrefix({
			store, prefix, onSnapshot: handlers.onSnapshot ?? handlers.onEntries, onChange: handlers.onEntries,
			onDelete(keys) {
				handlers.onDelete?.(keys);
			},
			onTrouble(error) {
				log.storeCallFailed(prefix, error.message);
			},
		}));
	};

	const begin = (): void => {
		follow(records.workerPrefix, {
			onEntries(entries) {
				workers.applyEntries(entries, false);
			},
			onSnapshot(entries) {
				workers.applyEntries(entries, false);
				workers.unlistOthers(entries);
			},
			onDelete(keys) {
				workers.unlist(keys.map(key => idOf(key)));
			},
		});
		// Jobs and cancellations are deleted by this owner alone, waves by nobody.
		follow(jobPrefix, {
			onEntries(entries) {
				jobs.addEntries(entries, false);
			},
		});
		follow(records.wavePrefix, {
			onEntries(entries) {
				for (const entry of entries) {
					if (maintenance?.request(entry) === false) {
						log.recordUnreadable(entry.key);
					}
				}
			},
		});
		follow(cancellationPrefix, {
			onEntries(entries) {
				for (const entry of entries) {
					jobs.cancel(idOf(entry.key));
				}
			},
		});
	};

	/** Starts nothing more. At a handover the leases of workers are extended until the successor does so. */
	const end = (isHandover = false): void => {
		isEnded = true;
		clearInterval(timer);
		clearTimeout(gather);
		renewal.end();
		commits.end();
		for (const handle of follows) {
			handle.stop();
		}

		if (isHandover) {
			handOverUntil = clock.now() + handoverExtensionMilliseconds;
			setTimeout(workers.end, handoverExtensionMilliseconds);
		} else {
			handOverUntil = Number.NEGATIVE_INFINITY;
			workers.end();
		}
	};

	const timer = setInterval(tick, tickMilliseconds);
	// eslint-disable-next-line no-await-in-loop -- Tried until the store answers or the lease ends.
	while (!await load()) {
		log.storeCallFailed('load', 'the jobs could not be read');
		renewal.tick();
		if (!renewal.isConfirmed()) {
			end();
			return undefined;
		}

		// eslint-disable-next-line no-await-in-loop -- The store gets time to come back.
		await wait(loadRetryMilliseconds);
	}

	if (!isEnded) {
		begin();
		requestTick();
	}

	return {
		end,
		setConfiguration(next: Configuration): void {
			scheduler.setPolicies(next);
			requestTick();
		},
		/**
		 * Takes a job that another instance has stored at this revision. What was stored before
		 * the takeover was read with the other jobs; if it is unknown, it has ended.
		 */
		addJob(declaration: JobDeclaration, revision: number): void {
			if (revision > tenure.commitRevision) {
				jobs.add(declaration, false);
			}
		},
		cancel: jobs.cancel,
		getJobState: (id: string): JobState | undefined => jobs.describe(id),
		countPending: (queue: string): number => jobs.countPending(queue),
	};
};
