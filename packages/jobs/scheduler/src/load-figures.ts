/**
 * Figures of the load of each full pool, from which every instance decides whether a new job can be
 * of use. Pools with free capacity are left out: no job is refused there, and the figures stay small.
 */
import type {DurationEstimator} from './durations.js';
import {isActive, isStepReady, rankLateness} from './jobs.js';
import type {
	JobRow, Policies, QueuePolicy, StepRow, WorkerRow,
} from './model.js';
import {isSchedulable} from './placement.js';

/** Stands for all jobs on public queues, which share capacity like one workspace with weight 1. */
export const publicWorkspace = '';
const publicWeight = 1;
/** Stands for a weight of 0, which would leave the workspace without any share. */
const smallestWeight = 0.001;
/** Work is summed up by deadline in steps of this length, which is short compared to the objectives and keeps the figures small. */
export const deadlineStepMilliseconds = 500;
/** Later deadlines share the last step. */
const maximumDeadlineStep = 60;
/** Part of a running task that is left on average. */
const remainingShareOfRunning = 0.5;
/** No further pool is described after this many rows, about 20 KB, since the figures go to every instance up to four times a second. Jobs of the other pools are admitted. */
const maximumBacklogs = 200;
/** `rankLateness` of a job that can no longer be of use. */
const uselessRank = 2;

/** Work of one workspace and priority, in thousandths of a core times milliseconds. */
export type Backlog = {
	readonly workspace: string;
	readonly priority: number;
	/** Left of the running tasks. */
	readonly running: number;
	/** Of jobs that miss their objective and are still of use: tasks that wait for capacity or for earlier steps. */
	readonly late: number;
	/** Of jobs that can meet their objective: tasks that wait, by deadline in steps from the time of the figures. */
	readonly waiting: ReadonlyArray<readonly [deadlineStep: number, work: number]>;
};

/** CPU in thousandths of a core. */
export type WorkspaceLoad = {readonly weight: number; readonly demand: number; readonly share: number};

export type PoolLoad = {
	/** CPU for tasks that end: of schedulable workers and of machines that can move to the pool, less what long-running tasks use. */
	readonly capacity: number;
	readonly backlogs: readonly Backlog[];
	readonly workspaces: Readonly<Record<string, WorkspaceLoad>>;
};

export type LoadFigures = {
	/** Full pools only. */
	readonly pools: Readonly<Record<string, PoolLoad>>;
	/** Learned run time of a task in milliseconds by queue, for the queues with jobs in full pools. */
	readonly durations: Readonly<Record<string, number>>;
};

/** CPU in thousandths of a core that can be added to the pool from others and from standby. */
export type GetMovableCapacity = (pool: string) => number;

type Totals = {free: number; running: number; ready: number; readonly jobs: Array<{readonly job: JobRow; readonly queue: QueuePolicy}>};

/**
 * Weighted max-min shares of the capacity by progressive filling: a demand below the fair level is met
 * in full, and what it leaves is divided among the others by weight. Same units as the capacity.
 */
export const computeMaxMinShares = (demands: ReadonlyArray<{readonly demand: number; readonly weight: number}>, capacity: number): number[] => {
	const shares = demands.map(() => 0);
	const order = [...demands.keys()].toSorted((left, right) => (demands[left]!.demand / demands[left]!.weight) - (demands[right]!.demand / demands[right]!.weight));
	let left = capacity;
	let weightLeft = demands.reduce((sum, {weight}) => sum + weight, 0);
	for (const index of order) {
		const {demand, weight} = demands[index]!;
		const share = Math.min(demand, weightLeft > 0 ? Math.max(0, left) * weight / weightLeft : 0);
		shares[index] = share;
		left -= share;
		weightLeft -= weight;
	}

	return shares;
};

const countsAsWork = (step: StepRow): boolean => !step.declaration.longRunning && !step.declaration.fills && step.remaining > 0;

const countRunning = (step: StepRow): number => Math.max(0, step.remaining - step.waiting);

const forEachStep = (job: JobRow, visit: (step: StepRow) => void): void => {
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (countsAsWork(step)) {
				visit(step);
			}
		}
	}
};

const getWorkspaceName = (job: JobRow): string => job.declaration.workspace ?? publicWorkspace;

