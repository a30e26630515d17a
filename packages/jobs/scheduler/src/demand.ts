/** Measures the current demand of each pool and the rate at which work arrives. */
import {estimateCriticalPath, isActive, isStepReady} from './jobs.js';
import type {JobDeclaration, JobRow, QueuePolicy} from './model.js';
import type {PoolDemand} from './pools.js';

/** Minimum period over which arrivals are averaged, so that a single small job does not look like a burst. */
const minimumWindowMilliseconds = 700;
/** The work of a job is averaged over this share of its slack, the time that its objective allows beyond its critical path. */
const slackShare = 0.5;
/** Older arrivals no longer count. */
const maximumWindowMilliseconds = 4000;

type Arrival = {readonly at: number; readonly work: number; readonly window: number};

/** Work of all tasks except long-running and best-effort ones, in thousandths of a core times milliseconds, by the declared estimates. */
const estimateWork = (declaration: JobDeclaration): number => {
	let work = 0;
	for (const step of declaration.steps) {
		work += step.longRunning || step.fills ? 0 : step.taskCount * step.resources.cpuMillis * step.estimateMilliseconds;
	}

	return work;
};

export const createDemandEstimator = () => {
	const arrivals = new Map<string, Arrival[]>();

	const measureJob = (job: JobRow, demand: {longRunning: number; running: number; waiting: number; waitingWork: number; waitingLongRunningTasks: number}): void => {
		for (const steps of job.occurrences.values()) {
			for (const step of steps) {
				const {declaration} = step;
				const need = declaration.fills ? 0 : declaration.resources.cpuMillis;
				if (declaration.longRunning) {
					demand.longRunning += declaration.taskCount * need;
					demand.waitingLongRunningTasks += step.waiting;
				} else if (step.remaining > 0 && isStepReady(step)) {
					demand.running += (step.remaining - step.waiting) * need;
					demand.waiting += step.waiting * need;
					demand.waitingWork += step.waiting * need * declaration.estimateMilliseconds;
				}
			}
		}
	};

	return {
		recordArrival(declaration: JobDeclaration, policy: QueuePolicy | undefined, now: number): void {
			const work = estimateWork(declaration);
			if (policy === undefined || work === 0) {
				return;
			}

			const criticalPathMilliseconds = estimateCriticalPath(declaration);
			const slackMilliseconds = (policy.stretch * criticalPathMilliseconds) + policy.objectiveMilliseconds - criticalPathMilliseconds;
			const list = (arrivals.get(policy.pool) ?? []).filter(arrival => now - arrival.at < maximumWindowMilliseconds);
			list.push({at: now, work, window: Math.min(maximumWindowMilliseconds, Math.max(minimumWindowMilliseconds, slackShare * slackMilliseconds))});
			arrivals.set(policy.pool, list);
		},
		measure(jobs: Iterable<JobRow>, queues: ReadonlyMap<string, QueuePolicy>, now: number): Map<string, PoolDemand> {
			const demands = new Map<string, {longRunning: number; running: number; waiting: number; waitingWork: number; arrivalDemand: number; waitingLongRunningTasks: number}>();
			for (const {pool} of queues.values()) {
				let arrivalDemand = 0;
				for (const {at, work, window} of arrivals.get(pool) ?? []) {
					arrivalDemand += now - at < window ? work / window : 0;
				}

				demands.set(pool, {
					longRunning: 0, running: 0, waiting: 0, waitingWork: 0, arrivalDemand, waitingLongRunningTasks: 0,
				});
			}

			for (const job of jobs) {
				const demand = demands.get(queues.get(job.declaration.queue)?.pool ?? '');
				if (demand && isActive(job)) {
					measureJob(job, demand);
				}
			}

			return demands;
		},
	};
};
