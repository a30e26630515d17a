/** Checks from outside what the users' rules forbid: it sees what workers and the machines' service do, and what callers are told. */
import type {JobDeclaration, StepDeclaration} from '@turmericbay/scheduler';
import {EndReason, JobState} from '@turmericbay/scheduler';
import type {WorkerEvent} from './worker-types.js';

/** Holders may not take turns on a machine within this time (the users' bounds, `leaseTtlMs`). */
const turnMilliseconds = 3000;
/** A cancelled job starts nothing later than this after the acknowledgement (`cancel_ms`). */
const cancelMilliseconds = 3000;
/** A copy of a done task may still start this long after the end was acknowledged. */
const copyMilliseconds = 1000;

export type Violation = {readonly rule: string; readonly at: number; readonly what: string};

type TaskHistory = {
	/** Runs at work, with their workers. */
	readonly running: Map<number, string>;
	isDone: boolean;
	/** Ends that are not acknowledged yet, by run. */
	readonly open: Map<number, {readonly reason: EndReason; readonly at: number; readonly worker: string}>;
	doneAcknowledgedAt: number | undefined;
	/** Starts after an end `done` of which it is not known yet whether it counts. */
	readonly startedAfterDone: Array<{readonly run: number; readonly at: number}>;
	failedAcknowledged: number;
	readonly checkpoints: Set<string>;
};

export type Oracle = ReturnType<typeof createOracle>;

