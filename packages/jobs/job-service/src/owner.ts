/** The owner of the jobs: loads what is stored, takes over the workers, and runs the scheduler until its lease ends. */
import type {
	JobDeclaration, JobRow, SchedulerEvent, StartOrder, WorkerReport, WorkerRow,
} from '@turmericbay/scheduler';
import {
	createScheduler, isActive, JobState, lapseTime, readProgress,
} from '@turmericbay/scheduler';
import type {KeyValueStore, StoredEntry, StoreOperation, WatchHandle} from '@turmericbay/types';
import {createCommits} from './commits.js';
import {followPrefix, listAll} from './follow.js';
import type {MaintenanceLog} from './maintenance.js';
import {createMachineList} from './machine-list.js';
import {createMaintenance} from './maintenance.js';
import type {PoolMoveLog} from './pool-moves.js';
import {createPoolMoves} from './pool-moves.js';
import {createOrders} from './orders.js';
import type {Renewal, Tenure} from './ownership.js';
import type {
	AdviceClient, Clock, Configuration, MachineService, PlatformRecords, WorkerClient,
} from './ports.js';
import type {UsedWorkerRecord} from './records.js';
import {
	cancellationPrefix, jobPrefix, parseJob, parseProgress, parseUsedWorker, progressPrefix, resultPrefix, TerminalState, toTerminalState, usedWorkerPrefix, waveProgressPrefix,
} from './records.js';
import type {WorkerSession} from './worker-session.js';
import {createWorkerSession} from './worker-session.js';

/** Longest time between two runs of the scheduler. */
const tickMilliseconds = 50;
/** Answers that arrive within this time are decided on together. */
const gatherMilliseconds = 4;
/**
 * A former owner extends leases for this long after its last renewal, so that work
 * outlives an outage of the store; a successor counts on it for workers it cannot reach.
 */
export const extensionMilliseconds = 6000;
/** Results stay readable for this time at least, in seconds; the platform asks for 120. */
const resultSeconds = 600;
const resultLeaseRefreshMilliseconds = 60_000;

export type OwnerLog = MaintenanceLog & PoolMoveLog & {
	scheduler(event: SchedulerEvent): void;
	start(order: StartOrder, outcome: string): void;
	workerLost(worker: WorkerRow, message: string): void;
	workerRegained(worker: WorkerRow): void;
	jobFinished(job: JobRow): void;
	storeTrouble(what: string, message: string): void;
	loaded(summary: {jobs: number; workers: number; milliseconds: number}): void;
	unreadable(key: string): void;
};

export type Owner = Awaited<ReturnType<typeof createOwner>>;

export type OwnerOptions = {
	readonly store: KeyValueStore;
	readonly records: PlatformRecords;
	readonly tenure: Tenure;
	readonly renewal: Renewal;
	readonly workerClient: WorkerClient;
	readonly advice: AdviceClient | undefined;
	/** Undefined where the platform has no machines' service. */
	readonly machines: MachineService | undefined;
	readonly instance: string;
	readonly clock: Clock;
	readonly configuration: () => Configuration;
	/** Longest lease that workers take. */
	readonly longestLeaseMilliseconds: number;
	readonly leaseMilliseconds: number;
	readonly onLost: (reason: string) => void;
	readonly log: OwnerLog;
};

const idOf = (key: string): string => key.slice(key.lastIndexOf('/') + 1);

