/**
 * The deciding core of the owner: tables of jobs, workers and runs, and the
 * systems that run over them each tick. It does no input or output; times and
 * answers are passed in, orders are returned.
 */
import {createDemandEstimator} from './demand.js';
import {createJobTable, isActive} from './jobs.js';
import type {SchedulerEvent} from './reconciler.js';
import {createReconciler} from './reconciler.js';
import type {
	JobDeclaration, JobRow, Policies, RunRow, Ticket, RunReport, WorkerRegistration, WorkerRow,
} from './model.js';
import {formatRunKey, JobState, RunPhase} from './model.js';
import type {ThrottleOrder} from './throttling.js';
import {createThrottling} from './throttling.js';
import type {AdviceOrder, StartOrder} from './placement.js';
import {createPlacement} from './placement.js';
import type {JobProgress} from './progress.js';
import {createSpeedEstimator} from './speeds.js';
import {createStartOutcomeHandler} from './start-outcomes.js';
import type {StopOrder} from './stops.js';
import {createStopPlanner} from './stops.js';
import {createWorkerTable} from './workers.js';

/** Starts of one owner stay below this number for each task, so that the next owner's numbers are higher without a write per start. */
const runsPerEpoch = 1000;
/** A worker that fails what it starts gets no new work for this time. */
const failingPauseMilliseconds = 4000;
/** Failed runs after which a worker counts as failing, if they outnumber its good ones. */
const failingRuns = 3;
/** Counts of ends are halved after this time, so that a worker is judged by its last seconds. */
const countHalfLifeMilliseconds = 3000;

export type Order = StartOrder | AdviceOrder | ThrottleOrder | StopOrder;

/** A list entry or an answer may arrive after the worker has started again; it says nothing about the life of now. */
const isEarlierIncarnation = (bornAt: number | undefined, worker: WorkerRow): boolean =>
	bornAt !== undefined && worker.incarnation !== undefined && bornAt < worker.incarnation;

export type Scheduler = ReturnType<typeof createScheduler>;

