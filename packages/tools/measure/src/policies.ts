/** The policy and the plain baselines; each baseline replaces one part and keeps the others. */
import {
	computeDominantFraction, fits, isUsable, placeBestFit,
} from '@turmericbay/policy';
import type {PlaceJob, ScoreTeam} from '@turmericbay/policy';

export type MeasuredPolicy = {
	readonly name: string;
	readonly place: PlaceJob;
	/** False reserves what was declared. */
	readonly learnsSizes: boolean;
	/** Undefined rates by weighted dominant share. */
	readonly scoreTeam: ScoreTeam | undefined;
	readonly hasHysteresis: boolean;
	readonly drainsSingly: boolean;
};

/** The first worker in list order that has room. */
const placeFirstFit: PlaceJob = options => (options.tables.workersByPool.get(options.row.pool) ?? [])
	.find(worker => fits(worker, options.estimate) && isUsable(options, worker));

/** Every team may use the same part of the fleet and no more; a team at its part starts nothing. */
const scoreEqualSplit: ScoreTeam = (team, tables) => {
	const used = computeDominantFraction(team.reservedResources, tables.totalCapacity);
	return used >= 1 / tables.teams.size ? Number.POSITIVE_INFINITY : used;
};

const policy: MeasuredPolicy = {
	name: 'policy', place: placeBestFit, learnsSizes: true, scoreTeam: undefined, hasHysteresis: true, drainsSingly: false,
};

export const policies: readonly MeasuredPolicy[] = [
	policy,
	{
		...policy, name: 'first fit', place: placeFirstFit, learnsSizes: false,
	},
	{...policy, name: 'equal split', scoreTeam: scoreEqualSplit},
	{...policy, name: 'one-at-a-time drains', drainsSingly: true},
	{...policy, name: 'no hysteresis', hasHysteresis: false},
];
