/**
 * Detects steps that could run and have no run for long, and reports the figures that decide about
 * their placement, so that work that stands still can be told from work that only queues.
 */
import {isActive, isStepReady} from './jobs.js';
import type {JobRow, Policies, StepRow} from './model.js';
import {isSchedulable} from './placement.js';
import type {WorkerTable} from './workers.js';
import {getReservedResources, hasCapacityFor} from './workers.js';

/** A step is reported once it has had no run for this time, and again after each further one. */
const reportAfterMilliseconds = 3000;
const checkIntervalMilliseconds = 1000;
/** Bounds the log volume while many jobs wait. */
const maximumReportsPerCheck = 10;

export type StepWaitingEvent = {
	readonly type: 'step-waiting';
	readonly job: string;
	readonly occurrence: number;
	readonly step: number;
	/** Tasks that are neither done nor have a run. */
	readonly tasks: number;
	readonly milliseconds: number;
	/** False while this owner may not start tasks, since its lease or the list of evacuated zones is not confirmed. */
	readonly mayStart: boolean;
	/** Workers of the pool that may get runs, and those among them with enough free capacity. */
	readonly schedulableWorkers: number;
	readonly workersWithCapacity: number;
	/** CPU of the workspace's runs and its maximum, in thousandths of a core; undefined without a workspace or a maximum. */
	readonly workspaceCpuMillis: number | undefined;
	readonly maximumCpuMillis: number | undefined;
};

export const createWaitingStepMonitor = (options: {
	readonly workers: WorkerTable;
	readonly getPolicies: () => Policies;
	readonly emit: (event: StepWaitingEvent) => void;
}) => {
	const {workers, getPolicies, emit} = options;
	let checkedAt = Number.NEGATIVE_INFINITY;
	let waitingSteps = new Map<StepRow, {readonly since: number; readonly reportedAt: number}>();

	const report = (step: StepRow, milliseconds: number, context: {readonly now: number; readonly mayStart: boolean}): void => {
		const {declaration: job} = step.job;
		const policies = getPolicies();
		const pool = policies.queues.get(job.queue)?.pool;
		const schedulable = [...workers.workers.values()].filter(worker => worker.registration.pool === pool && isSchedulable(worker, context.now));
		const required = getReservedResources(step.tasks[0]!);
		const maximum = job.workspace === undefined ? undefined : policies.workspaces.get(job.workspace)?.maximum;
		emit({
			type: 'step-waiting', job: job.id, occurrence: step.occurrence, step: step.index, tasks: step.waiting, milliseconds: Math.round(milliseconds), mayStart: context.mayStart,
			schedulableWorkers: schedulable.length, workersWithCapacity: schedulable.filter(worker => hasCapacityFor(worker, required)).length,
			workspaceCpuMillis: job.workspace === undefined ? undefined : workers.workspaceUsage.get(job.workspace)?.cpuMillis, maximumCpuMillis: maximum?.cpuMillis,
		});
	};

	return {
		check(jobs: Iterable<JobRow>, context: {readonly now: number; readonly mayStart: boolean}): void {
			const {now} = context;
			if (now - checkedAt < checkIntervalMilliseconds) {
				return;
			}

			checkedAt = now;
			const stillWaiting: typeof waitingSteps = new Map();
			let reportCount = 0;
			for (const job of jobs) {
				for (const step of isActive(job) ? [...job.occurrences.values()].flat() : []) {
					// A long-running step needs all of its tasks, any other one only makes no progress without any run.
					const isStanding = step.waiting > 0 && (step.declaration.longRunning || step.waiting === step.remaining) && isStepReady(step);
					if (!isStanding) {
						continue;
					}

					const {since, reportedAt} = waitingSteps.get(step) ?? {since: now, reportedAt: now};
					const isDue = now - reportedAt >= reportAfterMilliseconds && reportCount < maximumReportsPerCheck;
					stillWaiting.set(step, {since, reportedAt: isDue ? now : reportedAt});
					if (isDue) {
						reportCount += 1;
						report(step, now - since, context);
					}
				}
			}

			waitingSteps = stillWaiting;
		},
	};
};
