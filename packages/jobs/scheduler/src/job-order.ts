/**
 * Orders the jobs of a pool. If all tasks that could start fit into the free capacity,
 * jobs are ordered by priority, lateness and deadline; otherwise the workspaces get
 * turns in proportion to their weights.
 */
import type {DurationEstimator} from './durations.js';
import {createExhaustedSizes} from './exhausted-sizes.js';
import type {WorkspaceShare} from './fair-order.js';
import {measureShares, takeFairTurns} from './fair-order.js';
import {rankLateness} from './jobs.js';
import type {
	JobRow, Resources, TaskRow, WorkerRow, WorkspacePolicy,
} from './model.js';
import type {PoolUsage} from './pool-usage.js';
import {addResources, getWorkspace, noResources} from './pool-usage.js';
import type {ReadyJob} from './ready-work.js';
import {
	findLargestCapacity, findMinimumRequirement, sumRequired, sumUsableCapacity,
} from './ready-work.js';

/** What a job may start in its turn. */
export enum TurnKind {
	All = 'all',
	/** First runs of tasks. */
	Waiting = 'waiting',
	/** Second runs of tasks. */
	Speculative = 'speculative',
}

export type JobTurn = Pick<ReadyJob, 'job' | 'queue'> & {readonly kind: TurnKind; readonly maximumStarts: number};

export type PoolState = {
	readonly pool: string;
	/** Workers of the pool that may get runs. */
	readonly workers: readonly WorkerRow[];
	readonly usage: PoolUsage;
	readonly workspaces: ReadonlyMap<string, WorkspacePolicy>;
	/** Resources of all runs of a workspace, in all pools. */
	readonly totalUsage: ReadonlyMap<string, Resources>;
	/** Their jobs get a turn even if none of their tasks fits, since a worker may be kept free for them. */
	readonly crashedTasks: ReadonlySet<TaskRow>;
	readonly durations: DurationEstimator;
	readonly now: number;
};

export type JobOrder = {
	/** More tasks could start than fit. */
	readonly isFull: boolean;
	/** Usage and share of each workspace with tasks or runs in the pool, once the turns are over. */
	readonly measureShares: () => WorkspaceShare[];
	/** Yields turns and is given the number of tasks started in each, which are in the tables by then. */
	readonly turns: Generator<JobTurn, void, number>;
};

/** The ranks within a priority: long-running, on time, late but still of use, too late. */
const ranksPerPriority = 4;

const isLongRunning = (job: JobRow): boolean => job.declaration.steps.some(step => step.longRunning);

const toTurn = ({job, queue}: ReadyJob, kind: TurnKind, maximumStarts = Number.POSITIVE_INFINITY): JobTurn => ({
	job, queue, kind, maximumStarts,
});

const sortByDeadline = (jobs: readonly ReadyJob[], now: number): ReadyJob[] => {
	const ranked = jobs.map(entry => ({entry, rank: (entry.queue.priority * ranksPerPriority) + (isLongRunning(entry.job) ? 0 : 1 + rankLateness(entry.job, now))}));
	return ranked.toSorted((left, right) => left.rank - right.rank || left.entry.job.deadline - right.entry.job.deadline).map(({entry}) => entry);
};

function * takeTurnsByDeadline(jobs: readonly ReadyJob[], now: number): Generator<JobTurn, void, number> {
	for (const entry of sortByDeadline(jobs, now)) {
		yield toTurn(entry, TurnKind.All);
	}
}

const subtractWithin = (limit: number, used: number): number => limit === 0 ? Number.POSITIVE_INFINITY : Math.max(0, limit - used);

/** What the workspace's tasks need that could start, up to its maximum. */
const limitToMaximum = (required: Resources, workspace: string, pool: PoolState): Resources => {
	const maximum = pool.workspaces.get(workspace)?.maximum;
	if (!maximum) {
		return required;
	}

	const used = pool.totalUsage.get(workspace) ?? noResources;
	return {
		cpuMillis: Math.min(required.cpuMillis, subtractWithin(maximum.cpuMillis, used.cpuMillis)),
		memoryMegabytes: Math.min(required.memoryMegabytes, subtractWithin(maximum.memoryMegabytes, used.memoryMegabytes)),
		accelerators: Math.min(required.accelerators, subtractWithin(maximum.accelerators, used.accelerators)),
	};
};

