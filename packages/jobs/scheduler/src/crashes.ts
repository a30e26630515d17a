/**
 * Counts the worker crashes under each task, so that a task that crashes every worker that
 * starts it is given up. A crash is suspected when the lease of an unreachable worker expires,
 * and confirmed when another process answers or registers in its place. A worker that was only
 * disconnected answers again, which retracts the suspicion.
 */
import type {SchedulerEvent} from './events.js';
import {JobFailureCause} from './events.js';
import type {FailJob} from './job-failures.js';
import type {JobTable} from './jobs.js';
import {isActive} from './jobs.js';
import type {RunRow, TaskRow, WorkerRow} from './model.js';
import {RunPhase} from './model.js';
import type {WorkerTable} from './workers.js';
import {hasOutlastedStart} from './workers.js';

/** A task is given up after this many confirmed crashes. */
export const maximumCrashes = 3;
/** From this many confirmed and suspected crashes on, the task is started again only after a delay. */
const delayedCrashCount = 3;
const firstDelayMilliseconds = 4000;
const longestDelayMilliseconds = 30_000;
/** A crash that is not confirmed within this time is no longer suspected. */
const suspicionLifetimeMilliseconds = 300_000;
/** An order of unknown outcome may end a worker this long after its mark was removed. */
const plannedEndLifetimeMilliseconds = 20_000;

type CrashedRun = {readonly task: TaskRow; readonly run: number};

type WorkerProcess = {readonly id: string; readonly address: string; readonly incarnation: number | undefined};

type Suspicion = {readonly process: WorkerProcess; readonly runs: readonly CrashedRun[]; readonly suspectedAt: number};

/** Confirmed and suspected crashes. */
export const countCrashes = (task: TaskRow): number => task.crashedRuns.length + task.suspectedRuns.size;

const describeProcess = ({registration: {id, address}, incarnation}: WorkerRow): WorkerProcess => ({id, address, incarnation});

const startedAfter = (process: WorkerProcess, previous: WorkerProcess): boolean =>
	process.incarnation !== undefined && previous.incarnation !== undefined && process.incarnation > previous.incarnation;

const isMarkedForPlannedEnd = (worker: WorkerRow): boolean => worker.registration.draining || worker.isCordoned || worker.isTerminating;

export type CrashTracker = ReturnType<typeof createCrashTracker>;

