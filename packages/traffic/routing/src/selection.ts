/** Selects the upstream for one request. */
import type {InstanceId, RandomSource} from '@turmericbay/types';
import {failuresUntilEjection} from './ejection.js';
import {
	computeAllowance, isEjected, computeLoad, computeHeadroom,
} from './upstream.js';
import type {Locality, PoolLimits, Upstream} from './upstream.js';

/** Power of two random choices: avoids that all entry instances choose the same least loaded upstream. */
const chooseOfTwo = (candidates: readonly Upstream[], random: RandomSource): Upstream | undefined => {
	const firstIndex = Math.floor(random() * candidates.length);
	const first = candidates[firstIndex];
	if (first === undefined || candidates.length === 1) {
		return first;
	}

	const offset = 1 + Math.floor(random() * (candidates.length - 1));
	const second = candidates[(firstIndex + offset) % candidates.length]!;
	return computeLoad(second) < computeLoad(first) ? second : first;
};

export const selectUpstream = ({upstreams, limits, getLocality, excluded, random, now}: {
	readonly upstreams: readonly Upstream[];
	readonly limits: PoolLimits;
	readonly getLocality: (upstream: Upstream) => Locality;
	readonly excluded: ReadonlySet<InstanceId>;
	readonly random: RandomSource;
	readonly now: number;
}): Upstream | undefined => {
	const usable = upstreams.filter(upstream =>
		!isEjected(upstream, now)
		&& !excluded.has(upstream.record.instance)
		&& computeAllowance(upstream, limits, getLocality(upstream)) > 0);
	const withHeadroom = usable.filter(upstream => computeHeadroom(upstream, limits) > 0);
	// Local upstreams that keep failing but cannot be ejected are not preferred; otherwise a failed zone would keep the requests of its entry instances.
	const preferred = withHeadroom.filter(upstream => getLocality(upstream).type === 'local' && upstream.consecutiveFailures < failuresUntilEjection);
	const group = [preferred, withHeadroom, usable].find(({length}) => length > 0);
	return group === undefined ? undefined : chooseOfTwo(group, random);
};
