/** Outlier ejection: excludes failing upstreams from selection for a time, within the pool's availability budget. */
import {AttemptResult, isEjected} from './upstream.js';
import type {Upstream} from './upstream.js';

/** Failures in a row. */
export const failuresUntilEjection = 5;
const firstEjectionMilliseconds = 1000;
const maximumEjectionMilliseconds = 60_000;

export type PoolHealth = {
	/** Live upstreams of the pool. */
	readonly upstreams: readonly Upstream[];
	/** Instances of the pool that the instance list shows as leaving; they count against the same budget. */
	readonly leaving: number;
	readonly maximumUnavailable: number;
};

const countEjected = (upstreams: readonly Upstream[], now: number): number =>
	upstreams.filter(upstream => isEjected(upstream, now)).length;

const computeEjectionBudget = ({maximumUnavailable, leaving}: PoolHealth): number => Math.max(0, maximumUnavailable - leaving);

/** The last upstream in service is never ejected: without it, all requests would fail instead of some. */
const canEject = (health: PoolHealth, now: number): boolean => {
	const ejected = countEjected(health.upstreams, now);
	return ejected < computeEjectionBudget(health) && ejected + 1 < health.upstreams.length;
};

/** Returns true if the result caused an ejection. */
export const recordResult = ({upstream, result, health, now}: {
	readonly upstream: Upstream;
	readonly result: AttemptResult;
	readonly health: PoolHealth;
	readonly now: number;
}): boolean => {
	switch (result) {
		case AttemptResult.Success: {
			upstream.consecutiveFailures = 0;
			upstream.ejections = 0;
			upstream.ejectedUntil = undefined;
			return false;
		}

		case AttemptResult.Neutral: {
			return false;
		}

		case AttemptResult.Failure: {
			// The count is kept after an ejection, so a single further failure ejects the upstream again, for twice the time.
			upstream.consecutiveFailures++;
			if (upstream.consecutiveFailures < failuresUntilEjection || isEjected(upstream, now) || !canEject(health, now)) {
				return false;
			}

			upstream.ejectedUntil = now + Math.min(maximumEjectionMilliseconds, firstEjectionMilliseconds * (2 ** upstream.ejections));
			upstream.ejections++;
			return true;
		}
	}
};

/** Readmits ejected upstreams in excess of the budget, starting with those whose ejection ends first. */
export const enforceEjectionBudget = (health: PoolHealth, now: number): void => {
	const ejected = health.upstreams
		.filter(upstream => isEjected(upstream, now))
		.toSorted((left, right) => left.ejectedUntil! - right.ejectedUntil!);
	const allowed = Math.min(computeEjectionBudget(health), health.upstreams.length - 1);
	for (const upstream of ejected.slice(0, Math.max(0, ejected.length - allowed))) {
		upstream.ejectedUntil = undefined;
	}
};