const sumByWorkspace = (jobs: readonly ReadyJob[], pool: PoolState, largest: Resources): Map<string, Resources> => {
	const sums = new Map<string, Resources>();
	for (const entry of jobs) {
		const workspace = getWorkspace(entry.job);
		const required = sumRequired(entry, largest);
		const previous = sums.get(workspace);
		sums.set(workspace, previous ? addResources(previous, required) : required);
	}

	for (const [workspace, required] of sums) {
		sums.set(workspace, limitToMaximum(required, workspace, pool));
	}

	for (const workspace of pool.usage.listWorkspaces(pool.pool)) {
		if (!sums.has(workspace)) {
			sums.set(workspace, noResources);
		}
	}

	return sums;
};

const groupByPriority = (jobs: readonly ReadyJob[]): ReadyJob[][] => {
	const groups = new Map<number, ReadyJob[]>();
	for (const entry of jobs) {
		const group = groups.get(entry.queue.priority) ?? [];
		group.push(entry);
		groups.set(entry.queue.priority, group);
	}

	return [...groups].toSorted(([left], [right]) => left - right).map(([, group]) => group);
};

/** Jobs on public queues have weight 1. */
const createShareContext = ({pool, workers, usage, workspaces}: PoolState, requiredByWorkspace: ReadonlyMap<string, Resources>) => {
	let capacity = noResources;
	for (const {registration} of workers) {
		capacity = addResources(capacity, registration.capacity);
	}

	return {
		capacity, requiredByWorkspace,
		getReserved: (workspace: string): Resources => usage.getReserved(pool, workspace),
		getWeight: (workspace: string): number => workspaces.get(workspace)?.weight ?? 1,
	};
};

function * takeTurnsOfFullPool(jobs: readonly ReadyJob[], pool: PoolState, requiredByWorkspace: ReadonlyMap<string, Resources>): Generator<JobTurn, void, number> {
	const {workers, durations, now} = pool;
	const mustTry = listCrashedJobs(pool);
	const shareContext = createShareContext(pool, requiredByWorkspace);
	const exhausted = createExhaustedSizes(workers);
	for (const group of groupByPriority(jobs)) {
		for (const entry of sortByDeadline(group.filter(({job}) => isLongRunning(job)), now)) {
			if (mustTry.has(entry.job) || !exhausted.coversJob(entry)) {
				const starts = yield toTurn(entry, TurnKind.Waiting);
				if (starts === 0) {
					exhausted.recordFailure(entry);
				}
			}
		}

		const turns = takeFairTurns(group.filter(({job, steps}) => steps.length > 0 && !isLongRunning(job)), {
			...shareContext, exhausted, durations, now,
			mustTry: ({job}) => mustTry.has(job),
		});
		for (let turn = turns.next(0); !turn.done;) {
			const starts = yield toTurn(turn.value.entry, TurnKind.Waiting, turn.value.maximumStarts);
			turn = turns.next(starts);
		}

		for (const entry of sortByDeadline(group.filter(({isSpeculative}) => isSpeculative), now)) {
			yield toTurn(entry, TurnKind.Speculative);
		}
	}
}

const listCrashedJobs = ({crashedTasks}: PoolState): Set<JobRow> => new Set([...crashedTasks].map(task => task.step.job));

/** No task fits on any worker. */
function * takeTurnsWithoutCapacity(jobs: readonly ReadyJob[], pool: PoolState): Generator<JobTurn, void, number> {
	const crashedJobs = listCrashedJobs(pool);
	for (const entry of crashedJobs.size > 0 ? sortByDeadline(jobs.filter(({job}) => crashedJobs.has(job)), pool.now) : []) {
		yield toTurn(entry, TurnKind.All);
	}
}

const exceeds = (required: Resources, free: Resources): boolean =>
	required.cpuMillis > free.cpuMillis || required.memoryMegabytes > free.memoryMegabytes || required.accelerators > free.accelerators;

export const orderJobs = (jobs: readonly ReadyJob[], pool: PoolState): JobOrder => {
	const largest = findLargestCapacity(pool.workers);
	const measure = (): WorkspaceShare[] => measureShares(createShareContext(pool, sumByWorkspace(jobs, pool, largest)));
	const smallest = findMinimumRequirement(jobs, largest);
	const free = sumUsableCapacity(pool.workers, smallest);
	if (!free) {
		return {isFull: Number.isFinite(smallest.cpuMillis), measureShares: measure, turns: takeTurnsWithoutCapacity(jobs, pool)};
	}

	const requiredByWorkspace = sumByWorkspace(jobs, pool, largest);
	let required = noResources;
	for (const sum of requiredByWorkspace.values()) {
		required = addResources(required, sum);
	}

	const isFull = exceeds(required, free);
	return {isFull, measureShares: measure, turns: isFull ? takeTurnsOfFullPool(jobs, pool, requiredByWorkspace) : takeTurnsByDeadline(jobs, pool.now)};
};
