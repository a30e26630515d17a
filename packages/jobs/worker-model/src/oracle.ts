/** Checks the guarantees of the job service from outside: it observes workers, the machine service and the job states that callers are shown. */
import type {JobDeclaration, StepDeclaration} from '@turmericbay/scheduler';
import {EndReason, JobState} from '@turmericbay/scheduler';
import {createAvailabilityCheck} from './availability-check.js';
import type {WorkerEvent} from './worker-types.js';

/** Minimum time between orders of different holders for the same machine (`leaseTtlMs` of the platform). */
const minimumHolderChangeMilliseconds = 3000;
/** No task of a job may start later than this after its cancellation was acknowledged (`cancel_ms` of the platform). */
const cancellationGraceMilliseconds = 3000;
/** A second run of a speculative task may still start this long after the task's end was acknowledged. */
const speculativeStartGraceMilliseconds = 1000;
/** A task under which this many workers have crashed may be given up. */
const crashLimit = 3;
/** Starts after that limit of which the last breaks the rule. */
const startsAfterCrashLimit = 3;
/** The platform tolerates a tenth above the maximum of a workspace, and one task more. */
const quotaTolerance = 1.1;

/**
 * The rules: UNASKED, work that was not requested or is cancelled; TWICE, a task that runs twice; ORDER, a step that
 * starts before its dependencies are done; BUDGET, a start after the last allowed attempt,
 * or repeated starts of a task that has crashed several workers; QUOTA, a workspace above its maximum; MIXED, a completed job with unfinished tasks; LIMIT, too many machines in maintenance; ONE, orders of two holders
 * for the same machine with the same fencing token or in too short a time, or an order with a lower token than the one before;
 * AVAIL, an order that ends a task of a service while too many others are away.
 */
export type Violation = {readonly rule: string; readonly at: number; readonly what: string};

type TaskHistory = {
	/** The worker of each current run. */
	readonly running: Map<number, string>;
	isDone: boolean;
	/** Ends that are not yet acknowledged, by run. */
	readonly unacknowledged: Map<number, {readonly reason: EndReason; readonly at: number; readonly worker: string}>;
	doneAcknowledgedAt: number | undefined;
	/** Starts after a successful end that may still be lost, since it is not acknowledged. */
	readonly startedAfterDone: Array<{readonly run: number; readonly at: number}>;
	failedAcknowledged: number;
	/** Workers that the task has crashed. */
	crashes: number;
	startsAfterCrashes: number;
	readonly checkpoints: Set<string>;
};

export type Oracle = ReturnType<typeof createOracle>;

