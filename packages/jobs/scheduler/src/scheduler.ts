/**
 * The scheduler of the owner; at any time only one instance is the owner and
 * schedules all jobs. Holds tables of jobs, workers and runs, and plans over them on
 * each tick. It does no input or output: the caller passes in times and
 * responses and carries out the returned orders.
 */
import {createCrashTracker} from './crashes.js';
import {describeDisruption} from './availability.js';
import {createDemandEstimator} from './demand.js';
import {createDurationEstimator} from './durations.js';
import type {SchedulerEvent} from './events.js';
import {ProcessEndEvidence} from './events.js';
import {createFailJob} from './job-failures.js';
import {createJobTable, isActive} from './jobs.js';
import type {GetMovableCapacity} from './load-figures.js';
import {computeLoadFigures} from './load-figures.js';
import type {
	JobDeclaration, JobRow, Policies, RunReport, RunRow, Ticket, WorkerRegistration, WorkerRow,
} from './model.js';
import {formatRunKey, JobState, RunPhase} from './model.js';
import type {AdviceOrder} from './advice.js';
import {createAdviceOrders, hasValidTicket} from './advice.js';
import type {DecidePlace} from './place-wait.js';
import {decidePlace as compareExpectedEnds} from './place-wait.js';
import type {StartOrder} from './placement.js';
import {createPlacement, isSchedulable} from './placement.js';
import type {JobProgress} from './progress.js';
import {createReconciler} from './reconciler.js';
import {createSlowStarts} from './slow-starts.js';
import {createSpeedEstimator} from './speeds.js';
import {createStartOutcomeHandler} from './start-outcomes.js';
import type {StopOrder} from './stops.js';
import {createStopPlanner} from './stops.js';
import type {ThrottleOrder} from './throttling.js';
import {createThrottling} from './throttling.js';
import {createWaitingStepMonitor} from './waiting-steps.js';
import {createWorkerTable, isEarlierIncarnation} from './workers.js';
import {createZoneEvacuation} from './zone-evacuation.js';

/**
 * Run numbers reserved for each task and epoch, so that the runs of a new owner get higher numbers than all earlier ones
 * without a write per start. After more runs than this in one epoch, workers would reject starts of the next owner as superseded.
 */
const runsPerEpoch = 1000;
/** A worker on which runs fail or stall gets no new runs for this time. */
const failingWorkerPauseMilliseconds = 4000;
/** A worker counts as failing after this many recent failures, if they outnumber the successes. */
const failingRunThreshold = 3;
/** Stalls and failures show over seconds, so the health of workers is not assessed on each tick. */
const healthCheckIntervalMilliseconds = 100;
/** Counts of successes and failures are halved at this interval, so that only recent ones matter. */
const countHalvingMilliseconds = 3000;

export type Order = StartOrder | AdviceOrder | ThrottleOrder | StopOrder;

export type Scheduler = ReturnType<typeof createScheduler>;

