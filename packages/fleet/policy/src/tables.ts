/**
 * In-memory tables of workers and jobs. Each call updates all indexes, so a
 * removed job leaves no entries behind, and the cost of a removal does not
 * depend on the number of waiting jobs.
 */
import type {
	AvailabilityZone, InstanceId, PoolName, QueueName, RackName, TeamName,
} from '@turmericbay/types';
import {formatJobClass} from './learned-sizes.js';
import type {SizeEstimate} from './learned-sizes.js';
import {
	addResources, maximumResources, noResources, squareResources,
} from './resources.js';
import type {Resources} from './resources.js';

export type JobId = string;

export type JobDeclaration = {
	readonly job: JobId;
	readonly team: TeamName;
	readonly queue: QueueName;
	readonly pool: PoolName;
	readonly declared: Resources;
	readonly urgent: boolean;
	/** Milliseconds on the clock whose time is passed to the scheduler's `tick`. */
	readonly submittedAt: number;
};

/** Steps in which a running task is made to give up resources. */
export enum ReclaimStage {
	None = 'none',
	Throttled = 'throttled',
	Checkpointing = 'checkpointing',
	Stopping = 'stopping',
}

export type Task = {
	readonly worker: InstanceId;
	readonly estimate: SizeEstimate;
	readonly startedAt: number;
	reclaimStage: ReclaimStage;
	reclaimStageSince: number;
	/** Latest usage report, which lags behind the actual usage. */
	latestUsage: Resources | undefined;
	/** Largest reported amount of each resource. */
	peakUsage: Resources | undefined;
};

export type JobRow = JobDeclaration & {
	task: Task | undefined;
	/** Workers on which the job failed. */
	readonly failedOn: InstanceId[];
	/** Time of the last preemption for this job. */
	lastPreemptionAt: number;
	/** Worker whose free capacity is held for this job. */
	heldWorker: WorkerRow | undefined;
};

export type WorkerDeclaration = {
	readonly worker: InstanceId;
	readonly pool: PoolName;
	readonly zone: AvailabilityZone;
	readonly rack: RackName;
	readonly capacity: Resources;
};

export type WorkerRow = WorkerDeclaration & {
	/** Rack name qualified by the zone. */
	readonly rackKey: string;
	/** False while the worker is drained or leaving the pool; quarantine is kept in `WorkerHealth`. */
	isSchedulable: boolean;
	readonly runningJobs: Map<JobId, JobRow>;
	/** Capacity freed by preemption is held for this job until the given time. */
	heldFor: {readonly job: JobId; readonly until: number} | undefined;
	/** Sum of the expected sizes of the running jobs. */
	expected: Resources;
	/** Sum of the latest usage reports, and of expected sizes for jobs without a report. */
	observed: Resources;
	/** Number of tasks whose reclaim stage is not `None`. */
	reclaimingTasks: number;
	/** Sum of the squared deviations of the size estimates. */
	variance: Resources;
};

export type TeamRow = {
	readonly team: TeamName;
	/** Weight of the team in the division of a full fleet. */
	share: number;
	/** Most running jobs of the team: the units of its limit that are granted to this scheduler. */
	limit: number;
	running: number;
	/** Sum of the expected sizes of the running jobs. */
	reservedResources: Resources;
	/** Waiting jobs that are not urgent by class, oldest first. */
	readonly waiting: Map<string, Map<JobId, JobRow>>;
	readonly urgentWaiting: Map<JobId, JobRow>;
};

export type FleetTables = {
	readonly workers: Map<InstanceId, WorkerRow>;
	readonly workersByPool: Map<PoolName, WorkerRow[]>;
	readonly jobs: Map<JobId, JobRow>;
	readonly teams: Map<TeamName, TeamRow>;
	/** Number of running jobs by rack and class, used to spread a class over racks. */
	readonly classesByRack: Map<string, Map<string, number>>;
	totalCapacity: Resources;
};

export const createFleetTables = (): FleetTables => ({
	workers: new Map(), workersByPool: new Map(), jobs: new Map(), teams: new Map(), classesByRack: new Map(), totalCapacity: noResources,
});

export const addWorker = (tables: FleetTables, declaration: WorkerDeclaration): WorkerRow => {
	const row: WorkerRow = {
		...declaration,
		rackKey: `${declaration.zone}/${declaration.rack}`,
		isSchedulable: true,
		runningJobs: new Map(),
		heldFor: undefined,
		expected: noResources,
		observed: noResources,
		reclaimingTasks: 0,
		variance: noResources,
	};
	tables.workers.set(row.worker, row);
	const members = tables.workersByPool.get(row.pool) ?? [];
	members.push(row);
	tables.workersByPool.set(row.pool, members);
	tables.totalCapacity = addResources(tables.totalCapacity, row.capacity);
	return row;
};

export const setTeam = (tables: FleetTables, options: {team: TeamName; share: number; limit: number}): TeamRow => {
	const row = tables.teams.get(options.team) ?? {
		...options, running: 0, reservedResources: noResources, waiting: new Map(), urgentWaiting: new Map(),
	};
	row.share = options.share;
	row.limit = options.limit;
	tables.teams.set(row.team, row);
	return row;
};

const enqueue = (team: TeamRow, row: JobRow) => {
	if (row.urgent) {
		team.urgentWaiting.set(row.job, row);
		return;
	}

	const name = formatJobClass(row);
	const queue = team.waiting.get(name) ?? new Map<JobId, JobRow>();
	queue.set(row.job, row);
	team.waiting.set(name, queue);
};

