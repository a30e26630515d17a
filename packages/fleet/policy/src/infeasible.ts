/** Sizes that found no room in this tick; larger ones need not be tried again. */
import type {PoolName} from '@turmericbay/types';
import type {SizeEstimate} from './learned-sizes.js';
import {resourceNames} from './resources.js';

/** Enough for the few shapes that matter; the check stays far cheaper than a search over workers. */
const maximumSizesPerPool = 16;

export type InfeasibleSizes = {
	add(pool: PoolName, estimate: SizeEstimate): void;
	/** True if a job that needs no more of anything found no room. */
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