export const createScheduler = (options: {
	/** Rises with each change of the owner; 1 for the first. */
	readonly epoch: number;
	readonly emit: (event: SchedulerEvent) => void;
}) => {
	const {epoch, emit} = options;
	let policies: Policies = {queues: new Map(), pools: new Map(), workspaces: new Map()};
	let countsHalvedAt = Number.NEGATIVE_INFINITY;
	const jobs = createJobTable();
	const workers = createWorkerTable();
	const firstRun = ((epoch - 1) * runsPerEpoch) + 1;
	const reconciler = createReconciler({
		jobs, workers, firstRun, policyOf: queue => policies.queues.get(queue), emit,
	});
	const placement = createPlacement({workers, policies: () => policies, firstRun: () => firstRun});
	const stops = createStopPlanner({reconciler, workers});
	const outcomes = createStartOutcomeHandler({jobs, reconciler});
	const pacing = createThrottling();
	const speeds = createSpeedEstimator();
	const demand = createDemandEstimator();

	const judgeWorkers = (now: number): void => {
		speeds.update(workers.workers.values(), now);
		const isHalving = now - countsHalvedAt > countHalfLifeMilliseconds;
		for (const worker of workers.workers.values()) {
			if (worker.recentFailures >= failingRuns && worker.recentFailures > worker.recentSuccesses) {
				worker.avoidUntil = Math.max(worker.avoidUntil, now + failingPauseMilliseconds);
				worker.recentFailures = 0;
			}

			for (const row of speeds.findStuck(worker, now)) {
				row.isEvacuating = true;
				row.task.failedWorkers.push(worker.registration.id);
				worker.avoidUntil = Math.max(worker.avoidUntil, now + failingPauseMilliseconds);
			}

			if (isHalving) {
				worker.recentFailures /= 2;
				worker.recentSuccesses /= 2;
			}
		}

		countsHalvedAt = isHalving ? now : countsHalvedAt;
	};

	return {
		/** What each pool that runs work has to do now. */
		measurePoolDemands: (now: number) => demand.measure(jobs.jobs.values(), policies.queues, now),
		policies: () => policies,
		jobs: jobs.jobs,
		changedJobs: jobs.changedJobs,
		workers: workers.workers,
		setPolicies(next: Policies): void {
			policies = next;
		},
		addJob(declaration: JobDeclaration, context: {readonly progress?: JobProgress; readonly restored: boolean; readonly now: number; readonly wallNow: number}): JobRow {
			if (!context.restored && !jobs.jobs.has(declaration.id)) {
				demand.recordArrival(declaration, policies.queues.get(declaration.queue), context.now);
			}

			return jobs.add({
				declaration, policy: policies.queues.get(declaration.queue), progress: context.progress, now: context.now, wallNow: context.wallNow,
			});
		},
		/** A former owner may have started this run; until its worker has told, or its lease has ended, it counts as running. */
		restoreRun(change: {readonly worker: WorkerRow; readonly task: string; readonly run: number; readonly now: number}): RunRow | undefined {
			const {worker, run, now} = change;
			const task = jobs.findTask(change.task);
			if (!task || task.done || worker.isReconciled) {
				return undefined;
			}

			// Long runs are recorded more than once.
			return worker.runs.get(formatRunKey(task.name, run)) ?? workers.addRun({
				task, worker, run, phase: RunPhase.Unconfirmed, now,
			});
		},
		cancelJob(id: string): void {
			const job = jobs.jobs.get(id);
			if (job && isActive(job)) {
				job.state = JobState.Cancelled;
				jobs.markChanged(job);
			}
		},
		/** True if nothing of the job runs or may still start. */
		hasNoRuns(job: JobRow): boolean {
			for (const steps of job.occurrences.values()) {
				for (const step of steps) {
					if (step.tasks.some(task => task.runs.size > 0)) {
						return false;
					}
				}
			}

			return true;
		},
		removeJob(job: JobRow): void {
			jobs.remove(job);
		},
		registerWorker(change: {readonly registration: WorkerRegistration; readonly isRegistered: boolean; readonly isReconciled: boolean; readonly latestLeaseExpiry: number}): WorkerRow {
			const known = workers.workers.get(change.registration.id);
			if (known && isEarlierIncarnation(change.registration.incarnation, known)) {
				return known;
			}

			const worker = workers.register(change);
			if (change.isRegistered && change.registration.incarnation !== undefined && worker.incarnation !== undefined && change.registration.incarnation !== worker.incarnation) {
				reconciler.handleRestart(worker, change.registration.incarnation);
			}

			return worker;
		},
		/** The worker ended: another process answers at its address. */
		markWorkerLost(worker: WorkerRow): void {
			worker.isReconciled = true;
			for (const row of worker.runs.values()) {
				reconciler.dropRun(row, 'lost');
			}

			worker.latestLeaseExpiry = Number.NEGATIVE_INFINITY;
		},
		applyRunReport(change: {readonly worker: WorkerRow; readonly report: RunReport; readonly sentAt: number; readonly now: number}): void {
			if (isEarlierIncarnation(change.report.incarnation, change.worker)) {
				return;
			}

			change.worker.lastContactAt = Math.max(change.worker.lastContactAt, change.sentAt);
			change.worker.unansweredCalls = 0;
			reconciler.applyRunReport(change);
		},
		recordStartOutcome: outcomes.record,
		recordStopOutcome(row: RunRow, isAnswered: boolean, now: number): void {
			row.stopInFlight = false;
			if (isAnswered) {
				row.stopAcknowledgedAt = now;
			}
		},
		recordThrottleOutcome(row: RunRow, percent: number, isAnswered: boolean): void {
			row.throttleInFlight = false;
			if (isAnswered) {
				row.speedLimitPercent = percent;
			}
		},
		recordAdvice(order: AdviceOrder, tickets: ReadonlyMap<string, Ticket> | undefined): void {
			order.step.adviceInFlight = false;
			if (!tickets) {
				return;
			}

			for (const worker of order.workers) {
				const ticket = tickets.get(worker);
				if (ticket) {
					order.step.tickets.set(worker, ticket);
				} else {
					order.step.disallowedWorkers.add(worker);
				}
			}
		},
		/** Orders of this tick. Without `mayStart` nothing new is started. */
		plan(context: {readonly now: number; readonly wallNow: number; readonly mayStart: boolean}): Order[] {
			const {now, wallNow, mayStart} = context;
			reconciler.dropExpiredRuns(now);
			jobs.openDueOccurrences(wallNow);
			judgeWorkers(now);
			const orders: Order[] = stops.plan(now);
			if (mayStart) {
				orders.push(...placement.place(jobs.jobs.values(), now), ...pacing.plan(workers.workers.values(), now));
			}

			return orders;
		},
	};
};
