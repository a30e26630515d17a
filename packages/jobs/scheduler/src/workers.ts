/** The table of workers and their runs. */
import type {
	Resources, RunRow, TaskRow, WorkerRegistration, WorkerRow,
} from './model.js';
import {formatRunKey, JobState, RunPhase} from './model.js';
import {createPoolUsage, getWorkspace} from './pool-usage.js';

/** The slowest rate of a worker's monotonic clock that the worker protocol permits, relative to real time. */
export const minimumWorkerClockRate = 0.98;
/** Allows for timers that fire late on the owner or the worker. */
const expiryMarginMilliseconds = 200;

/** When a lease granted now has certainly expired, even on a worker with the slowest permitted clock. */
export const computeLatestLeaseExpiry = (options: {readonly now: number; readonly leaseMilliseconds: number}): number =>
	options.now + (options.leaseMilliseconds / minimumWorkerClockRate) + expiryMarginMilliseconds;

/** Resources that a task reserves on its worker; best-effort tasks reserve no CPU. */
export const getReservedResources = (task: TaskRow): Resources => {
	const {resources, fills} = task.step.declaration;
	return fills ? {...resources, cpuMillis: 0} : resources;
};

export const hasCapacityFor = (worker: WorkerRow, required: Resources): boolean => {
	const {capacity} = worker.registration;
	const {used} = worker;
	return used.cpuMillis + required.cpuMillis <= capacity.cpuMillis
		&& used.memoryMegabytes + required.memoryMegabytes <= capacity.memoryMegabytes
		&& used.accelerators + required.accelerators <= capacity.accelerators;
};

/** False if the worker's capacity has shrunk below what its runs reserve. */
export const isWithinCapacity = (worker: WorkerRow): boolean => hasCapacityFor(worker, {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0});

export const groupByPool = (workers: Iterable<WorkerRow>, isIncluded: (worker: WorkerRow) => boolean): Map<string, WorkerRow[]> => {
	const byPool = new Map<string, WorkerRow[]>();
	for (const worker of workers) {
		if (isIncluded(worker)) {
			const list = byPool.get(worker.registration.pool) ?? [];
			list.push(worker);
			byPool.set(worker.registration.pool, list);
		}
	}

	return byPool;
};

/** A registration or a report of an earlier process may arrive after the worker has restarted; it says nothing about the current process. */
export const isEarlierIncarnation = (incarnation: number | undefined, worker: WorkerRow): boolean =>
	incarnation !== undefined && worker.incarnation !== undefined && incarnation < worker.incarnation;

/** A run on a worker that answers a call sent this long after the start was confirmed is not a likely cause of a later crash. */
const startEffectMilliseconds = 250;

/** True if the worker has outlasted the start of the run. */
export const hasOutlastedStart = (row: RunRow): boolean =>
	row.confirmedAt !== undefined && row.worker.lastContactAt >= row.confirmedAt + startEffectMilliseconds;

export type WorkerTable = ReturnType<typeof createWorkerTable>;

