/** Choice of a worker for a job, over processors, memory, accelerators, racks and zones. */
import type {PoolName} from '@turmericbay/types';
import {formatJobClass} from './learned-sizes.js';
import type {SizeEstimate} from './learned-sizes.js';
import {resourceNames} from './resources.js';
import type {Resources} from './resources.js';
import type {FleetTables, JobRow, WorkerRow} from './tables.js';
import type {WorkerHealth} from './worker-health.js';

/** Differences of sums of fractions; far below any real size. */
const tolerance = 1e-9;
/** Workers with room that are compared per search; later ones in list order stay empty for large jobs. */
const maximumCandidates = 32;
/** Cost of each running job of the same class in the rack, as a part of a worker; small, so that it only breaks near ties. */
const spreadCost = 0.01;
const maximumSpreadCount = 10;
/** Keeps accelerators free for jobs that need them. */
const wastedAcceleratorCost = 2;
/** Prefers a worker without recent failures as long as there is one. */
const failureCost = 1;

export type ReservedCapacity = Pick<WorkerRow, 'capacity' | 'expected' | 'variance'>;

/** Fraction of the resource that would be reserved, with the expected sizes and the joint deviation of all jobs. */
const computeReservedFraction = (worker: ReservedCapacity, estimate: SizeEstimate, resource: keyof Resources): number => {
	const expected = worker.expected[resource] + estimate.expected[resource];
	if (expected === 0) {
		return 0;
	}

	// Sums of fractions that were added and taken away can end just below 0.
	const deviation = Math.sqrt(Math.max(0, worker.variance[resource] + (estimate.deviation[resource] ** 2)));
	return (expected + deviation) / worker.capacity[resource];
};

/**
 * Highest reserved fraction with the job added; above 1 if it does not fit. Every search asks this
 * for many workers, so it allocates nothing.
 */
export const computeHighestReservedFraction = (worker: ReservedCapacity, estimate: SizeEstimate): number => {
	let highest = 0;
	for (const resource of resourceNames) {
		// Most workers of a full fleet are ruled out without the square root.
		const isFull = worker.expected[resource] + estimate.expected[resource] > worker.capacity[resource] + tolerance;
		highest = isFull ? Number.POSITIVE_INFINITY : Math.max(highest, computeReservedFraction(worker, estimate, resource));
		if (highest > 1 + tolerance) {
			break;
		}
	}

	return highest;
};

export const fits = (worker: ReservedCapacity, estimate: SizeEstimate): boolean => computeHighestReservedFraction(worker, estimate) <= 1 + tolerance;

/** True if some worker of the pool could hold the job were it empty; also if the pool has no worker now. */
export const couldEverFit = (tables: FleetTables, pool: PoolName, estimate: SizeEstimate): boolean => {
	const members = tables.workersByPool.get(pool) ?? [];
	return members.length === 0 || members.some(worker => resourceNames.every(resource =>
		estimate.expected[resource] + estimate.deviation[resource] <= worker.capacity[resource] + tolerance));
};

export type PlacementOptions = {
	readonly tables: FleetTables;
	readonly health: WorkerHealth;
	readonly row: JobRow;
	readonly estimate: SizeEstimate;
	readonly now: number;
};

export type PlaceJob = (options: PlacementOptions) => WorkerRow | undefined;

export const isUsable = ({health, row, now}: PlacementOptions, worker: WorkerRow): boolean =>
	worker.isSchedulable
	&& (worker.heldFor === undefined || worker.heldFor.job === row.job || now >= worker.heldFor.until)
	&& !row.failedOn.includes(worker.worker)
	&& health.mayStart(worker, now);

const scoreWorker = (options: PlacementOptions, worker: WorkerRow, className: string, reservedFraction: number): number => {
	const {tables, health, estimate} = options;
	const inRack = tables.classesByRack.get(worker.rackKey)?.get(className) ?? 0;
	const wastesAccelerators = worker.capacity.accelerators > 0 && estimate.expected.accelerators === 0;
	return reservedFraction
		- (spreadCost * Math.min(maximumSpreadCount, inRack))
		- (wastesAccelerators ? wastedAcceleratorCost : 0)
		- (failureCost * health.getFailureScore(worker.worker));
};

/** Takes the fullest worker that still has room, so that large holes stay and empty workers stay empty. */
export const placeBestFit: PlaceJob = options => {
	const className = formatJobClass(options.row);
	let best: WorkerRow | undefined;
	let bestScore = Number.NEGATIVE_INFINITY;
	let candidates = 0;
	for (const worker of options.tables.workersByPool.get(options.row.pool) ?? []) {
		const reservedFraction = computeHighestReservedFraction(worker, options.estimate);
		if (reservedFraction > 1 + tolerance || !isUsable(options, worker)) {
			continue;
		}

		const score = scoreWorker(options, worker, className, reservedFraction);
		if (score > bestScore) {
			best = worker;
			bestScore = score;
		}

		candidates++;
		if (candidates === maximumCandidates) {
			break;
		}
	}

	return best;
};
