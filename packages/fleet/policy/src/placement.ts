/** Chooses a worker for a job by processors, memory, accelerators, failures and racks. */
import type {PoolName} from '@turmericbay/types';
import {formatJobClass} from './learned-sizes.js';
import type {SizeEstimate} from './learned-sizes.js';
import {resourceNames} from './resources.js';
import type {Resources} from './resources.js';
import type {FleetTables, JobRow, WorkerRow} from './tables.js';
import type {WorkerHealth} from './worker-health.js';

/** Allows for rounding errors of the sums; far below any real size. */
const tolerance = 1e-9;
/** Workers with enough capacity that are compared per search; those later in list order stay empty for large jobs. */
const maximumCandidates = 32;
/** Cost of each running job of the same class in the rack, as a fraction of a worker; small, so that it only decides between nearly equal workers. */
const spreadCost = 0.01;
const maximumSpreadCount = 10;
/** Cost of a worker with accelerators for a job that needs none. Costs are subtracted from the reserved fraction (0 to 1), so this one outweighs fullness and spread together. */
const wastedAcceleratorCost = 2;
/** Weight of the failure score, so that workers without recent failures are preferred. */
const failureCost = 1;

export type ReservedCapacity = Pick<WorkerRow, 'capacity' | 'expected' | 'variance'>;

/** Fraction of the resource that would be reserved with the job added: the expected sizes plus the combined deviation of all jobs. */
const computeReservedFraction = (worker: ReservedCapacity, estimate: SizeEstimate, resource: keyof Resources): number => {
	const expected = worker.expected[resource] + estimate.expected[resource];
	if (expected === 0) {
		return 0;
	}

	// Rounding errors can make the variance slightly negative.
	const deviation = Math.sqrt(Math.max(0, worker.variance[resource] + (estimate.deviation[resource] ** 2)));
	return (expected + deviation) / worker.capacity[resource];
};

/**
 * Highest reserved fraction of any resource with the job added; above 1 if the job does not fit.
 * Avoids allocations, since each search calls this for many workers.
 */
export const computeHighestReservedFraction = (worker: ReservedCapacity, estimate: SizeEstimate): number => {
	let highest = 0;
	for (const resource of resourceNames) {
		// Skips the square root for most workers of a full fleet.
		const isFull = worker.expected[resource] + estimate.expected[resource] > worker.capacity[resource] + tolerance;
		highest = isFull ? Number.POSITIVE_INFINITY : Math.max(highest, computeReservedFraction(worker, estimate, resource));
		if (highest > 1 + tolerance) {
			break;
		}
	}

	return highest;
};

export const fits = (worker: ReservedCapacity, estimate: SizeEstimate): boolean => computeHighestReservedFraction(worker, estimate) <= 1 + tolerance;

/** Whether the job fits on some worker of the pool when that worker is empty; also true if the pool currently has no workers. */
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

/** Chooses the fullest worker on which the job fits, so that large free capacity remains for large jobs. */
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
