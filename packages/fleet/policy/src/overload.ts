/** Relieves overloaded workers: throttles, then checkpoints, then stops jobs. */
import type {FleetAction} from './actions.js';
import {addResources, computeDominantFraction} from './resources.js';
import {ReclaimStage} from './tables.js';
import type {FleetTables, JobRow, WorkerRow} from './tables.js';

/** Time until an action takes effect in the usage reports, which lag. */
const reportDelayMilliseconds = 5000;
/** A checkpoint that takes longer is replaced by a stop, since an urgent job has to start within 9.6 s of its submission. */
export const checkpointTimeoutMilliseconds = 4000;
/** Throttling ends below this utilization; the distance to 1 prevents flapping. */
const unthrottleFraction = 0.8;

/** Usage above the job's estimate, as a fraction of the worker's capacity. */
const measureExcess = (row: JobRow, worker: WorkerRow): number => row.task?.latestUsage
	? computeDominantFraction(addResources(row.task.latestUsage, row.task.estimate.expected, -1), worker.capacity)
	: 0;

export const setReclaimStage = (options: {row: JobRow; worker: WorkerRow; reclaimStage: ReclaimStage; now: number}): FleetAction[] => {
	const {row, worker, reclaimStage, now} = options;
	if (!row.task || row.task.reclaimStage === reclaimStage) {
		return [];
	}

	worker.reclaimingTasks += Number(reclaimStage !== ReclaimStage.None) - Number(row.task.reclaimStage !== ReclaimStage.None);
	row.task.reclaimStage = reclaimStage;
	row.task.reclaimStageSince = now;
	const {job} = row;
	switch (reclaimStage) {
		case ReclaimStage.None: {
			return [{type: 'unthrottle', job}];
		}

		case ReclaimStage.Throttled: {
			return [{type: 'throttle', job}];
		}

		case ReclaimStage.Checkpointing: {
			return [{type: 'checkpoint', job}];
		}

		case ReclaimStage.Stopping: {
			return [{type: 'stop', job}];
		}
	}
};

const nextReclaimStage: Readonly<Record<ReclaimStage, ReclaimStage>> = {
	[ReclaimStage.None]: ReclaimStage.Throttled,
	[ReclaimStage.Throttled]: ReclaimStage.Checkpointing,
	[ReclaimStage.Checkpointing]: ReclaimStage.Stopping,
	[ReclaimStage.Stopping]: ReclaimStage.Stopping,
};

const relieveWorker = (worker: WorkerRow, now: number): FleetAction[] => {
	const rows = [...worker.runningJobs.values()];
	const isReliefPending = rows.some(row => row.task && row.task.reclaimStage !== ReclaimStage.None && now - row.task.reclaimStageSince < reportDelayMilliseconds);
	if (isReliefPending) {
		return [];
	}

	// Jobs that are not urgent come first, and among these the one that exceeds its estimate most.
	const [candidate] = rows
		.filter(row => row.task?.reclaimStage !== ReclaimStage.Stopping)
		.toSorted((left, right) => Number(left.urgent) - Number(right.urgent) || measureExcess(right, worker) - measureExcess(left, worker));
	return candidate?.task
		? setReclaimStage({
			row: candidate, worker, reclaimStage: nextReclaimStage[candidate.task.reclaimStage], now,
		})
		: [];
};

const releaseThrottles = (worker: WorkerRow, now: number): FleetAction[] =>
	[...worker.runningJobs.values()].filter(row => row.task?.reclaimStage === ReclaimStage.Throttled).flatMap(row => setReclaimStage({
		row, worker, reclaimStage: ReclaimStage.None, now,
	}));

const stopOverdueCheckpoints = (worker: WorkerRow, now: number): FleetAction[] => [...worker.runningJobs.values()]
	.filter(row => row.task?.reclaimStage === ReclaimStage.Checkpointing && now - row.task.reclaimStageSince >= checkpointTimeoutMilliseconds)
	.flatMap(row => setReclaimStage({
		row, worker, reclaimStage: ReclaimStage.Stopping, now,
	}));

export const relieveOverload = (tables: FleetTables, now: number): FleetAction[] => {
	const actions: FleetAction[] = [];
	for (const worker of tables.workers.values()) {
		const fraction = computeDominantFraction(worker.observed, worker.capacity);
		if (fraction <= 1 && worker.reclaimingTasks === 0) {
			continue;
		}

		actions.push(...stopOverdueCheckpoints(worker, now));
		if (fraction > 1) {
			actions.push(...relieveWorker(worker, now));
		} else if (fraction < unthrottleFraction) {
			actions.push(...releaseThrottles(worker, now));
		}
	}

	return actions;
};