export const createOracle = (options: {readonly maximumAttempts: number; readonly maximumOf: (workspace: string) => number}) => {
	const {maximumAttempts, maximumOf} = options;
	const violations: Violation[] = [];
	const jobs = new Map<string, JobDeclaration>();
	const tasks = new Map<string, TaskHistory>();
	const cancelledAt = new Map<string, number>();
	const shown = new Map<string, JobState>();
	const duties = new Map<string, {holder: string; fencingToken: number; at: number}>();
	const waves = new Map<number, number>();
	/** Thousandths of a core at work, by workspace. */
	const running = new Map<string, number>();
	let starts = 0;

	const report = (rule: string, at: number, what: string): void => {
		violations.push({rule, at: Math.round(at), what});
	};

	const historyOf = (task: string): TaskHistory => {
		const known = tasks.get(task);
		if (known) {
			return known;
		}

		const history: TaskHistory = {
			running: new Map(), isDone: false, open: new Map(), doneAcknowledgedAt: undefined, startedAfterDone: [], failedAcknowledged: 0, checkpoints: new Set(),
		};
		tasks.set(task, history);
		return history;
	};

	const readName = (task: string) => {
		const [id = '', occurrence = '0', step = '0'] = task.split('.');
		return {id, occurrence, step: Number(step)};
	};

	const stepOf = (task: string): StepDeclaration | undefined => {
		const {id, step} = readName(task);
		return jobs.get(id)?.steps[step];
	};

	const countRunning = (task: string, sign: 1 | -1): void => {
		const workspace = jobs.get(readName(task).id)?.workspace;
		if (workspace !== undefined) {
			running.set(workspace, (running.get(workspace) ?? 0) + (sign * (stepOf(task)?.resources.cpuMillis ?? 0)));
		}
	};

	const checkOrder = (task: string, now: number): void => {
		const {id, occurrence, step} = readName(task);
		const job = jobs.get(id)!;
		for (const before of job.steps[step]!.after) {
			for (let index = 0; index < job.steps[before]!.taskCount; index += 1) {
				if (!historyOf(`${id}.${occurrence}.${before}.${index}`).isDone) {
					report('ORDER', now, `${task} began before step ${before} was done`);
					return;
				}
			}
		}
	};

	const noteStart = (event: Extract<WorkerEvent, {type: 'started'}>, worker: string, now: number): void => {
		const {task, run} = event;
		starts += 1;
		const {id} = readName(task);
		const job = jobs.get(id);
		const step = stepOf(task);
		const history = historyOf(task);
		if (!job || !step) {
			report('UNASKED', now, `${task} was never sent`);
			return;
		}

		if (history.running.size > 0 && !step.speculative) {
			report('TWICE', now, `${task} runs on ${worker} and ${[...history.running.values()].join(' ')}`);
		}

		history.running.set(run, worker);
		countRunning(task, 1);
		if (history.doneAcknowledgedAt !== undefined && (!step.speculative || now > history.doneAcknowledgedAt + copyMilliseconds)) {
			report('TWICE', now, `${task} began after it was done`);
		} else if (history.isDone && !step.speculative) {
			history.startedAfterDone.push({run, at: now});
		}

		if (history.failedAcknowledged >= maximumAttempts && !step.longRunning && !step.speculative) {
			report('BUDGET', now, `${task} began after ${history.failedAcknowledged} failures`);
		}

		const cancelled = cancelledAt.get(id);
		if (cancelled !== undefined && now > cancelled + cancelMilliseconds) {
			report('UNASKED', now, `${task} began ${Math.round(now - cancelled)} ms after the cancellation`);
		}

		if (event.checkpoint !== '' && !event.checkpoint.startsWith(`${id}-`)) {
			report('UNASKED', now, `${task} began with a checkpoint of another job`);
		}

		if (job.workspace !== undefined) {
			const maximum = maximumOf(job.workspace);
			const used = running.get(job.workspace) ?? 0;
			if (maximum > 0 && used > (maximum * 1.1) + step.resources.cpuMillis) {
				report('QUOTA', now, `${job.workspace} has ${used} of ${maximum}`);
			}
		}

		checkOrder(task, now);
	};

	return {
		violations,
		countStarts: () => starts,
		recordSubmission(declaration: JobDeclaration): void {
			jobs.set(declaration.id, declaration);
		},
		recordCancellation(id: string, now: number): void {
			cancelledAt.set(id, cancelledAt.get(id) ?? now);
		},
		recordShownState(id: string, state: JobState, now: number): void {
			shown.set(id, state);
			const job = jobs.get(id);
			if (state === JobState.Completed && job?.repetitions === 0) {
				for (const [step, {taskCount}] of job.steps.entries()) {
					for (let index = 0; index < taskCount; index += 1) {
						if (!historyOf(`${id}.0.${step}.${index}`).isDone) {
							report('MIXED', now, `${id} is shown as completed, ${step}.${index} is not done`);
							return;
						}
					}
				}
			}
		},
		recordWorkerEvent(event: WorkerEvent, {worker, now}: {readonly worker: string; readonly pool: string; readonly now: number}): void {
			if (event.type === 'lapsed') {
				// Ends that were not acknowledged before the lease ended no longer count (the users' rule TWICE).
				for (const history of tasks.values()) {
					for (const [run, end] of history.open) {
						if (end.worker === worker) {
							history.open.delete(run);
						}
					}
				}

				return;
			}

			const history = historyOf(event.task);
			switch (event.type) {
				case 'started': {
					noteStart(event, worker, now);
					break;
				}

				case 'ended': {
					if (history.running.delete(event.run)) {
						countRunning(event.task, -1);
					}

					history.open.set(event.run, {reason: event.reason, at: now, worker});
					history.isDone ||= event.reason === EndReason.Done;
					break;
				}

				case 'acknowledged': {
					const end = history.open.get(event.run);
					if (end === undefined) {
						break;
					}

					history.open.delete(event.run);

					if (event.reason === EndReason.Done) {
						history.doneAcknowledgedAt ??= now;
						if (history.startedAfterDone.some(start => start.at >= end.at)) {
							report('TWICE', now, `${event.task} began again after an end that was acknowledged later`);
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
			const last = duties.get(machine);
			if (last) {
				if (last.holder !== holder && last.fencingToken === fencingToken) {
					report('ONE', now, `${machine}: two holders with token ${fencingToken}`);
				}

				if (fencingToken < last.fencingToken) {
					report('ONE', now, `${machine}: token ${fencingToken} after ${last.fencingToken}`);
				}

				if (last.holder !== holder && now - last.at < turnMilliseconds) {
					report('ONE', now, `${machine}: ${last.holder} and ${holder} within ${Math.round(now - last.at)} ms`);
				}
			}

			duties.set(machine, {holder, fencingToken, at: now});
		},
		/** Accepted jobs that nobody cancelled and that are not shown as ended. */
		listUnfinished: (accepted: Iterable<string>): string[] => [...accepted].filter(id => {
			const state = shown.get(id);
			return !cancelledAt.has(id) && state !== JobState.Completed && state !== JobState.Failed;
		}),
	};
};
