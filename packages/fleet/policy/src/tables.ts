/**
 * Tables of workers and jobs. Every index is updated in the same call, so a
 * removed job leaves nothing behind and removing it costs the same however
 * many others wait.
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
	/** Milliseconds on the caller's clock. */
	readonly submittedAt: number;
};

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
	/** Newest report; it lags. */
	latestUsage: Resources | undefined;
	/** Largest use reported so far. */
	peakUsage: Resources | undefined;
};

export type JobRow = JobDeclaration & {
	task: Task | undefined;
	/** Workers on which the job failed. */
	readonly failedOn: InstanceId[];
	/** Last time room was asked for by taking it from others, and where. */
	lastPreemptionAt: number;
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
	/** Rack within its zone. */
	readonly rackKey: string;
	/** False while drained, set aside or listed as leaving. */
	isSchedulable: boolean;
	readonly runningJobs: Map<JobId, JobRow>;
	/** Room that others made for this job is kept for it until then. */
	heldFor: {readonly job: JobId; readonly until: number} | undefined;
	expected: Resources;
	/** Use by the newest reports, and expected sizes where there is none yet. */
	observed: Resources;
	/** Tasks that were asked to yield. */
	reclaimingTasks: number;
	/** Sum of the squared deviations of the tasks. */
	variance: Resources;
};

export type TeamRow = {
	readonly team: TeamName;
	/** Weight of the team when everything is full. */
	share: number;
	/** Units of the upper limit that may be used here. */
	limit: number;
	running: number;
	reservedResources: Resources;
	/** Waiting jobs by class, oldest first; urgent ones apart. */
	readonly waiting: Map<string, Map<JobId, JobRow>>;
	readonly urgentWaiting: Map<JobId, JobRow>;
};

export type FleetTables = {
	readonly workers: Map<InstanceId, WorkerRow>;
	readonly workersByPool: Map<PoolName, WorkerRow[]>;
	readonly jobs: Map<JobId, JobRow>;
	readonly teams: Map<TeamName, TeamRow>;
	/** Running jobs per rack and class, for spreading a class over racks. */
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

/** Adds a waiting job; the team has to be known. */
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

const reserve = (worker: WorkerRow, estimate: SizeEstimate, factor: 1 | -1) => {
	worker.expected = addResources(worker.expected, estimate.expected, factor);
	worker.variance = addResources(worker.variance, squareResources(estimate.deviation), factor);
	if (worker.runningJobs.size === 0) {
		// Sums of fractions do not cancel exactly; an empty worker has exactly nothing reserved.
		worker.expected = noResources;
		worker.observed = noResources;
		worker.variance = noResources;
	}
};

const countClass = (tables: FleetTables, rackKey: string, row: JobRow, change: 1 | -1) => {
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
	reserve(worker, estimate, 1);
	countClass(tables, worker.rackKey, row, 1);
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
		reserve(worker, task.estimate, -1);
		countClass(tables, worker.rackKey, row, -1);
	}
};

/** Takes a usage report; reports of jobs that ended are ignored. */
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

/** Puts a running job back into its queue, after a checkpoint or a failure. */
export const requeueJob = (tables: FleetTables, row: JobRow) => {
	releaseTask(tables, row);
	enqueue(tables.teams.get(row.team)!, row);
};

/** Removes a job that ended or was cancelled, running or not. */
export const removeJob = (tables: FleetTables, job: JobId): JobRow | undefined => {
	const row = tables.jobs.get(job);
	if (row) {
		releaseTask(tables, row);
		dequeue(tables.teams.get(row.team)!, row);
		tables.jobs.delete(job);
	}

	return row;
};

/** Removes a worker; its running jobs go back to their queues. */
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
