/** Frees capacity for urgent jobs by checkpointing jobs that are not urgent. */
import type {FleetAction} from './actions.js';
import type {SizeEstimate} from './learned-sizes.js';
import {setReclaimStage} from './overload.js';
import {fits} from './placement.js';
import {addResources, noResources, squareResources} from './resources.js';
import {computeWeightedDominantShare} from './shares.js';
import {holdWorker, ReclaimStage} from './tables.js';
import type {FleetTables, JobRow, WorkerRow} from './tables.js';

/** Jobs that end by themselves often free enough capacity within this time. */
const preemptionDelayMilliseconds = 3000;
/** The next preemption for the same job waits until the previous one can have taken effect. */
const preemptionRetryMilliseconds = 6000;

const listVictims = (tables: FleetTables, worker: WorkerRow): JobRow[] => [...worker.runningJobs.values()]
	.filter(row => !row.urgent && (row.task?.reclaimStage === ReclaimStage.None || row.task?.reclaimStage === ReclaimStage.Throttled))
	.toSorted((left, right) => computeWeightedDominantShare(tables.teams.get(right.team)!, tables.totalCapacity) - computeWeightedDominantShare(tables.teams.get(left.team)!, tables.totalCapacity));

/** Chooses victims in order of their teams' weighted dominant share, highest first, until the job fits; undefined if all of them are not enough. */
const chooseVictims = (tables: FleetTables, worker: WorkerRow, estimate: SizeEstimate): JobRow[] | undefined => {
	const {capacity} = worker;
	let {expected, variance} = worker;
	const chosen: JobRow[] = [];
	const hasRoom = () => fits({capacity, expected, variance}, estimate);
	for (const row of listVictims(tables, worker)) {
		if (hasRoom()) {
			break;
		}

		chosen.push(row);
		expected = addResources(expected, row.task?.estimate.expected ?? noResources, -1);
		variance = addResources(variance, squareResources(row.task?.estimate.deviation ?? noResources), -1);
	}

	return hasRoom() && chosen.length > 0 ? chosen : undefined;
};

/** Longer than the checkpoints and stops that free the capacity. */
const holdMilliseconds = 8000;
/** Candidate workers per preemption; searching a large pool for the best one takes too long. */
const maximumCandidates = 50;

export const preemptFor = (options: {tables: FleetTables; row: JobRow; estimate: SizeEstimate; isUsable: (worker: WorkerRow) => boolean; now: number}): FleetAction[] => {
	const {tables, row, estimate, isUsable, now} = options;
	if (now - row.submittedAt < preemptionDelayMilliseconds || now - row.lastPreemptionAt < preemptionRetryMilliseconds) {
		return [];
	}

	let best: {worker: WorkerRow; victims: JobRow[]} | undefined;
	let candidates = 0;
	for (const worker of tables.workersByPool.get(row.pool) ?? []) {
		const victims = isUsable(worker) ? chooseVictims(tables, worker, estimate) : undefined;
		if (victims && (!best || victims.length < best.victims.length)) {
			best = {worker, victims};
		}

		candidates += victims ? 1 : 0;
		if (best?.victims.length === 1 || candidates >= maximumCandidates) {
			break;
		}
	}

	if (!best) {
		return [];
	}

	row.lastPreemptionAt = now;
	// Without the hold, smaller jobs take the capacity while the victims end one after the other.
	holdWorker(row, best.worker, now + holdMilliseconds);
	const {worker, victims} = best;
	return victims.flatMap(victim => setReclaimStage({
		row: victim, worker, reclaimStage: ReclaimStage.Checkpointing, now,
	}));
};
