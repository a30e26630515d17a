/** Chooses the upstream for one request. */
import type {AvailabilityZone, InstanceId, RandomSource} from '@turmericbay/types';
import {
	allowance, isEjected, load, sharedHeadroom,
} from './upstream.js';
import type {PoolLimits, Upstream} from './upstream.js';

/** Power of two choices: close to the least loaded, without every entry instance choosing the same one. */
const chooseOfTwo = (candidates: readonly Upstream[], random: RandomSource): Upstream | undefined => {
	const firstIndex = Math.floor(random() * candidates.length);
	const first = candidates[firstIndex];
	if (first === undefined || candidates.length === 1) {
		return first;
	}

	const offset = 1 + Math.floor(random() * (candidates.length - 1));
	const second = candidates[(firstIndex + offset) % candidates.length]!;
	return load(second) < load(first) ? second : first;
};

export const selectUpstream = ({upstreams, limits, activePeers, zone, excluded, random, now}: {
	readonly upstreams: readonly Upstream[];
	readonly limits: PoolLimits;
	readonly activePeers: number;
	readonly zone: AvailabilityZone;
	readonly excluded: ReadonlySet<InstanceId>;
	readonly random: RandomSource;
	readonly now: number;
}): Upstream | undefined => {
	const usable = upstreams.filter(upstream =>
		!isEjected(upstream, now)
		&& !excluded.has(upstream.record.instance)
		&& allowance(upstream, limits, activePeers) > 0);
	const withHeadroom = usable.filter(upstream => sharedHeadroom(upstream, limits) > 0);
	const isNear = ({record}: Upstream): boolean => record.zone === zone;
	const groups = [withHeadroom.filter(upstream => isNear(upstream)), withHeadroom, usable.filter(upstream => isNear(upstream)), usable];
	const group = groups.find(({length}) => length > 0);
	return group === undefined ? undefined : chooseOfTwo(group, random);
};
