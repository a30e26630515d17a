/** Job sizes that fitted on no worker in the current tick, so that the search is skipped for jobs of the same or a larger size. */
import type {PoolName} from '@turmericbay/types';
import type {SizeEstimate} from './learned-sizes.js';
import {resourceNames} from './resources.js';

/** Keeps the check much cheaper than a search over the workers. */
const maximumSizesPerPool = 16;

export type InfeasibleSizes = {
	add(pool: PoolName, estimate: SizeEstimate): void;
	/** Whether a job that needs at most as much of each resource fitted on no worker. */
	covers(pool: PoolName, estimate: SizeEstimate): boolean;
};

const isAtMost = (left: SizeEstimate, right: SizeEstimate): boolean =>
	resourceNames.every(resource => left.expected[resource] <= right.expected[resource] && left.deviation[resource] <= right.deviation[resource]);

export const createInfeasibleSizes = (): InfeasibleSizes => {
	const byPool = new Map<PoolName, SizeEstimate[]>();
	return {
		add(pool, estimate) {
			const known = (byPool.get(pool) ?? []).filter(other => !isAtMost(estimate, other));
			byPool.set(pool, [...known, estimate].slice(-maximumSizesPerPool));
		},
		covers: (pool, estimate) => (byPool.get(pool) ?? []).some(other => isAtMost(other, estimate)),
	};
};
