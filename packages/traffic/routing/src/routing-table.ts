/**
 * Upstreams as seen from one entry instance: the platform's list, own requests
 * in flight, and what peers reported. Selects the upstream at the moment of
 * sending. No I/O; `now` and random numbers are passed in.
 */
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {
	AvailabilityZone, InstanceId, InstanceRecord, PoolName, RandomSource,
} from '@turmericbay/types';

export type PoolLimits = {
	readonly slotsPerInstance: number;
	readonly connectionsPerInstance: number;
	readonly maximumUnavailable: number;
};

/** What one other entry instance reported in its last exchange. */
export type PeerLoad = {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly pools: ReadonlyArray<{readonly pool: PoolName; readonly queued: number; readonly inFlight: number}>;
	readonly upstreams: ReadonlyArray<{readonly instance: InstanceId; readonly inFlight: number}>;
};

export enum AttemptResult {
	Success = 'success',
	Failure = 'failure',
	/** Says nothing about the health of the upstream. */
	Neutral = 'neutral',
}

export type Upstream = {
	record: InstanceRecord;
	ownInFlight: number;
	/** Requests whose connection broke, while the upstream may still be running them. */
	lingering: number;
	peersInFlight: number;
};

export type RoutingTable = {
	updateInstances(options: {readonly instances: readonly InstanceRecord[]}): {readonly gone: readonly InstanceRecord[]};
	updatePools(options: {readonly pools: Readonly<Record<PoolName, PoolLimits>>}): void;
	setPeerLoads(options: {readonly loads: readonly PeerLoad[]}): void;
	/** Selects an upstream and counts the request as in flight there; undefined if none can take it. */
	begin(options: {readonly pool: PoolName; readonly now: number; readonly excluded: ReadonlySet<InstanceId>}): Upstream | undefined;
	/** Ends the request's turn; with `lingers` its slot stays taken until `endLingering`. */
	finish(options: {readonly upstream: Upstream; readonly result: AttemptResult; readonly now: number; readonly lingers?: boolean}): void;
	endLingering(options: {readonly upstream: Upstream}): void;
	/** Requests that the pool could take now beyond those in flight. */
	freeSlots(options: {readonly pool: PoolName; readonly now: number}): number;
	inFlight(options: {readonly pool: PoolName}): number;
	upstreams(): readonly Upstream[];
};

const isServing = (record: InstanceRecord): boolean =>
	record.role === InstanceRole.Upstream && record.state === InstanceState.Live;

export const createRoutingTable = (options: {
	readonly zone: AvailabilityZone;
	readonly random: RandomSource;
}): RoutingTable => {
	const upstreams = new Map<InstanceId, Upstream>();
	let pools: Readonly<Record<PoolName, PoolLimits>> = {};
	let peersInFlight = new Map<InstanceId, number>();

	const free = (upstream: Upstream): number => {
		const limits = pools[upstream.record.pool];
		return limits === undefined ? 0 : Math.max(0, limits.slotsPerInstance - upstream.ownInFlight - upstream.lingering);
	};

	const candidates = (pool: PoolName): Upstream[] =>
		[...upstreams.values()].filter(({record}) => record.pool === pool);

	const chooseLessLoaded = (choices: readonly Upstream[]): Upstream | undefined => {
		const first = choices[Math.floor(options.random() * choices.length)];
		const second = choices[Math.floor(options.random() * choices.length)];
		if (first === undefined || second === undefined) {
			return undefined;
		}

		const load = (upstream: Upstream) => upstream.ownInFlight + upstream.peersInFlight;
		return load(second) < load(first) ? second : first;
	};

	return {
		updateInstances({instances}) {
			const serving = new Map(instances.filter(record => isServing(record)).map(record => [record.instance, record]));
			const gone = [...upstreams.values()].map(({record}) => record).filter(record => serving.get(record.instance)?.incarnation !== record.incarnation);
			for (const {instance} of gone) {
				upstreams.delete(instance);
			}

			for (const [instance, record] of serving) {
				const known = upstreams.get(instance);
				if (known === undefined) {
					upstreams.set(instance, {
						record, ownInFlight: 0, lingering: 0, peersInFlight: peersInFlight.get(instance) ?? 0,
					});
				} else {
					known.record = record;
				}
			}

			return {gone};
		},
		updatePools(update) {
			pools = update.pools;
		},
		setPeerLoads({loads}) {
			peersInFlight = new Map();
			for (const {instance, inFlight} of loads.flatMap(load => load.upstreams)) {
				peersInFlight.set(instance, (peersInFlight.get(instance) ?? 0) + inFlight);
			}

			for (const upstream of upstreams.values()) {
				upstream.peersInFlight = peersInFlight.get(upstream.record.instance) ?? 0;
			}
		},
		begin({pool, excluded}) {
			const able = candidates(pool).filter(upstream => free(upstream) > 0 && !excluded.has(upstream.record.instance));
			const near = able.filter(({record}) => record.zone === options.zone);
			const upstream = chooseLessLoaded(near.length > 0 ? near : able);
			if (upstream !== undefined) {
				upstream.ownInFlight++;
			}

			return upstream;
		},
		finish({upstream, lingers = false}) {
			upstream.ownInFlight--;
			upstream.lingering += lingers ? 1 : 0;
		},
		endLingering({upstream}) {
			upstream.lingering--;
		},
		freeSlots({pool}) {
			let sum = 0;
			for (const upstream of candidates(pool)) {
				sum += free(upstream);
			}

			return sum;
		},
		inFlight({pool}) {
			let sum = 0;
			for (const upstream of candidates(pool)) {
				sum += upstream.ownInFlight;
			}

			return sum;
		},
		upstreams: () => [...upstreams.values()],
	};
};