export const createOwner = async (options: OwnerOptions) => {
	const {store, records, tenure, renewal, workerClient, advice, machines, instance, clock, configuration, longestLeaseMilliseconds, leaseMilliseconds, onLost, log} = options;
	const tookOverAt = clock.now();
	let isEnded = false;
	let isLoaded = false;
	const follows: WatchHandle[] = [];
	const sessions = new Map<string, WorkerSession>();
	const usedWorkers = new Map<string, string>();
	/** States that are stored, by job; what callers are told. */
	const finished = new Map<string, {readonly state: TerminalState; readonly at: number}>();
	const finishing = new Set<string>();
	const cancelledEarly = new Set<string>();
	/** Lives of workers that were ended for a machine's sake; their entries stay in the list for a while. */
	const retired = new Map<string, number | undefined>();
	let resultLease: {readonly leaseId: string; readonly at: number} | undefined;

	const scheduler = createScheduler({epoch: tenure.epoch, emit: event => {
		log.scheduler(event);
	}});
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
			log.storeTrouble('commit', message);
		},
		async wait(milliseconds) {
			await new Promise(resolve => {
				setTimeout(resolve, milliseconds);
			});
		},
	});

	const mayStart = (): boolean => !isEnded && isLoaded && renewal.isConfirmed();
	const mayExtend = (): boolean => !isEnded && clock.now() < renewal.confirmedAt() + extensionMilliseconds;

	let gather: NodeJS.Timeout | undefined;
	const requestTick = (): void => {
		gather ??= setTimeout(() => {
			gather = undefined;
			tick();
		}, gatherMilliseconds);
	};

	const orders = createOrders({
		scheduler, client: workerClient, advice, clock, epoch: tenure.epoch, mayStart,
		sessionOf: worker => sessions.get(worker.report.id),
		onFenced() {
			lose('a worker knows a newer owner');
		},
		onChange: requestTick,
		onStart: log.start,
	});

	/** Ends the session with a life of a worker that is over. */
	const dropWorker = (worker: WorkerRow): void => {
		const {id, address} = worker.report;
		scheduler.loseWorker(worker);
		sessions.get(id)?.end();
		sessions.delete(id);
		scheduler.workers.delete(id);
		workerClient.forget({id, address});
		// A record that is left would make the next owner wait for this worker.
		if (usedWorkers.delete(id)) {
			void commits.commit([{type: 'delete', key: usedWorkerPrefix + id}]);
		}

		requestTick();
	};

	const createMachineDuties = (service: MachineService) => {
		const shared = {
			scheduler, machines: service, list: createMachineList({machines: service, scheduler, clock}), clock, holder: instance, epoch: tenure.epoch, tookOverAt, mayOrder: mayStart,
			retire(worker: WorkerRow) {
				retired.set(worker.report.id, worker.bornAt);
				dropWorker(worker);
			},
			commit: async (operations: readonly StoreOperation[]) => commits.commit(operations),
			log,
		};
		const maintenance = createMaintenance({...shared, records});
		return {maintenance, poolMoves: createPoolMoves({...shared, isReserved: maintenance.isReserved})};
	};

	const {maintenance, poolMoves} = machines ? createMachineDuties(machines) : {};

	const refreshResultLease = async (): Promise<void> => {
		const granted = await store.grantLease({timeToLiveSeconds: resultSeconds});
		if (granted.isOk()) {
			resultLease = {leaseId: granted.value.leaseId, at: clock.now()};
		} else {
			log.storeTrouble('result lease', granted.error.message);
		}
	};

	const finish = async (job: JobRow, state: TerminalState): Promise<void> => {
		const {id} = job.declaration;
		if (finishing.has(id)) {
			return;
		}

		finishing.add(id);
		// The result comes first: between two transactions a job may be known twice, never not at all.
		await commits.commit([
			{type: 'put', key: resultPrefix + id, value: state, ...(resultLease && {leaseId: resultLease.leaseId})},
			{type: 'delete', key: jobPrefix + id},
			{type: 'delete', key: progressPrefix + id},
			{type: 'delete', key: cancellationPrefix + id},
		]);
		finished.set(id, {state, at: clock.now()});
		finishing.delete(id);
		log.jobFinished(job);
		requestTick();
	};

	/** Queues what has changed for the store; resolves when all of it is stored. */
	const storeChanges = async (): Promise<void> => {
		const writes: Array<Promise<void>> = [];
		const operations: StoreOperation[] = [];
		for (const job of scheduler.changedJobs) {
			job.changed = false;
			const state = toTerminalState(job.state);
			if (state === undefined) {
				operations.push({type: 'put', key: progressPrefix + job.declaration.id, value: JSON.stringify(readProgress(job))});
			} else if (!finished.has(job.declaration.id)) {
				writes.push(finish(job, state));
			}
		}

		scheduler.changedJobs.clear();
		// Changes that an earlier call has taken may still be on their way.
		await Promise.all([...writes, commits.commit(operations), commits.flush()]);
	};

	const removeSettled = (): void => {
		for (const id of finished.keys()) {
			const job = scheduler.jobs.get(id);
			if (job && scheduler.isSettled(job)) {
				scheduler.removeJob(job);
			}
		}
	};

	/** Forgets workers that left the list and whose leases have ended. */
	const removeWorkers = (now: number): void => {
		for (const [id, worker] of scheduler.workers) {
			if (!worker.listed && worker.runs.size === 0 && worker.resolved && now >= worker.lapsesBy) {
				sessions.get(id)?.end();
				sessions.delete(id);
				scheduler.workers.delete(id);
				workerClient.forget({id, address: worker.report.address});
				if (usedWorkers.delete(id)) {
					void commits.commit([{type: 'delete', key: usedWorkerPrefix + id}]);
				}
			}
		}
	};

	/** The next owner has to know where something may run before it is started. */
	const isRecorded = (worker: WorkerRow): boolean => {
		const value = JSON.stringify({
			id: worker.report.id, address: worker.report.address, pool: worker.report.pool, bornAt: worker.bornAt,
		} satisfies UsedWorkerRecord);
		if (usedWorkers.get(worker.report.id) === value) {
			return true;
		}

		return false;
	};

	const recordWorker = async (worker: WorkerRow): Promise<void> => {
		const value = JSON.stringify({
			id: worker.report.id, address: worker.report.address, pool: worker.report.pool, bornAt: worker.bornAt,
		} satisfies UsedWorkerRecord);
		await commits.commit([{type: 'put', key: usedWorkerPrefix + worker.report.id, value}]);
		usedWorkers.set(worker.report.id, value);
		requestTick();
	};

	const recording = new Set<string>();
	const recordWorkers = (): void => {
		for (const worker of scheduler.workers.values()) {
			const {id} = worker.report;
			if (worker.listed && worker.bornAt !== undefined && !isRecorded(worker) && !recording.has(id)) {
				recording.add(id);
				void recordWorker(worker).then(() => {
					recording.delete(id);
				});
			}

			worker.isRecorded = isRecorded(worker);
		}
	};

	const tick = (): void => {
		if (isEnded || !isLoaded) {
			return;
		}

		const now = clock.now();
		renewal.tick();
		if (resultLease === undefined || now - resultLease.at > resultLeaseRefreshMilliseconds) {
			resultLease = {leaseId: resultLease?.leaseId ?? '0', at: now};
			void refreshResultLease();
		}

		recordWorkers();
		for (const order of scheduler.plan({now, wallNow: clock.wallNow(), mayStart: mayStart()})) {
			orders.carryOut(order);
		}

		if (scheduler.changedJobs.size > 0) {
			void storeChanges();
		}

		removeSettled();
		removeWorkers(now);
		maintenance?.tick();
		poolMoves?.tick();
	};

	const openSession = (worker: WorkerRow): void => {
		const {id} = worker.report;
		if (sessions.has(id)) {
			return;
		}

		sessions.set(id, createWorkerSession({
			worker, client: workerClient, scheduler, clock, epoch: tenure.epoch, leaseMilliseconds, mayExtend,
			store: storeChanges,
			onFenced() {
				lose('a worker knows a newer owner');
			},
			onChange: requestTick,
			onTrouble: log.workerLost,
			onAnswer: log.workerRegained,
			onGone: dropWorker,
		}));
	};

	const reportWorker = (report: WorkerReport, isRestored: boolean): void => {
		if (retired.has(report.id) && retired.get(report.id) === report.bornAt) {
			return;
		}

		const isKnown = scheduler.workers.has(report.id);
		const now = clock.now();
		const worker = scheduler.reportWorker({
			report, listed: true, now,
			resolved: !isRestored,
			lapsesBy: isRestored ? lapseTime({now: tookOverAt + extensionMilliseconds, leaseMilliseconds}) : Number.NEGATIVE_INFINITY,
		});
		openSession(worker);
		if (!isKnown) {
			requestTick();
		}
	};

	const applyWorkerEntries = (entries: readonly StoredEntry[]): void => {
		for (const entry of entries) {
			const report = records.decodeWorker(entry);
			if (report) {
				reportWorker(report, false);
			} else {
				const known = scheduler.workers.get(idOf(entry.key));
				if (known) {
					known.listed = false;
				}

				log.unreadable(entry.key);
			}
		}
	};

	const unlist = (keys: readonly string[]): void => {
		for (const key of keys) {
			const worker = scheduler.workers.get(idOf(key));
			if (worker) {
				worker.listed = false;
			}
		}

		requestTick();
	};

	const addJob = (declaration: JobDeclaration, restored: boolean, progress?: StoredEntry): void => {
		const {id} = declaration;
		if (scheduler.jobs.has(id) || finished.has(id)) {
			return;
		}

		const stored = progress && parseProgress(progress);
		scheduler.addJob(declaration, {...(stored && {progress: stored}), restored, now: clock.now(), wallNow: clock.wallNow()});
		if (cancelledEarly.delete(id)) {
			scheduler.cancelJob(id);
		}

		requestTick();
	};

	const addJobEntries = (entries: readonly StoredEntry[], restored: boolean): void => {
		for (const entry of entries) {
			const declaration = parseJob(entry);
			if (declaration) {
				addJob(declaration, restored);
			} else {
				log.unreadable(entry.key);
			}
		}
	};

	const cancel = (id: string): void => {
		if (scheduler.jobs.has(id)) {
			scheduler.cancelJob(id);
		} else if (!finished.has(id)) {
			cancelledEarly.add(id);
		}

		requestTick();
	};

	const load = async (): Promise<boolean> => {
		const [workers, used, jobs, progress, cancellations, waves] = await Promise.all([
			listAll(store, records.workerPrefix), listAll(store, usedWorkerPrefix), listAll(store, jobPrefix),
			listAll(store, progressPrefix), listAll(store, cancellationPrefix), listAll(store, waveProgressPrefix),
		]);
		if (waves.isErr() || workers.isErr() || used.isErr() || jobs.isErr() || progress.isErr() || cancellations.isErr()) {
			return false;
		}

		scheduler.setPolicies(configuration());
		for (const entry of used.value) {
			const record = parseUsedWorker(entry);
			if (record) {
				usedWorkers.set(record.id, entry.value);
				const worker = scheduler.reportWorker({
					report: {
						id: record.id, bornAt: record.bornAt, address: record.address, pool: record.pool, zone: '', draining: true,
						capacity: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0}, labels: [],
					},
					listed: false, resolved: false, now: tookOverAt,
					lapsesBy: lapseTime({now: tookOverAt + extensionMilliseconds, leaseMilliseconds}),
				});
				openSession(worker);
			}
		}

		for (const entry of workers.value) {
			const report = records.decodeWorker(entry);
			if (report) {
				reportWorker(report, usedWorkers.has(report.id));
			} else {
				log.unreadable(entry.key);
			}
		}

		const progressById = new Map(progress.value.map(entry => [idOf(entry.key), entry]));
		for (const entry of jobs.value) {
			const declaration = parseJob(entry);
			if (declaration) {
				addJob(declaration, true, progressById.get(declaration.id));
			} else {
				log.unreadable(entry.key);
			}
		}

		for (const entry of cancellations.value) {
			cancel(idOf(entry.key));
		}

		maintenance?.restore(waves.value);
		isLoaded = true;
		log.loaded({jobs: scheduler.jobs.size, workers: scheduler.workers.size, milliseconds: clock.now() - tookOverAt});
		return true;
	};

	const follow = (prefix: string, onEntries: (entries: readonly StoredEntry[]) => void, onDelete: (keys: readonly string[]) => void, onSnapshot = onEntries): void => {
		follows.push(followPrefix({
			store, prefix, onSnapshot, onChange: onEntries, onDelete,
			onTrouble(error) {
				log.storeTrouble(prefix, error.message);
			},
		}));
	};

	const begin = (): void => {
		follow(records.workerPrefix, applyWorkerEntries, unlist, entries => {
			applyWorkerEntries(entries);
			const present = new Set(entries.map(entry => idOf(entry.key)));
			unlist([...scheduler.workers.keys()].filter(id => !present.has(id)));
		});
		const ignore = (): void => {
			// Jobs and cancellations are deleted by this owner alone, waves by nobody.
		};

		follow(jobPrefix, entries => {
			addJobEntries(entries, false);
		}, ignore);
		follow(records.wavePrefix, entries => {
			for (const entry of entries) {
				if (maintenance?.request(entry) === false) {
					log.unreadable(entry.key);
				}
			}
		}, ignore);
		follow(cancellationPrefix, entries => {
			for (const entry of entries) {
				cancel(idOf(entry.key));
			}
		}, ignore);
	};

	const end = (): void => {
		isEnded = true;
		clearInterval(timer);
		clearTimeout(gather);
		renewal.end();
		commits.end();
		for (const handle of follows) {
			handle.stop();
		}

		for (const session of sessions.values()) {
			session.end();
		}
	};

	const timer = setInterval(tick, tickMilliseconds);
	while (!await load()) {
		log.storeTrouble('load', 'the jobs could not be read');
		renewal.tick();
		if (!renewal.isConfirmed()) {
			end();
			return undefined;
		}
	}

	if (!isEnded) {
		begin();
		requestTick();
	}

	return {
		end,
		lose,
		scheduler,
		longestLeaseMilliseconds,
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
				addJob(declaration, false);
			}
		},
		cancel,
		/** What callers may be told: a final state only once it is stored. */
		describe(id: string): JobState | undefined {
			const result = finished.get(id);
			if (result) {
				return JobState[result.state === TerminalState.Completed ? 'Completed' : (result.state === TerminalState.Failed ? 'Failed' : 'Cancelled')];
			}

			const job = scheduler.jobs.get(id);
			if (!job) {
				return undefined;
			}

			return isActive(job) ? job.state : JobState.Running;
		},
		countPending(queue: string): number {
			let count = 0;
			for (const job of scheduler.jobs.values()) {
				if (job.declaration.queue === queue && isActive(job) && !job.begun) {
					count += 1;
				}
			}

			return count;
		},
	};
};
