/** Keeps tasks under which workers have crashed apart from those of other jobs, so that a further crash shows which task is the cause. */
import {countCrashes} from './crashes.js';
import type {
	JobRow, RunRow, TaskRow, WorkerRow,
} from './model.js';
import {getReservedResources, hasCapacityFor, hasOutlastedStart} from './workers.js';

/** From this many crashes on, a task is kept apart. */
export const separatedCrashCount = 2;
/** A reservation lapses unless it is renewed within this time, which covers several ticks. */
const reservationMilliseconds = 200;
/** Share of the workers in a pool that may be reserved at the same time. */
const maximumReservedShare = 0.25;

export const isSeparated = (task: TaskRow): boolean => countCrashes(task) >= separatedCrashCount;

export const hasRunOf = (job: JobRow, worker: WorkerRow): boolean => [...worker.runs.values()].some(row => row.task.step.job === job);

/** True if the task fits on the worker beside its long-running tasks, which need not end. */
const fitsBesideLongRunning = (task: TaskRow, worker: WorkerRow): boolean => {
	const needed = {...getReservedResources(task)};
	for (const row of worker.runs.values()) {
		if (row.task.step.declaration.longRunning) {
			const reserved = getReservedResources(row.task);
			needed.cpuMillis += reserved.cpuMillis;
			needed.memoryMegabytes += reserved.memoryMegabytes;
			needed.accelerators += reserved.accelerators;
		}
	}

	const {capacity} = worker.registration;
	return needed.cpuMillis <= capacity.cpuMillis && needed.memoryMegabytes <= capacity.memoryMegabytes && needed.accelerators <= capacity.accelerators;
};

export type Separation = ReturnType<typeof createSeparation>;

export const createSeparation = (options: {readonly crashedTasks: ReadonlySet<TaskRow>}) => {
	const {crashedTasks} = options;
	/** Jobs with a new run of a separated task, by worker. */
	const guardedWorkers = new Map<WorkerRow, Set<JobRow>>();
	const reservations = new Map<WorkerRow, {readonly job: JobRow; readonly until: number}>();

	const recordStart = (task: TaskRow, worker: WorkerRow): void => {
		if (isSeparated(task)) {
			const jobs = guardedWorkers.get(worker) ?? new Set();
			guardedWorkers.set(worker, jobs.add(task.step.job));
		}
	};

	return {
		/** Called before the tasks of a tick are placed. */
		refresh(): void {
			guardedWorkers.clear();
			for (const task of crashedTasks) {
				for (const row of task.runs.values()) {
					if (!hasOutlastedStart(row)) {
						recordStart(task, row.worker);
					}
				}
			}
		},
		/** Called once it is certain that the runs of a job start: a gang may be placed in part and then not start. */
		recordStarts(rows: Iterable<RunRow>): void {
			for (const {task, worker} of rows) {
				recordStart(task, worker);
			}
		},
		/** True if a run of the task may start beside the runs on the worker. */
		mayShare(task: TaskRow, worker: WorkerRow, now: number): boolean {
			const {job} = task.step;
			const reservation = reservations.get(worker);
			if (reservation && reservation.job !== job && reservation.until > now) {
				return false;
			}

			if (!isSeparated(task)) {
				const guards = guardedWorkers.get(worker);
				return guards === undefined || (guards.size === 1 && guards.has(job));
			}

			// A gang needs several workers at once, so it may start beside new runs.
			const {gang} = task.step.declaration;
			return [...worker.runs.values()].every(row => row.task.step.job === job || hasOutlastedStart(row) || (gang && !isSeparated(row.task)));
		},
		/** Keeps a worker free of new runs of other jobs until the task can start there. */
		reserve(task: TaskRow, candidates: readonly WorkerRow[], now: number): void {
			const {job} = task.step;
			for (const [worker, {until}] of reservations) {
				if (until <= now) {
					reservations.delete(worker);
				}
			}

			const existing = candidates.find(worker => reservations.get(worker)?.job === job && fitsBesideLongRunning(task, worker));
			const maximum = Math.max(1, Math.floor(candidates.length * maximumReservedShare));
			if (!existing && candidates.filter(worker => reservations.has(worker)).length >= maximum) {
				return;
			}

			const required = getReservedResources(task);
			const rankCapacity = (worker: WorkerRow): number => hasCapacityFor(worker, required) ? 0 : 1;
			const [emptiest] = candidates.filter(worker => !reservations.has(worker) && fitsBesideLongRunning(task, worker))
				.toSorted((left, right) => rankCapacity(left) - rankCapacity(right) || left.runs.size - right.runs.size);
			const worker = existing ?? emptiest;
			if (worker) {
				reservations.set(worker, {job, until: now + reservationMilliseconds});
			}
		},
	};
};