export const createCrashTracker = (options: {
	readonly jobs: JobTable;
	readonly workers: WorkerTable;
	/** Runs with lower numbers were started by previous owners. */
	readonly firstRunOfEpoch: number;
	readonly failJob: FailJob;
	readonly emit: (event: SchedulerEvent) => void;
}) => {
	const {jobs, workers, firstRunOfEpoch, failJob, emit} = options;
	/** Kept after the worker has been removed from the table. */
	let suspicions: Suspicion[] = [];
	/** Tasks with a new crash, whose delay starts at the next tick. */
	const delayedTasks = new Set<TaskRow>();
	/** Tasks with a crash that have not ended. */
	const crashedTasks = new Set<TaskRow>();
	const markedAt = new WeakMap<WorkerRow, number>();
	let tickedAt = Number.NEGATIVE_INFINITY;

	const isPlannedEnd = (worker: WorkerRow): boolean =>
		isMarkedForPlannedEnd(worker) || tickedAt - (markedAt.get(worker) ?? Number.NEGATIVE_INFINITY) < plannedEndLifetimeMilliseconds;

	const isCountable = ({task}: CrashedRun): boolean => !task.done && isActive(task.step.job);

	/** A long-running task that gets to work does not crash its workers. Whether a run of a previous owner was at work is unknown until it is reported. */
	const mayHaveBeenAtWork = (row: RunRow): boolean => row.task.step.declaration.longRunning
		&& (row.percent >= 100 || (row.phase === RunPhase.Unconfirmed && row.run < firstRunOfEpoch));

	/** The runs that may have caused a crash of the worker: the newest ones, or all if the worker has outlasted the start of each. */
	const listSuspects = (worker: WorkerRow): CrashedRun[] => {
		const rows = [...worker.runs.values()].filter(row => row.isSent || row.phase !== RunPhase.Starting);
		const newRows = rows.filter(row => !hasOutlastedStart(row));
		return (newRows.length > 0 ? newRows : rows).filter(row => isCountable(row) && !mayHaveBeenAtWork(row));
	};

	const addCrash = (task: TaskRow): void => {
		crashedTasks.add(task);
		delayedTasks.add(task);
	};

	const retract = (runs: readonly CrashedRun[]): void => {
		for (const {task, run} of runs) {
			task.suspectedRuns.delete(run);
			if (countCrashes(task) < delayedCrashCount) {
				task.crashDelayUntil = 0;
			}
		}
	};

	const confirm = (worker: string, runs: readonly CrashedRun[]): void => {
		let count = 0;
		for (const {task, run} of runs) {
			const wasSuspected = task.suspectedRuns.delete(run);
			if (!isCountable({task, run}) || task.crashedRuns.includes(run)) {
				continue;
			}

			count += 1;
			task.crashedRuns.push(run);
			jobs.markChanged(task.step.job);
			if (!wasSuspected) {
				addCrash(task);
			}

			if (task.crashedRuns.length >= maximumCrashes) {
				failJob({task, attempts: task.crashedRuns.length, cause: JobFailureCause.Crashes});
			}
		}

		if (count > 0) {
			emit({type: 'worker-crashed', worker, runs: count});
		}
	};

	/** Removes the suspicions to which the condition applies, and returns their runs. */
	const takeSuspicions = (applies: (process: WorkerProcess) => boolean): CrashedRun[] => {
		const taken = suspicions.filter(({process}) => applies(process));
		if (taken.length > 0) {
			suspicions = suspicions.filter(suspicion => !taken.includes(suspicion));
		}

		return taken.flatMap(({runs}) => runs);
	};

	const takeSuspicionsOf = (worker: WorkerRow): CrashedRun[] =>
		takeSuspicions(({id, incarnation}) => id === worker.registration.id && incarnation === worker.incarnation);

	const confirmIfReplaced = (suspicion: Suspicion, process: WorkerProcess): void => {
		const {id, address} = suspicion.process;
		if ((id === process.id || address === process.address) && startedAfter(process, suspicion.process) && suspicions.includes(suspicion)) {
			suspicions = suspicions.filter(other => other !== suspicion);
			confirm(id, suspicion.runs);
		}
	};

	const confirmReplaced = (process: WorkerProcess): void => {
		for (const suspicion of suspicions) {
			confirmIfReplaced(suspicion, process);
		}
	};

	const removeOldSuspicions = (now: number): void => {
		const isCurrent = ({runs, suspectedAt}: Suspicion): boolean => now - suspectedAt < suspicionLifetimeMilliseconds && runs.some(run => isCountable(run));
		for (const suspicion of suspicions) {
			if (!isCurrent(suspicion)) {
				suspicions = suspicions.filter(other => other !== suspicion);
				retract(suspicion.runs);
			}
		}
	};

	return {
		/** Tasks with a crash. */
		crashedTasks,
		/** Adds the tasks of a job that was loaded with its progress. */
		restore(tasks: Iterable<string>): void {
			for (const name of tasks) {
				const task = jobs.findTask(name);
				if (task) {
					crashedTasks.add(task);
				}
			}
		},
		/** The lease of the worker has expired; its runs are still in the tables. */
		recordExpiry(worker: WorkerRow, now: number): void {
			const runs = listSuspects(worker);
			// An owner that may not extend leases lets them expire on workers that answer.
			if (runs.length === 0 || worker.unansweredCalls === 0 || isPlannedEnd(worker)) {
				return;
			}

			const suspects = runs.filter(({task, run}) => !task.crashedRuns.includes(run));
			for (const {task, run} of suspects) {
				task.suspectedRuns.add(run);
				addCrash(task);
			}

			const suspicion = {process: describeProcess(worker), runs: suspects, suspectedAt: now};
			suspicions.push(suspicion);
			// The next process may have registered before the lease expired.
			for (const other of workers.workers.values()) {
				if (other !== worker && other.isRegistered) {
					confirmIfReplaced(suspicion, describeProcess(other));
				}
			}
		},
		/** The process of the worker has ended; its runs and its incarnation are still in the tables. */
		recordEnd(worker: WorkerRow): void {
			const suspected = takeSuspicionsOf(worker);
			if (isPlannedEnd(worker)) {
				retract(suspected);
			} else {
				confirm(worker.registration.id, [...suspected, ...listSuspects(worker)]);
			}
		},
		/** The process of the worker was ended by an order. */
		recordPlannedEnd(worker: WorkerRow): void {
			retract(takeSuspicionsOf(worker));
		},
		/** Runs that previous owners had started on an earlier process of the worker. */
		recordPreviousRuns(worker: WorkerRow, runs: ReadonlyArray<readonly [task: string, run: number]>): void {
			confirm(worker.registration.id, runs.flatMap(([name, run]) => {
				const task = jobs.findTask(name);
				return task && !task.step.declaration.longRunning && !task.failedRuns.includes(run) ? [{task, run}] : [];
			}));
		},
		recordRegistration(worker: WorkerRow): void {
			// A process that has announced its end did not crash when its lease expired.
			if (worker.registration.draining) {
				retract(takeSuspicionsOf(worker));
			}

			confirmReplaced(describeProcess(worker));
		},
		/** The current process of the worker has reported its runs. */
		recordAnswer(worker: WorkerRow): void {
			confirmReplaced(describeProcess(worker));
			retract(takeSuspicionsOf(worker));
		},
		/** A run of a long-running task was at work. */
		recordAtWork(task: TaskRow): void {
			if (countCrashes(task) === 0) {
				return;
			}

			if (task.crashedRuns.length > 0) {
				jobs.markChanged(task.step.job);
			}

			task.crashedRuns.length = 0;
			task.suspectedRuns.clear();
			task.crashDelayUntil = 0;
			delayedTasks.delete(task);
			suspicions = suspicions.map(suspicion => ({...suspicion, runs: suspicion.runs.filter(run => run.task !== task)}));
		},
		tick(now: number): void {
			tickedAt = now;
			for (const worker of workers.workers.values()) {
				if (isMarkedForPlannedEnd(worker)) {
					markedAt.set(worker, now);
				}
			}

			for (const task of delayedTasks) {
				const excess = countCrashes(task) - delayedCrashCount;
				if (excess >= 0) {
					task.crashDelayUntil = now + Math.min(longestDelayMilliseconds, firstDelayMilliseconds * (2 ** excess));
				}
			}

			delayedTasks.clear();
			for (const task of crashedTasks) {
				if (countCrashes(task) === 0 || task.done || !isActive(task.step.job)) {
					crashedTasks.delete(task);
				}
			}

			removeOldSuspicions(now);
		},
	};
};