const describePool = (options: {
	readonly totals: Totals;
	readonly movable: number;
	readonly policies: Policies;
	readonly durations: DurationEstimator;
	readonly durationsByQueue: Record<string, {sum: number; tasks: number}>;
	readonly now: number;
}): PoolLoad => {
	const {totals, movable, policies, durations, durationsByQueue, now} = options;
	const backlogs = new Map<string, {readonly workspace: string; readonly priority: number; running: number; late: number; readonly waiting: Map<number, number>}>();
	const demands = new Map<string, number>();
	for (const {job, queue} of totals.jobs) {
		const workspace = getWorkspaceName(job);
		const key = `${queue.priority} ${workspace}`;
		const backlog = backlogs.get(key) ?? {
			workspace, priority: queue.priority, running: 0, late: 0, waiting: new Map<number, number>(),
		};
		const rank = rankLateness(job, now);
		const deadlineStep = Math.min(maximumDeadlineStep, Math.max(0, Math.floor((job.deadline - now) / deadlineStepMilliseconds)));
		forEachStep(job, step => {
			const {cpuMillis} = step.declaration.resources;
			const duration = durations.estimateTask(step.tasks[0]!);
			const running = countRunning(step);
			const waiting = rank < uselessRank ? step.waiting : 0;
			backlog.running += running * cpuMillis * duration * remainingShareOfRunning;
			if (rank > 0) {
				backlog.late += waiting * cpuMillis * duration;
			} else if (waiting > 0) {
				backlog.waiting.set(deadlineStep, (backlog.waiting.get(deadlineStep) ?? 0) + (waiting * cpuMillis * duration));
			}

			demands.set(workspace, (demands.get(workspace) ?? 0) + ((running + (isStepReady(step) ? waiting : 0)) * cpuMillis));
			const learned = durationsByQueue[queue.name] ?? {sum: 0, tasks: 0};
			durationsByQueue[queue.name] = {sum: learned.sum + (duration * step.declaration.taskCount), tasks: learned.tasks + step.declaration.taskCount};
		});
		backlogs.set(key, backlog);
	}

	const capacity = totals.free + totals.running + movable;
	const rows = [...demands].map(([workspace, demand]) => ({
		workspace, demand, weight: workspace === publicWorkspace ? publicWeight : Math.max(smallestWeight, policies.workspaces.get(workspace)?.weight ?? 1),
	}));
	const shares = computeMaxMinShares(rows, capacity);
	return {
		capacity,
		backlogs: [...backlogs.values()].map(({workspace, priority, running, late, waiting}) => ({
			workspace, priority, running: Math.round(running), late: Math.round(late), waiting: [...waiting].map(([deadlineStep, work]) => [deadlineStep, Math.round(work)] as const),
		})),
		workspaces: Object.fromEntries(rows.map(({workspace, demand, weight}, index) => [workspace, {weight, demand, share: shares[index]!}])),
	};
};

/** Sums up the CPU of the pools: free, of running tasks, and of useful tasks that are ready to start. */
const sumUpPools = (options: {readonly jobs: Iterable<JobRow>; readonly workers: Iterable<WorkerRow>; readonly policies: Policies; readonly now: number}): Map<string, Totals> => {
	const {jobs, workers, policies, now} = options;
	const totalsByPool = new Map<string, Totals>();
	for (const worker of workers) {
		const {pool, capacity} = worker.registration;
		if (isSchedulable(worker, now)) {
			const totals = totalsByPool.get(pool) ?? {
				free: 0, running: 0, ready: 0, jobs: [],
			};
			totals.free += Math.max(0, capacity.cpuMillis - worker.used.cpuMillis);
			totalsByPool.set(pool, totals);
		}
	}

	for (const job of jobs) {
		const queue = policies.queues.get(job.declaration.queue);
		// A pool without a schedulable worker is likely to get some back soon; its capacity cannot be told.
		const totals = totalsByPool.get(queue?.pool ?? '');
		if (!queue || !totals || !isActive(job)) {
			continue;
		}

		const isUseful = rankLateness(job, now) < uselessRank;
		totals.jobs.push({job, queue});
		forEachStep(job, step => {
			const {cpuMillis} = step.declaration.resources;
			totals.running += countRunning(step) * cpuMillis;
			totals.ready += isUseful && isStepReady(step) ? step.waiting * cpuMillis : 0;
		});
	}

	return totalsByPool;
};

/** Pools whose ready work exceeds the capacity that is free or can be moved there, the fullest first. */
const findFullPools = (totalsByPool: ReadonlyMap<string, Totals>, getMovableCapacity: GetMovableCapacity) => [...totalsByPool]
	.filter(([, {ready, free}]) => ready > free)
	.map(([pool, totals]) => ({pool, totals, movable: getMovableCapacity(pool)}))
	.filter(({totals: {ready, free}, movable}) => ready > free + movable)
	.toSorted((left, right) => (right.totals.ready / (1 + right.totals.free + right.totals.running + right.movable)) - (left.totals.ready / (1 + left.totals.free + left.totals.running + left.movable)));

/** One pass over workers and steps, and a second over the jobs of full pools; no pass over tasks. */
export const computeLoadFigures = (options: {
	readonly jobs: Iterable<JobRow>;
	readonly workers: Iterable<WorkerRow>;
	readonly policies: Policies;
	readonly durations: DurationEstimator;
	readonly getMovableCapacity: GetMovableCapacity;
	readonly now: number;
}): LoadFigures => {
	const {policies, durations, getMovableCapacity, now} = options;
	const pools: Record<string, PoolLoad> = {};
	const durationsByQueue: Record<string, {sum: number; tasks: number}> = {};
	let backlogs = 0;
	for (const {pool, totals, movable} of findFullPools(sumUpPools(options), getMovableCapacity)) {
		if (backlogs >= maximumBacklogs) {
			break;
		}

		pools[pool] = describePool({
			totals, movable, policies, durations, durationsByQueue, now,
		});
		backlogs += pools[pool].backlogs.length;
	}

	return {
		pools,
		durations: Object.fromEntries(Object.entries(durationsByQueue).map(([queue, {sum, tasks}]) => [queue, sum / tasks])),
	};
};