export const createWorkerTable = () => {
	const workers = new Map<string, WorkerRow>();
	/** Latest generation by worker name. Kept when a worker is removed, since it may be listed again. */
	const generations = new Map<string, number>();
	/** Resources of all runs of each workspace, including unconfirmed and stopping ones. */
	const workspaceUsage = new Map<string, {cpuMillis: number; memoryMegabytes: number; accelerators: number}>();

	const poolUsage = createPoolUsage();

	const adjustPoolUsage = (run: RunRow, sign: 1 | -1): void => {
		poolUsage.adjust({
			pool: run.worker.registration.pool, workspace: getWorkspace(run.task.step.job), resources: getReservedResources(run.task), runs: sign,
		});
	};

	const adjustUsage = (run: RunRow, sign: 1 | -1): void => {
		adjustPoolUsage(run, sign);
		const reserved = getReservedResources(run.task);
		run.worker.used.cpuMillis += sign * reserved.cpuMillis;
		run.worker.used.memoryMegabytes += sign * reserved.memoryMegabytes;
		run.worker.used.accelerators += sign * reserved.accelerators;
		const {workspace} = run.task.step.job.declaration;
		if (workspace !== undefined) {
			const usage = workspaceUsage.get(workspace) ?? {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
			const {resources} = run.task.step.declaration;
			usage.cpuMillis += sign * resources.cpuMillis;
			usage.memoryMegabytes += sign * resources.memoryMegabytes;
			usage.accelerators += sign * resources.accelerators;
			workspaceUsage.set(workspace, usage);
		}
	};

	const updateRegistration = (worker: WorkerRow, registration: WorkerRegistration): void => {
		const isMoving = worker.registration.pool !== registration.pool;
		for (const run of isMoving ? worker.runs.values() : []) {
			adjustPoolUsage(run, -1);
		}

		worker.registration = registration;
		for (const run of isMoving ? worker.runs.values() : []) {
			adjustPoolUsage(run, 1);
		}
	};

	/** A generation higher than all earlier ones of the worker name. */
	const nextGeneration = (id: string): number => {
		const generation = (generations.get(id) ?? -1) + 1;
		generations.set(id, generation);
		return generation;
	};

	return {
		workers,
		nextGeneration,
		workspaceUsage,
		poolUsage,
		addRun(options: {readonly task: TaskRow; readonly worker: WorkerRow; readonly run: number; readonly phase: RunPhase; readonly now: number}): RunRow {
			const {task, worker, run, phase, now} = options;
			const row: RunRow = {
				task, worker, run, phase, isSent: phase !== RunPhase.Starting, startedAt: now, isResumed: task.checkpoint !== '', progressedAt: now,
				confirmedAt: phase === RunPhase.Running ? now : undefined, unconfirmedAt: phase === RunPhase.Unconfirmed ? now : undefined,
				stopSentAt: undefined, stopAcknowledgedAt: undefined, stopInFlight: false,
				percent: 0, latencyOrCpuUsage: 0, speedLimitPercent: 100, throttleInFlight: false, isEvacuating: false,
			};
			if (task.runs.size === 0 && !task.done) {
				task.step.waiting -= 1;
			}

			task.runs.set(run, row);
			task.lastRun = Math.max(task.lastRun, run);
			worker.runs.set(formatRunKey(task.name, run), row);
			adjustUsage(row, 1);
			const {job} = task.step;
			if (job.state === JobState.Queued) {
				job.state = JobState.Running;
			}

			return row;
		},
		removeRun(row: RunRow): void {
			const key = formatRunKey(row.task.name, row.run);
			if (row.worker.runs.delete(key)) {
				row.task.runs.delete(row.run);
				adjustUsage(row, -1);
				if (row.task.runs.size === 0 && !row.task.done) {
					row.task.step.waiting += 1;
				}
			}
		},
		/** Adds a worker or updates its registration. */
		register(options: {readonly registration: WorkerRegistration; readonly isRegistered: boolean; readonly isReconciled: boolean; readonly latestLeaseExpiry: number}): WorkerRow {
			const {registration, isRegistered, isReconciled, latestLeaseExpiry} = options;
			const existing = workers.get(registration.id);
			if (existing) {
				updateRegistration(existing, registration);
				existing.isRegistered = isRegistered;
				return existing;
			}

			const row: WorkerRow = {
				registration, isRegistered, incarnation: registration.incarnation, generation: nextGeneration(registration.id), isReconciled,
				latestLeaseExpiry, leaseGrantedAt: Number.NEGATIVE_INFINITY, lastContactAt: Number.NEGATIVE_INFINITY, unansweredCalls: 0,
				lastAppliedSequence: 0, avoidUntil: 0, isCordoned: false, isZoneEvacuated: false, isStartingSlowly: false, isTerminating: false, runs: new Map(), used: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0},
				recentFailures: 0, recentSuccesses: 0, speed: 1,
			};
			workers.set(registration.id, row);
			return row;
		},
	};
};
