/**
 * Weighted max-min fairness over the dominant resource between the workspaces of a
 * pool (Ghodsi et al., "Dominant Resource Fairness", 2011), by progressive filling:
 * the workspace with the lowest dominant usage by weight starts the next tasks.
 */
import {computeFairShares} from '@turmericbay/policy/shares';
import type {DurationEstimator} from './durations.js';
import type {ExhaustedSizes} from './exhausted-sizes.js';
import type {Resources} from './model.js';
import {orderByObjective} from './objective-order.js';
import {addResources, computeDominantFraction, getWorkspace} from './pool-usage.js';
import type {ReadyJob} from './ready-work.js';
import {getTaskRequirement} from './ready-work.js';

/** Usage of a workspace of weight 0 is divided by this, so that it gets what the others leave. */
const minimumWeight = 0.001;

export type FairContext = {
	/** Of the pool's workers that may get runs, including what is in use. */
	readonly capacity: Resources;
	/** Current usage of the workspace in the pool; read again after each turn. */
	readonly getReserved: (workspace: string) => Resources;
	readonly getWeight: (workspace: string) => number;
	/** Workspaces with runs or with tasks that could start, and what their tasks need that could start. */
	readonly requiredByWorkspace: ReadonlyMap<string, Resources>;
	readonly exhausted: ExhaustedSizes;
	/** Jobs that get a turn even if none of their tasks fits. */
	readonly mustTry: (entry: ReadyJob) => boolean;
	readonly durations: DurationEstimator;
	readonly now: number;
};

/** A job and the number of tasks that it may start before it is the turn of another workspace. */
export type FairTurn = {readonly entry: ReadyJob; readonly maximumStarts: number};

type Claim = {
	readonly workspace: string;
	readonly weight: number;
	readonly jobs: ReadyJob[];
	/** Jobs in their order, once it is the workspace's turn. */
	ordered: ReadyJob[] | undefined;
	position: number;
	/** Dominant usage by weight. */
	level: number;
};

const hasWaitingTasks = (entry: ReadyJob): boolean => entry.steps.some(step => step.waiting > 0);

const limitWeight = (weight: number): number => Math.max(minimumWeight, weight);

type ShareContext = Pick<FairContext, 'capacity' | 'getReserved' | 'getWeight' | 'requiredByWorkspace'>;

/** Share of the pool of each workspace, as a dominant fraction. */
const computeShares = (context: ShareContext): Map<string, number> => computeFairShares(
	[...context.requiredByWorkspace].map(([workspace, required]) => ({
		team: workspace, share: limitWeight(context.getWeight(workspace)), demand: computeDominantFraction(addResources(context.getReserved(workspace), required), context.capacity),
	})),
	1,
);

/** Fractions of the pool's capacity, by the dominant resource. The workspace of public queues has an empty name. */
export type WorkspaceShare = {readonly workspace: string; readonly usage: number; readonly share: number};

export const measureShares = (context: ShareContext): WorkspaceShare[] =>
	[...computeShares(context)].map(([workspace, share]) => ({workspace, share, usage: computeDominantFraction(context.getReserved(workspace), context.capacity)}));

const createClaims = (jobs: readonly ReadyJob[], measureLevel: (claim: Pick<Claim, 'workspace' | 'weight'>) => number, context: FairContext): Claim[] => {
	const claims = new Map<string, Claim>();
	for (const entry of jobs) {
		const workspace = getWorkspace(entry.job);
		let claim = claims.get(workspace);
		if (!claim) {
			const weight = limitWeight(context.getWeight(workspace));
			claim = {
				workspace, weight, jobs: [], ordered: undefined, position: 0, level: measureLevel({workspace, weight}),
			};
			claims.set(workspace, claim);
		}

		claim.jobs.push(entry);
	}

	return [...claims.values()];
};

/** The workspace with the lowest level, the first of several, and the lowest level of the others. */
const findLowest = (claims: readonly Claim[]): {readonly lowest: Claim | undefined; readonly nextLevel: number} => {
	let lowest: Claim | undefined;
	let nextLevel = Number.POSITIVE_INFINITY;
	for (const claim of claims) {
		if (lowest === undefined || claim.level < lowest.level) {
			nextLevel = lowest?.level ?? nextLevel;
			lowest = claim;
		} else {
			nextLevel = Math.min(nextLevel, claim.level);
		}
	}

	return {lowest, nextLevel};
};

/** Tasks that bring the workspace up to the level of the next one, and one beyond. */
const countStarts = (entry: ReadyJob, claim: Claim, context: {readonly nextLevel: number; readonly capacity: Resources}): number => {
	const step = entry.steps.find(({waiting}) => waiting > 0);
	const fraction = step ? computeDominantFraction(getTaskRequirement(step), context.capacity) : 0;
	return fraction > 0 && Number.isFinite(context.nextLevel) ? 1 + Math.floor((context.nextLevel - claim.level) * claim.weight / fraction) : Number.POSITIVE_INFINITY;
};

/** Yields turns for the jobs and is given the number of tasks started in each. A job that could start none gets no further turn. */
export function * takeFairTurns(jobs: readonly ReadyJob[], context: FairContext): Generator<FairTurn, void, number> {
	const {capacity, exhausted, mustTry, durations, now} = context;
	const measureLevel = ({workspace, weight}: Pick<Claim, 'workspace' | 'weight'>): number => computeDominantFraction(context.getReserved(workspace), capacity) / weight;
	let claims = createClaims(jobs.filter(entry => mustTry(entry) || !exhausted.coversJob(entry)), measureLevel, context);
	let shares: ReadonlyMap<string, number> | undefined;
	for (;;) {
		const {lowest: claim, nextLevel} = findLowest(claims);
		if (!claim) {
			return;
		}

		shares ??= computeShares(context);
		claim.ordered ??= orderByObjective(claim.jobs, {cpuMillis: (shares.get(claim.workspace) ?? 0) * capacity.cpuMillis, durations, now});
		const entry = claim.ordered[claim.position];
		if (!entry) {
			claims = claims.filter(other => other !== claim);
		} else if (!hasWaitingTasks(entry) || (exhausted.coversJob(entry) && !mustTry(entry))) {
			claim.position += 1;
		} else {
			const starts = yield {entry, maximumStarts: countStarts(entry, claim, {nextLevel, capacity})};
			claim.level = measureLevel(claim);
			if (starts === 0) {
				exhausted.recordFailure(entry);
				claim.position += 1;
			}
		}
	}
}
