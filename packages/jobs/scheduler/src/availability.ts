/** Tells which tasks of a long-running step are unavailable, for the limit of those that may be unavailable at once. */
import type {DisruptionCause, DisruptionEvent} from './events.js';
import type {
	RunRow, StepRow, TaskRow, WorkerRow,
} from './model.js';
import {RunPhase} from './model.js';

/** A task counts as available by a report that was requested at most this long ago; busy workers are asked about every 0.9 s and may wait as long with the response. */
const maximumReportAgeMilliseconds = 2500;
/** Bounds the length of a log line. */
const maximumDescribedTasks = 12;

/** Why a task counts as unavailable. */
export enum AbsenceCause {
	NoRun = 'no-run',
	/** Its run is being stopped, is to be stopped, or is on a worker that is about to end. */
	Leaving = 'leaving',
	/** Its start is not confirmed. */
	Unconfirmed = 'unconfirmed',
	/** The newest report does not show it as ready. */
	NotReady = 'not-ready',
	/** The newest report that shows it as ready is too old. */
	OldReport = 'old-report',
}

const hasRecentReport = (worker: WorkerRow, now: number): boolean =>
	worker.unansweredCalls === 0 && worker.lastContactAt >= now - maximumReportAgeMilliseconds;

const isLeaving = (row: RunRow): boolean => row.phase === RunPhase.Stopping || row.isEvacuating || row.worker.isTerminating;

const findRunAbsence = (row: RunRow, now: number): AbsenceCause | undefined => {
	if (isLeaving(row)) {
		return AbsenceCause.Leaving;
	}

	if (row.phase !== RunPhase.Running) {
		return AbsenceCause.Unconfirmed;
	}

	if (row.percent !== 100) {
		return AbsenceCause.NotReady;
	}

	return hasRecentReport(row.worker, now) ? undefined : AbsenceCause.OldReport;
};

/** Why the task counts as unavailable; undefined if a recent report shows a run of it as ready that is to stay. */
const findAbsence = (task: TaskRow, now: number): AbsenceCause | undefined => {
	let absence: AbsenceCause | undefined = AbsenceCause.NoRun;
	for (const row of task.runs.values()) {
		absence = findRunAbsence(row, now);
		if (absence === undefined) {
			break;
		}
	}

	return absence;
};

/** True if a recent report shows a run of the task as ready that is to stay. */
export const isAvailable = (task: TaskRow, now: number): boolean => findAbsence(task, now) === undefined;

/**
 * True if a step may lose these tasks now: with them, no more are unavailable than it allows. They count even if the
 * newest report does not show them as ready, since they may be by the time an order arrives.
 */
export const mayLoseTasks = (step: StepRow, lost: ReadonlySet<TaskRow>, now: number): boolean => {
	const {maximumAway} = step.declaration;
	return maximumAway === undefined || step.tasks.filter(task => lost.has(task) || !isAvailable(task, now)).length <= maximumAway;
};

/** The tasks with runs on the worker, of steps that limit how many may be unavailable. */
const listLimitedTasks = (worker: WorkerRow): Map<StepRow, Set<TaskRow>> => {
	const tasksByStep = new Map<StepRow, Set<TaskRow>>();
	for (const {task} of worker.runs.values()) {
		if (task.step.declaration.maximumAway !== undefined) {
			tasksByStep.set(task.step, (tasksByStep.get(task.step) ?? new Set()).add(task));
		}
	}

	return tasksByStep;
};

/** True if all runs on the worker may be interrupted now. */
export const isDisruptionAllowed = (worker: WorkerRow, now: number): boolean =>
	[...listLimitedTasks(worker)].every(([step, tasks]) => mayLoseTasks(step, tasks, now));

/** A run that may be stopped now, on a worker with more tasks of its step than may be lost at once. A run that is not at work goes first, since its stop makes no further task unavailable. */
export const chooseRunToMove = (worker: WorkerRow, now: number): RunRow | undefined => {
	const candidates = [...listLimitedTasks(worker)].filter(([step, tasks]) => !mayLoseTasks(step, tasks, now)).flatMap(([step]) =>
		[...worker.runs.values()].filter(row => row.task.step === step && row.phase === RunPhase.Running && !row.isEvacuating && mayLoseTasks(step, new Set([row.task]), now)));
	return candidates.find(({task}) => !isAvailable(task, now)) ?? candidates[0];
};

const describeTask = (task: TaskRow, absence: AbsenceCause, now: number): string => {
	const rows = [...task.runs.values()].map(({run, worker, percent}) =>
		` run ${run} on ${worker.registration.id} ${percent}% ${Number.isFinite(worker.lastContactAt) ? `${Math.round(now - worker.lastContactAt)} ms` : 'no report'}`);
	return `${task.index} ${absence}${rows.join(',')}`;
};

/** For each step with a limit and tasks on the worker: the limit, the indices of these tasks, and the unavailable tasks on any worker. */
const describeSteps = (worker: WorkerRow, now: number): string[] => [...listLimitedTasks(worker)].map(([step, tasks]) => {
	const unavailable = step.tasks.flatMap(task => {
		const absence = findAbsence(task, now);
		return absence === undefined ? [] : [describeTask(task, absence, now)];
	});
	return `${step.job.declaration.id}.${step.occurrence}.${step.index} allows ${step.declaration.maximumAway}, `
		+ `on the worker: ${[...tasks].slice(0, maximumDescribedTasks).map(({index}) => index).join(' ')}; unavailable: ${unavailable.slice(0, maximumDescribedTasks).join('; ')}`;
});

/** `row` is the run that is stopped; undefined if all runs on the worker end. */
export const describeDisruption = (options: {readonly cause: DisruptionCause; readonly worker: WorkerRow; readonly row?: RunRow; readonly now: number}): DisruptionEvent => {
	const {cause, worker, row, now} = options;
	return {
		type: 'disruption', cause, worker: worker.registration.id, task: row?.task.name, run: row?.run, runs: worker.runs.size, steps: describeSteps(worker, now),
	};
};
