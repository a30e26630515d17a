/** The fleet policy and simple baselines, each of which replaces one part of the policy. */
import {
	computeDominantFraction, fits, isUsable, placeBestFit,
} from '@turmericbay/policy';
import type {PlaceJob, ScoreTeam} from '@turmericbay/policy';

export type MeasuredPolicy = {
	readonly name: string;
	readonly place: PlaceJob;
	/** If false, jobs reserve the resources that they declare. */
	readonly usesLearnedSizes: boolean;
	/** Undefined: the default, which scores teams by weighted dominant share. */
	readonly scoreTeam: ScoreTeam | undefined;
	readonly hasHysteresis: boolean;
	readonly drainsSequentially: boolean;
};

/** The first worker in list order with enough free capacity. */
const placeFirstFit: PlaceJob = options => (options.tables.workersByPool.get(options.row.pool) ?? [])
	.find(worker => fits(worker, options.estimate) && isUsable(options, worker));

/** Every team may use the same fraction of the fleet; a team that has reached it starts no jobs. */
const scoreEqualSplit: ScoreTeam = (team, tables) => {
	const used = computeDominantFraction(team.reservedResources, tables.totalCapacity);
	return used >= 1 / tables.teams.size ? Number.POSITIVE_INFINITY : used;
};

const policy: MeasuredPolicy = {
	name: 'policy', place: placeBestFit, usesLearnedSizes: true, scoreTeam: undefined, hasHysteresis: true, drainsSequentially: false,
};

export const policies: readonly MeasuredPolicy[] = [
	policy,
	{
		...policy, name: 'first fit', place: placeFirstFit, usesLearnedSizes: false,
	},
	{...policy, name: 'equal split', scoreTeam: scoreEqualSplit},
	{...policy, name: 'one-at-a-time drains', drainsSequentially: true},
	{...policy, name: 'no hysteresis', hasHysteresis: false},
];
