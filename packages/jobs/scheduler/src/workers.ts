/** The table of workers and of the runs on them. */
import type {
	Resources, RunRow, TaskRow, WorkerReport, WorkerRow,
} from './model.js';
import {formatRunKey, JobState, RunPhase} from './model.js';

/** A worker's steady clock may be this much slow (the users' protocol page). */
export const slowestWorkerClock = 0.98;
/** Covers timers that fire late on either side, in milliseconds. */
const lapseSlackMilliseconds = 200;

export const lapseTime = (options: {readonly now: number; readonly leaseMilliseconds: number}): number =>
	options.now + (options.leaseMilliseconds / slowestWorkerClock) + lapseSlackMilliseconds;

/** Room that a task takes; tasks that fill use no processor time of their own. */
export const roomOf = (task: TaskRow): Resources => {
	const {resources, fills} = task.step.declaration;
	return fills ? {...resources, cpuMillis: 0} : resources;
};

export type WorkerTable = ReturnType<typeof createWorkerTable>;

export const createWorkerTable = () => {
	const workers = new Map<string, WorkerRow>();
	/** What each workspace has running, including what is being stopped or may run. */
	const workspaceUse = new Map<string, {cpuMillis: number; memoryMegabytes: number; accelerators: number}>();

	const countUse = (run: RunRow, sign: 1 | -1): void => {
		const room = roomOf(run.task);
		run.worker.used.cpuMillis += sign * room.cpuMillis;
		run.worker.used.memoryMegabytes += sign * room.memoryMegabytes;
		run.worker.used.accelerators += sign * room.accelerators;
		const {workspace} = run.task.step.job.declaration;
		if (workspace !== undefined) {
			const use = workspaceUse.get(workspace) ?? {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
			const {resources} = run.task.step.declaration;
			use.cpuMillis += sign * resources.cpuMillis;
			use.memoryMegabytes += sign * resources.memoryMegabytes;
			use.accelerators += sign * resources.accelerators;
			workspaceUse.set(workspace, use);
		}
	};

	return {
		workers,
		workspaceUse,
		addRun(options: {readonly task: TaskRow; readonly worker: WorkerRow; readonly run: number; readonly phase: RunPhase; readonly now: number}): RunRow {
			const {task, worker, run, phase, now} = options;
			const row: RunRow = {
				task, worker, run, phase, startedAt: now, confirmedAt: phase === RunPhase.Running ? now : undefined, doubtedAt: phase === RunPhase.Unconfirmed ? now : undefined, stopSentAt: undefined,
				stoppedAt: undefined, stopInFlight: false, percent: 0, measured: 0, pacePercent: 100, paceInFlight: false, isEvacuating: false, progressedAt: now,
			};
			if (task.runs.size === 0 && !task.done) {
				task.step.waiting -= 1;
			}

			task.runs.set(run, row);
			task.lastRun = Math.max(task.lastRun, run);
			worker.runs.set(formatRunKey(task.name, run), row);
			countUse(row, 1);
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
				countUse(row, -1);
				if (row.task.runs.size === 0 && !row.task.done) {
					row.task.step.waiting += 1;
				}
			}
		},
		/** Adds a worker or takes over its newest report. */
		report(options: {readonly report: WorkerReport; readonly listed: boolean; readonly resolved: boolean; readonly lapsesBy: number}): WorkerRow {
			const {report, listed, resolved, lapsesBy} = options;
			const known = workers.get(report.id);
			if (known) {
				known.report = report;
				known.listed = listed;
				return known;
			}

			const row: WorkerRow = {
				report, listed, bornAt: report.bornAt, resolved, lapsesBy, answeredAt: Number.NEGATIVE_INFINITY, failures: 0,
				appliedEnd: 0, avoidUntil: 0, closing: false, ending: false, runs: new Map(), used: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0},
				recentFailures: 0, recentSuccesses: 0, speed: 1,
			};
			workers.set(report.id, row);
			return row;
		},
	};
};