export const holdWorker = (row: JobRow, worker: WorkerRow, until: number) => {
	releaseHold(row);
	row.heldWorker = worker;
	worker.heldFor = {job: row.job, until};
};

const releaseHold = (row: JobRow) => {
	if (row.heldWorker?.heldFor?.job === row.job) {
		row.heldWorker.heldFor = undefined;
	}

	row.heldWorker = undefined;
};

const dequeue = (team: TeamRow, row: JobRow) => {
	releaseHold(row);
	team.urgentWaiting.delete(row.job);
	const name = formatJobClass(row);
	const queue = team.waiting.get(name);
	queue?.delete(row.job);
	if (queue?.size === 0) {
		team.waiting.delete(name);
	}
};

/** Adds a waiting job; returns undefined if its team is unknown. */
export const addJob = (tables: FleetTables, declaration: JobDeclaration): JobRow | undefined => {
	const team = tables.teams.get(declaration.team);
	if (!team) {
		return undefined;
	}

	const row: JobRow = {
		...declaration, task: undefined, failedOn: [], lastPreemptionAt: Number.NEGATIVE_INFINITY, heldWorker: undefined,
	};
	tables.jobs.set(row.job, row);
	enqueue(team, row);
	return row;
};

const adjustReservation = (worker: WorkerRow, estimate: SizeEstimate, factor: 1 | -1) => {
	worker.expected = addResources(worker.expected, estimate.expected, factor);
	worker.variance = addResources(worker.variance, squareResources(estimate.deviation), factor);
	if (worker.runningJobs.size === 0) {
		// Resets the sums because adding and subtracting fractions leaves rounding errors.
		worker.expected = noResources;
		worker.observed = noResources;
		worker.variance = noResources;
	}
};

const adjustClassCount = (tables: FleetTables, rackKey: string, row: JobRow, change: 1 | -1) => {
	const name = formatJobClass(row);
	const counts = tables.classesByRack.get(rackKey) ?? new Map<string, number>();
	const count = (counts.get(name) ?? 0) + change;
	if (count > 0) {
		counts.set(name, count);
		tables.classesByRack.set(rackKey, counts);
		return;
	}

	counts.delete(name);
	if (counts.size === 0) {
		tables.classesByRack.delete(rackKey);
	}
};

export const startTask = (tables: FleetTables, options: {row: JobRow; worker: WorkerRow; estimate: SizeEstimate; now: number}) => {
	const {row, worker, estimate, now} = options;
	const team = tables.teams.get(row.team)!;
	dequeue(team, row);
	row.task = {
		worker: worker.worker, estimate, startedAt: now, reclaimStage: ReclaimStage.None, reclaimStageSince: now, latestUsage: undefined, peakUsage: undefined,
	};
	worker.runningJobs.set(row.job, row);
	worker.observed = addResources(worker.observed, estimate.expected);
	adjustReservation(worker, estimate, 1);
	adjustClassCount(tables, worker.rackKey, row, 1);
	team.running++;
	team.reservedResources = addResources(team.reservedResources, estimate.expected);
};

const releaseTask = (tables: FleetTables, row: JobRow) => {
	const {task} = row;
	if (!task) {
		return;
	}

	const team = tables.teams.get(row.team)!;
	const worker = tables.workers.get(task.worker);
	row.task = undefined;
	team.running--;
	team.reservedResources = team.running === 0 ? noResources : addResources(team.reservedResources, task.estimate.expected, -1);
	if (worker?.runningJobs.delete(row.job)) {
		worker.observed = addResources(worker.observed, task.latestUsage ?? task.estimate.expected, -1);
		worker.reclaimingTasks -= task.reclaimStage === ReclaimStage.None ? 0 : 1;
		adjustReservation(worker, task.estimate, -1);
		adjustClassCount(tables, worker.rackKey, row, -1);
	}
};

/** Records a usage report; ignores reports of jobs that have ended. */
export const recordUsage = (tables: FleetTables, job: JobId, used: Resources) => {
	const task = tables.jobs.get(job)?.task;
	const worker = tables.workers.get(task?.worker ?? '');
	if (!task || !worker) {
		return;
	}

	worker.observed = addResources(addResources(worker.observed, task.latestUsage ?? task.estimate.expected, -1), used);
	task.latestUsage = used;
	task.peakUsage = maximumResources(task.peakUsage ?? used, used);
};

/** Returns a running job to its queue after a checkpoint or a failure. */
export const requeueJob = (tables: FleetTables, row: JobRow) => {
	releaseTask(tables, row);
	enqueue(tables.teams.get(row.team)!, row);
};

/** Removes a waiting or running job. */
export const removeJob = (tables: FleetTables, job: JobId): JobRow | undefined => {
	const row = tables.jobs.get(job);
	if (row) {
		releaseTask(tables, row);
		dequeue(tables.teams.get(row.team)!, row);
		tables.jobs.delete(job);
	}

	return row;
};

/** Removes a worker and returns its running jobs to their queues. */
export const removeWorker = (tables: FleetTables, worker: InstanceId) => {
	const row = tables.workers.get(worker);
	if (!row) {
		return;
	}

	for (const job of row.runningJobs.values()) {
		requeueJob(tables, job);
	}

	tables.workers.delete(worker);
	tables.workersByPool.set(row.pool, (tables.workersByPool.get(row.pool) ?? []).filter(other => other !== row));
	tables.totalCapacity = addResources(tables.totalCapacity, row.capacity, -1);
};