export const createOracle = (options: {readonly maximumAttempts: number; readonly getMaximumCpuMillis: (workspace: string) => number}) => {
	const {maximumAttempts, getMaximumCpuMillis} = options;
	const violations: Violation[] = [];
	const jobs = new Map<string, JobDeclaration>();
	const tasks = new Map<string, TaskHistory>();
	const cancelledAt = new Map<string, number>();
	const reportedStates = new Map<string, JobState>();
	const latestMachineOrders = new Map<string, {holder: string; fencingToken: number; at: number}>();
	const waves = new Map<number, number>();
	/** CPU of current runs in thousandths of a core, by workspace. */
	const runningCpuMillis = new Map<string, number>();
	let startCount = 0;

	const report = (rule: string, at: number, what: string): void => {
		violations.push({rule, at: Math.round(at), what});
	};

	const getHistory = (task: string): TaskHistory => {
		const existing = tasks.get(task);
		if (existing) {
			return existing;
		}

		const history: TaskHistory = {
			running: new Map(), isDone: false, unacknowledged: new Map(), doneAcknowledgedAt: undefined, startedAfterDone: [],
			failedAcknowledged: 0, crashes: 0, startsAfterCrashes: 0, checkpoints: new Set(),
		};
		tasks.set(task, history);
		return history;
	};

	const parseTaskName = (task: string) => {
		const [id = '', occurrence = '0', step = '0'] = task.split('.');
		return {id, occurrence, step: Number(step)};
	};

	const getStep = (task: string): StepDeclaration | undefined => {
		const {id, step} = parseTaskName(task);
		return jobs.get(id)?.steps[step];
	};

	const availabilityCheck = createAvailabilityCheck({
		getStep,
		isCancelled: task => cancelledAt.has(parseTaskName(task).id),
		report(at, what) {
			report('AVAIL', at, what);
		},
	});

	const adjustRunningCpu = (task: string, sign: 1 | -1): void => {
		const workspace = jobs.get(parseTaskName(task).id)?.workspace;
		if (workspace !== undefined) {
			runningCpuMillis.set(workspace, (runningCpuMillis.get(workspace) ?? 0) + (sign * (getStep(task)?.resources.cpuMillis ?? 0)));
		}
	};

	const checkDependencies = (task: string, now: number): void => {
		const {id, occurrence, step} = parseTaskName(task);
		const job = jobs.get(id)!;
		for (const dependency of job.steps[step]!.after) {
			for (let index = 0; index < job.steps[dependency]!.taskCount; index += 1) {
				if (!getHistory(`${id}.${occurrence}.${dependency}.${index}`).isDone) {
					report('ORDER', now, `${task} started before step ${dependency} was done`);
					return;
				}
			}
		}
	};

	const checkCrashes = (task: string, history: TaskHistory, now: number): void => {
		if (history.crashes < crashLimit) {
			return;
		}

		history.startsAfterCrashes += 1;
		if (history.startsAfterCrashes >= startsAfterCrashLimit) {
			report('BUDGET', now, `${task} started ${history.startsAfterCrashes} times after it had crashed ${crashLimit} workers`);
		}
	};

	const recordStart = (event: Extract<WorkerEvent, {type: 'started'}>, worker: string, now: number): void => {
		const {task, run} = event;
		startCount += 1;
		const {id} = parseTaskName(task);
		const job = jobs.get(id);
		const step = getStep(task);
		const history = getHistory(task);
		if (!job || !step) {
			report('UNASKED', now, `${task} started but belongs to no submitted job`);
			return;
		}

		if (history.running.size > 0 && !step.speculative) {
			report('TWICE', now, `${task} runs on ${worker} and ${[...history.running.values()].join(' ')}`);
		}

		history.running.set(run, worker);
		adjustRunningCpu(task, 1);
		if (history.doneAcknowledgedAt !== undefined && (!step.speculative || now > history.doneAcknowledgedAt + speculativeStartGraceMilliseconds)) {
			report('TWICE', now, `${task} started after it was done`);
		} else if (history.isDone && !step.speculative) {
			history.startedAfterDone.push({run, at: now});
		}

		if (history.failedAcknowledged >= maximumAttempts && !step.longRunning && !step.speculative) {
			report('BUDGET', now, `${task} started after ${history.failedAcknowledged} failures`);
		}

		checkCrashes(task, history, now);
		const cancelled = cancelledAt.get(id);
		if (cancelled !== undefined && now > cancelled + cancellationGraceMilliseconds) {
			report('UNASKED', now, `${task} started ${Math.round(now - cancelled)} ms after the cancellation`);
		}

		if (event.checkpoint !== '' && !event.checkpoint.startsWith(`${id}-`)) {
			report('UNASKED', now, `${task} started with a checkpoint of another job`);
		}

		if (job.workspace !== undefined) {
			const maximum = getMaximumCpuMillis(job.workspace);
			const used = runningCpuMillis.get(job.workspace) ?? 0;
			if (maximum > 0 && used > (maximum * quotaTolerance) + step.resources.cpuMillis) {
				report('QUOTA', now, `workspace ${job.workspace} uses ${used} of ${maximum} thousandths of a core`);
			}
		}

		checkDependencies(task, now);
	};

	return {
		violations,
		countStarts: () => startCount,
		recordSubmission(declaration: JobDeclaration): void {
			jobs.set(declaration.id, declaration);
		},
		recordCancellation(id: string, now: number): void {
			cancelledAt.set(id, cancelledAt.get(id) ?? now);
		},
		recordReportedState(id: string, state: JobState, now: number): void {
			reportedStates.set(id, state);
			const job = jobs.get(id);
			if (state === JobState.Completed && job?.repetitions === 0) {
				for (const [step, {taskCount}] of job.steps.entries()) {
					for (let index = 0; index < taskCount; index += 1) {
						if (!getHistory(`${id}.0.${step}.${index}`).isDone) {
							report('MIXED', now, `${id} is shown as completed, but task ${step}.${index} is not done`);
							return;
						}
					}
				}
			}
		},
		recordWorkerEvent(event: WorkerEvent, {worker, now}: {readonly worker: string; readonly pool: string; readonly now: number}): void {
			availabilityCheck.recordWorkerEvent(event, now);
			if (event.type === 'lease-expired') {
				// An end that was not acknowledged before the lease expired no longer counts: the task may run again.
				for (const history of tasks.values()) {
					for (const [run, end] of history.unacknowledged) {
						if (end.worker === worker) {
							history.unacknowledged.delete(run);
						}
					}
				}

				return;
			}

			const history = getHistory(event.task);
			switch (event.type) {
				case 'started': {
					recordStart(event, worker, now);
					break;
				}

				case 'ready':
				case 'displaced': {
					break;
				}

				case 'crashed': {
					history.crashes += 1;
					break;
				}

				case 'ended': {
					if (history.running.delete(event.run)) {
						adjustRunningCpu(event.task, -1);
					}

					history.unacknowledged.set(event.run, {reason: event.reason, at: now, worker});
					history.isDone ||= event.reason === EndReason.Done;
					break;
				}

				case 'acknowledged': {
					const end = history.unacknowledged.get(event.run);
					if (end === undefined) {
						break;
					}

					history.unacknowledged.delete(event.run);

					if (event.reason === EndReason.Done) {
						history.doneAcknowledgedAt ??= now;
						if (history.startedAfterDone.some(start => start.at >= end.at)) {
							report('TWICE', now, `${event.task} started again after an end that was acknowledged later`);
						}
					} else if (event.reason === EndReason.Failed) {
						history.failedAcknowledged += 1;
					}

					break;
				}
			}
		},
		recordWave(wave: number, maximum: number): void {
			waves.set(wave, maximum);
		},
		recordMaintenance(down: number, wave: number, now: number): void {
			if (down > (waves.get(wave) ?? 0)) {
				report('LIMIT', now, `${down} machines of wave ${wave} are down`);
			}
		},
		recordMachineOrder({machine, holder, fencingToken, now}: {readonly machine: string; readonly holder: string; readonly fencingToken: number; readonly now: number}): void {
			const latest = latestMachineOrders.get(machine);
			if (latest) {
				if (latest.holder !== holder && latest.fencingToken === fencingToken) {
					report('ONE', now, `${machine}: orders of two holders with fencing token ${fencingToken}`);
				}

				if (fencingToken < latest.fencingToken) {
					report('ONE', now, `${machine}: fencing token ${fencingToken} after ${latest.fencingToken}`);
				}

				if (latest.holder !== holder && now - latest.at < minimumHolderChangeMilliseconds) {
					report('ONE', now, `${machine}: ${latest.holder} and ${holder} within ${Math.round(now - latest.at)} ms`);
				}
			}

			latestMachineOrders.set(machine, {holder, fencingToken, at: now});
		},
		/** Accepted jobs that were not cancelled and are not shown as completed or failed. */
		listUnfinished: (accepted: Iterable<string>): string[] => [...accepted].filter(id => {
			const state = reportedStates.get(id);
			return !cancelledAt.has(id) && state !== JobState.Completed && state !== JobState.Failed;
		}),
	};
};