export const createScheduler = (options: {
	/** Increases with each change of the owner, starting at 1. */
	readonly epoch: number;
	/** How many times as long a task takes away from its preferred rack; 1 if unknown, and then no task waits for a rack. */
	readonly farFactor?: number;
	/** Most steps and tasks in the open occurrences of a recurring job. */
	readonly maximumOpenRows?: number;
	/** Replaces the comparison of expected ends; used to compare it with other rules. */
	readonly decidePlace?: DecidePlace;
	readonly emit: (event: SchedulerEvent) => void;
}) => {
	const {epoch, farFactor = 1, maximumOpenRows, decidePlace = compareExpectedEnds, emit} = options;
	let policies: Policies = {queues: new Map(), pools: new Map(), workspaces: new Map()};
	let countsHalvedAt = Number.NEGATIVE_INFINITY;
	let healthCheckedAt = Number.NEGATIVE_INFINITY;
	const jobs = createJobTable(maximumOpenRows);
	const workers = createWorkerTable();
	const firstRunOfEpoch = ((epoch - 1) * runsPerEpoch) + 1;
	const failJob = createFailJob({jobs, emit});
	const crashes = createCrashTracker({
		jobs, workers, firstRunOfEpoch, failJob, emit,
	});
	const durations = createDurationEstimator();
	const reconciler = createReconciler({
		jobs, workers, crashes, failJob, durations, firstRunOfEpoch, getPolicy: queue => policies.queues.get(queue), emit,
	});
	const placement = createPlacement({
		workers, getPolicies: () => policies, getFirstRunOfEpoch: () => firstRunOfEpoch, crashedTasks: crashes.crashedTasks, durations, farFactor, decidePlace, emit,
	});
	const stopPlanner = createStopPlanner({reconciler, workers, emit});
	const startOutcomes = createStartOutcomeHandler({jobs, reconciler});
	const throttling = createThrottling();
	const waitingStepMonitor = createWaitingStepMonitor({workers, getPolicies: () => policies, emit});
	const speedEstimator = createSpeedEstimator();
	const demandEstimator = createDemandEstimator();
	const slowStarts = createSlowStarts();
	const zoneEvacuation = createZoneEvacuation({workers: workers.workers, hasPreviousOwner: epoch > 1, emit});

	const updateWorkerHealth = (now: number): void => {
		if (now - healthCheckedAt < healthCheckIntervalMilliseconds) {
			return;
		}

		healthCheckedAt = now;
		speedEstimator.update(workers.workers.values(), now);
		const isHalving = now - countsHalvedAt > countHalvingMilliseconds;
		for (const worker of workers.workers.values()) {
			if (worker.recentFailures >= failingRunThreshold && worker.recentFailures > worker.recentSuccesses) {
				worker.avoidUntil = Math.max(worker.avoidUntil, now + failingWorkerPauseMilliseconds);
				worker.recentFailures = 0;
			}

			for (const row of speedEstimator.findStalledRuns(worker, now)) {
				row.isEvacuating = true;
				row.task.failedWorkers.push(worker.registration.id);
				worker.avoidUntil = Math.max(worker.avoidUntil, now + failingWorkerPauseMilliseconds);
			}

			if (isHalving) {
				worker.recentFailures /= 2;
				worker.recentSuccesses /= 2;
			}
		}

		countsHalvedAt = isHalving ? now : countsHalvedAt;
	};

	/** Moves runs out of evacuated zones, with the capacity that the placement of this tick has left. */
	const planEvacuation = (now: number): Order[] => {
		const plan = zoneEvacuation.plan({
			workers: workers.workers.values(), policies, durations, now,
			isSchedulable: worker => isSchedulable(worker, now),
			hasTicket: (step, worker) => hasValidTicket(step, worker, now),
			mayShare: (task, worker) => placement.mayShare(task, worker, now),
			mayRestart: task => task.notBefore <= now && task.crashDelayUntil <= now && placement.isWithinWorkspaceLimit(task, 0),
		});
		zoneEvacuation.apply(plan, now);
		const adviceOrders = [...plan.unadvised].flatMap(([step, usable]) => createAdviceOrders(step, usable, now));
		// Stopped in this tick, so that the count of tasks that are away is still true when the orders are sent.
		return plan.moved.length > 0 ? [...adviceOrders, ...stopPlanner.plan(now)] : adviceOrders;
	};

	return {
		measurePoolDemands: (now: number) => demandEstimator.measure(jobs.jobs.values(), policies.queues, now),
		computeLoadFigures: (getMovableCapacity: GetMovableCapacity, now: number) => computeLoadFigures({
			jobs: jobs.jobs.values(), workers: workers.workers.values(), policies, durations, getMovableCapacity, now,
		}),
		policies: () => policies,
		durations,
		jobs: jobs.jobs,
		changedJobs: jobs.changedJobs,
		workers: workers.workers,
		/** Zones whose workers get no new runs until they are no longer among them. */
		setEvacuatedZones: zoneEvacuation.setZones,
		isEvacuated: zoneEvacuation.isEvacuated,
		measureEvacuations: zoneEvacuation.measure,
		/** Accepted jobs of a queue that is no longer configured go on under its last known policy. */
		setPolicies(next: Policies): void {
			const queues = new Map(next.queues);
			for (const job of jobs.jobs.values()) {
				const {queue} = job.declaration;
				const previous = policies.queues.get(queue);
				if (previous && !queues.has(queue) && isActive(job)) {
					queues.set(queue, previous);
				}
			}

			policies = {...next, queues};
		},
		/** `isRestored`: loaded from the store by a new owner, so that the job does not count as an arrival. */
		addJob(declaration: JobDeclaration, context: {readonly progress?: JobProgress; readonly isRestored: boolean; readonly now: number; readonly wallNow: number}): JobRow {
			const {queue, acceptedPolicy} = declaration;
			if (acceptedPolicy && !policies.queues.has(queue)) {
				policies = {...policies, queues: new Map([...policies.queues, [queue, acceptedPolicy]])};
			}

			if (!context.isRestored && !jobs.jobs.has(declaration.id)) {
				demandEstimator.recordArrival(declaration, policies.queues.get(declaration.queue), context.now);
			}

			const job = jobs.add({
				declaration, policy: policies.queues.get(declaration.queue), progress: context.progress, now: context.now, wallNow: context.wallNow,
			});
			crashes.restore(Object.keys(context.progress?.crashes ?? {}));
			return job;
		},
		/** Adds a run that a previous owner may have started; it counts as running until the worker has reported or its lease has expired. */
		restoreRun(change: {readonly worker: WorkerRow; readonly task: string; readonly run: number; readonly now: number}): RunRow | undefined {
			const {worker, run, now} = change;
			const task = jobs.findTask(change.task);
			if (!task || task.done || worker.isReconciled) {
				return undefined;
			}

			// A long run may be in several records.
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
		/** Fails a job whose progress cannot be stored. */
		failJob(job: JobRow): void {
			if (isActive(job)) {
				job.state = JobState.Failed;
				jobs.markChanged(job);
			}
		},
		/** True if the job has no runs, not even unconfirmed ones. */
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
			const existing = workers.workers.get(change.registration.id);
			if (existing && isEarlierIncarnation(change.registration.incarnation, existing)) {
				return existing;
			}

			const worker = workers.register(change);
			if (change.isRegistered && change.registration.incarnation !== undefined && worker.incarnation !== undefined && change.registration.incarnation !== worker.incarnation) {
				reconciler.handleRestart(worker, change.registration.incarnation, ProcessEndEvidence.Registration);
			}

			if (change.isRegistered) {
				crashes.recordRegistration(worker);
			}

			return worker;
		},
		/** Counts crashes of runs that previous owners had started on an earlier process of the worker. */
		recordPreviousRuns: crashes.recordPreviousRuns,
		/** Drops all runs of a worker whose process has ended. `isPlanned`: an order has ended it. */
		markWorkerLost(worker: WorkerRow, isPlanned = false): void {
			if (isPlanned) {
				crashes.recordPlannedEnd(worker);
			} else {
				crashes.recordEnd(worker);
			}

			worker.isReconciled = true;
			reconciler.dropLostRuns(worker, isPlanned ? ProcessEndEvidence.MachineOrder : ProcessEndEvidence.AddressReused);
			worker.latestLeaseExpiry = Number.NEGATIVE_INFINITY;
		},
		applyRunReport(change: {readonly worker: WorkerRow; readonly report: RunReport; readonly sentAt: number; readonly now: number}): void {
			if (isEarlierIncarnation(change.report.incarnation, change.worker)) {
				return;
			}

			// If another process has responded, the previous one is judged by its own latest contact.
			reconciler.applyRunReport(change);
			change.worker.lastContactAt = Math.max(change.worker.lastContactAt, change.sentAt);
			change.worker.unansweredCalls = 0;
		},
		takeAdoptedRuns: reconciler.takeAdoptedRuns,
		recordStartOutcome: startOutcomes.record,
		/** Logs an order that is about to end runs. */
		reportDisruption(disruption: Parameters<typeof describeDisruption>[0]): void {
			emit(describeDisruption(disruption));
		},
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
		/** Returns the orders of this tick. New runs are started only if `mayStart` is set. */
		plan(context: {readonly now: number; readonly wallNow: number; readonly mayStart: boolean}): Order[] {
			const {now, wallNow, mayStart} = context;
			reconciler.dropExpiredRuns(now);
			crashes.tick(now);
			jobs.openDueOccurrences(wallNow);
			updateWorkerHealth(now);
			slowStarts.refresh(workers.workers.values(), now);
			zoneEvacuation.refresh(now);
			const orders: Order[] = stopPlanner.plan(now);
			if (mayStart) {
				orders.push(...placement.place(jobs.jobs.values(), now), ...throttling.plan(workers.workers.values(), now), ...planEvacuation(now));
			}

			waitingStepMonitor.check(jobs.jobs.values(), {now, mayStart});
			return orders;
		},
	};
};
