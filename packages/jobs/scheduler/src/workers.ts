/** The table of workers and of the runs on them. */
import type {
	Resources, RunRow, TaskRow, WorkerRegistration, WorkerRow,
} from './model.js';
import {formatRunKey, JobState, RunPhase} from './model.js';

/** A worker's steady clock may be this much slow (the users' protocol page). */
export const minimumWorkerClockRate = 0.98;
/** Covers timers that fire late on either side, in milliseconds. */
const lapseSlackMilliseconds = 200;

export const computeLatestLeaseExpiry = (options: {readonly now: number; readonly leaseMilliseconds: number}): number =>
	options.now + (options.leaseMilliseconds / minimumWorkerClockRate) + lapseSlackMilliseconds;

/** Room that a task takes; tasks that fill use no processor time of their own. */
export const estimateUsage = (task: TaskRow): Resources => {
	const {resources, fills} = task.step.declaration;
	return fills ? {...resources, cpuMillis: 0} : resources;
};

export type WorkerTable = ReturnType<typeof createWorkerTable>;

export const createWorkerTable = () => {
	const workers = new Map<string, WorkerRow>();
	/** What each workspace has running, including what is being stopped or may run. */
	const workspaceUse = new Map<string, {cpuMillis: number; memoryMegabytes: number; accelerators: number}>();

	const countUse = (run: RunRow, sign: 1 | -1): void => {
		const room = estimateUsage(run.task);
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
				task, worker, run, phase, startedAt: now, progressedAt: now,
				confirmedAt: phase === RunPhase.Running ? now : undefined, unconfirmedAt: phase === RunPhase.Unconfirmed ? now : undefined,
				stopSentAt: undefined, stopAcknowledgedAt: undefined, stopInFlight: false,
				percent: 0, measured: 0, speedLimitPercent: 100, throttleInFlight: false, isEvacuating: false,
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
		register(options: {readonly registration: WorkerRegistration; readonly isRegistered: boolean; readonly isReconciled: boolean; readonly latestLeaseExpiry: number}): WorkerRow {
			const {registration, isRegistered, isReconciled, latestLeaseExpiry} = options;
			const known = workers.get(registration.id);
			if (known) {
				known.registration = registration;
				known.isRegistered = isRegistered;
				return known;
			}

			const row: WorkerRow = {
				registration, isRegistered, incarnation: registration.incarnation, isReconciled, latestLeaseExpiry, lastContactAt: Number.NEGATIVE_INFINITY, unansweredCalls: 0,
				lastAppliedSequence: 0, avoidUntil: 0, isCordoned: false, isTerminating: false, runs: new Map(), used: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0},
				recentFailures: 0, recentSuccesses: 0, speed: 1,
			};
			workers.set(registration.id, row);
			return row;
		},
	};
};
