/** Weighted max-min fairness on the dominant resource. */
import type {TeamName} from '@turmericbay/types';
import {computeDominantFraction} from './resources.js';
import type {Resources} from './resources.js';
import type {TeamRow} from './tables.js';

/** Dominant share of the team divided by its weight; the team with the lowest value starts a job next. */
export const computeWeightedDominantShare = (team: TeamRow, total: Resources): number => computeDominantFraction(team.reservedResources, total) / team.share;

export type ShareDemand = {
	readonly team: TeamName;
	readonly share: number;
	/** Dominant fraction of the fleet that the team could use now, capped by its limit. */
	readonly demand: number;
};

/**
 * Exact weighted max-min allocation of `capacity` by progressive filling. No
 * team gets more than its demand, and no capacity is left while there is demand.
 */
export const computeFairShares = (demands: readonly ShareDemand[], capacity: number): Map<TeamName, number> => {
	const result = new Map<TeamName, number>();
	let remaining = capacity;
	let weight = demands.reduce((sum, {share}) => sum + share, 0);
	// Teams with a small demand relative to their share are satisfied first.
	for (const {team, share, demand} of demands.toSorted((left, right) => (left.demand / left.share) - (right.demand / right.share))) {
		const allocation = Math.min(demand, remaining * share / weight);
		result.set(team, allocation);
		remaining -= allocation;
		weight -= share;
	}

	return result;
};
