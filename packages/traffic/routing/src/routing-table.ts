/**
 * State of the upstreams as seen from one entry instance: the platform's
 * instance list, the instance's own requests in flight, and the load reported by
 * other entry instances (peers). Selects an upstream right before a request is
 * sent. No I/O; `now` (monotonic milliseconds) and random numbers are passed in.
 */
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {
	AvailabilityZone, InstanceId, InstanceRecord, PoolName, RandomSource,
} from '@turmericbay/types';
import {enforceEjectionBudget, recordResult} from './ejection.js';
import type {PoolHealth} from './ejection.js';
import {selectUpstream} from './selection.js';
import {computeAllowance, createUpstream, isEjected} from './upstream.js';
import type {
	AttemptResult, Locality, PeerLoad, PoolLimits, Upstream,
} from './upstream.js';

export type RoutingTable = {
	/** Returns the upstreams that are no longer in service and must get no new requests. */
	updateInstances(options: {readonly instances: readonly InstanceRecord[]; readonly now: number}): {readonly removed: readonly InstanceRecord[]};
	updatePools(options: {readonly pools: Readonly<Record<PoolName, PoolLimits>>; readonly now: number}): void;
	setPeerLoads(options: {readonly loads: readonly PeerLoad[]}): void;
	/** Selects an upstream and counts the request as in flight there; undefined if none can take it. */
	startRequest(options: {readonly pool: PoolName; readonly now: number; readonly excluded: ReadonlySet<InstanceId>}): Upstream | undefined;
	/** Records the result and frees the slot; the slot of an abandoned request stays in use until `finishAbandonedRequest`. */
	finishRequest(options: {readonly upstream: Upstream; readonly result: AttemptResult; readonly now: number; readonly isAbandoned?: boolean}): {readonly ejected: boolean};
	finishAbandonedRequest(options: {readonly upstream: Upstream}): void;
	/** Further requests that this entry instance may send to the pool now. */
	countFreeSlots(options: {readonly pool: PoolName; readonly now: number}): number;
	countInFlight(options: {readonly pool: PoolName}): number;
	/** Upstreams in service, and those out of service that still have requests in flight. */
	listUpstreams(): readonly Upstream[];
	/** Only upstreams with requests in flight and ejected ones, since a pool can have thousands of idle ones. */
	listBusyOrEjectedUpstreams(options: {readonly now: number}): readonly Upstream[];
};

type PoolTable = {
	upstreams: Upstream[];
	/** Out of service, but with requests still in flight. */
	retired: Upstream[];
	leaving: number;
};

const emptyPool = (): PoolTable => ({upstreams: [], retired: [], leaving: 0});

const isUpstream = ({role}: InstanceRecord): boolean => role === InstanceRole.Upstream;

const isSameProcess = (left: InstanceRecord, right: InstanceRecord): boolean =>
	left.instance === right.instance && left.incarnation === right.incarnation;

const isBusy = ({ownInFlight, abandonedInFlight}: Upstream): boolean => ownInFlight + abandonedInFlight > 0;

const sum = (upstreams: readonly Upstream[], value: (upstream: Upstream) => number): number => {
	let total = 0;
	for (const upstream of upstreams) {
		total += value(upstream);
	}

	return total;
};

const groupByPool = (instances: readonly InstanceRecord[]): Map<PoolName, InstanceRecord[]> => {
	const groups = new Map<PoolName, InstanceRecord[]>();
	for (const record of instances) {
		const group = groups.get(record.pool) ?? [];
		group.push(record);
		groups.set(record.pool, group);
	}

	return groups;
};

/** Keeps the state of processes that are still listed as live, and retires the others. */
const updatePool = (table: PoolTable, listed: readonly InstanceRecord[], peersInFlight: ReadonlyMap<InstanceId, number>): InstanceRecord[] => {
	const known = [...table.upstreams, ...table.retired];
	const live = listed.filter(({state}) => state === InstanceState.Live);
	const upstreams = live.map(record => {
		const upstream = known.find(candidate => isSameProcess(candidate.record, record)) ?? createUpstream(record, peersInFlight.get(record.instance) ?? 0);
		upstream.record = record;
		return upstream;
	});
	const removed = table.upstreams.filter(upstream => !upstreams.includes(upstream));
	table.retired = known.filter(upstream => !upstreams.includes(upstream) && isBusy(upstream));
	table.upstreams = upstreams;
	table.leaving = listed.length - live.length;
	return removed.map(({record}) => record);
};

export const createRoutingTable = (options: {
	readonly zone: AvailabilityZone;
	readonly random: RandomSource;
}): RoutingTable => {
	const {zone, random} = options;
	const tables = new Map<PoolName, PoolTable>();
	let peers: readonly PeerLoad[] = [];
	const sharingCounts = new Map<PoolName, {inZone: number; total: number}>();
	let limits = new Map<PoolName, PoolLimits>();
	let peersInFlight = new Map<InstanceId, number>();

	const getTable = (pool: PoolName): PoolTable => tables.get(pool) ?? emptyPool();

	const getHealth = (pool: PoolName): PoolHealth => {
		const {upstreams, leaving} = getTable(pool);
		return {upstreams, leaving, maximumUnavailable: limits.get(pool)?.maximumUnavailable ?? 0};
	};

	const countSharingInstances = (pool: PoolName): {inZone: number; total: number} => {
		const active = peers.filter(({pools}) => pools.some(load => load.pool === pool && load.queued + load.inFlight > 0));
		return {inZone: 1 + active.filter(peer => peer.zone === zone).length, total: 1 + active.length};
	};

	/** If the own zone has no upstream in the pool, the upstreams of all zones count as local. */
	const createLocalityLookup = (pool: PoolName): (upstream: Upstream) => Locality => {
		const {inZone, total} = sharingCounts.get(pool) ?? countSharingInstances(pool);
		sharingCounts.set(pool, {inZone, total});
		const hasLocal = getTable(pool).upstreams.some(({record}) => record.zone === zone);
		return ({record}) => !hasLocal || record.zone === zone ? {type: 'local', sharingInstances: hasLocal ? inZone : total} : {type: 'remote'};
	};

	const enforceBudgets = (now: number): void => {
		for (const pool of tables.keys()) {
			enforceEjectionBudget(getHealth(pool), now);
		}
	};

	const removeIfIdle = (upstream: Upstream): void => {
		const table = tables.get(upstream.record.pool);
		if (table !== undefined && !isBusy(upstream) && table.retired.includes(upstream)) {
			table.retired = table.retired.filter(candidate => candidate !== upstream);
		}
	};

	return {
		updateInstances({instances, now}) {
			const listed = groupByPool(instances.filter(record => isUpstream(record)));
			const removed: InstanceRecord[] = [];
			for (const pool of new Set([...tables.keys(), ...listed.keys()])) {
				const table = getTable(pool);
				tables.set(pool, table);
				removed.push(...updatePool(table, listed.get(pool) ?? [], peersInFlight));
			}

			enforceBudgets(now);
			return {removed};
		},
		updatePools({pools, now}) {
			limits = new Map(Object.entries(pools));
			enforceBudgets(now);
		},
		setPeerLoads({loads}) {
			peersInFlight = new Map();
			peers = loads;
			for (const {instance, inFlight} of loads.flatMap(({upstreams}) => upstreams)) {
				peersInFlight.set(instance, (peersInFlight.get(instance) ?? 0) + inFlight);
			}

			sharingCounts.clear();
			for (const {upstreams} of tables.values()) {
				for (const upstream of upstreams) {
					upstream.peersInFlight = peersInFlight.get(upstream.record.instance) ?? 0;
				}
			}
		},
		startRequest({pool, now, excluded}) {
			const poolLimits = limits.get(pool);
			const upstream = poolLimits === undefined
				? undefined
				: selectUpstream({
					upstreams: getTable(pool).upstreams, limits: poolLimits, getLocality: createLocalityLookup(pool), excluded, random, now,
				});
			if (upstream !== undefined) {
				upstream.ownInFlight++;
			}

			return upstream;
		},
		finishRequest({upstream, result, now, isAbandoned = false}) {
			upstream.ownInFlight--;
			upstream.abandonedInFlight += isAbandoned ? 1 : 0;
			const ejected = recordResult({
				upstream, result, health: getHealth(upstream.record.pool), now,
			});
			removeIfIdle(upstream);
			return {ejected};
		},
		finishAbandonedRequest({upstream}) {
			upstream.abandonedInFlight--;
			removeIfIdle(upstream);
		},
		countFreeSlots({pool, now}) {
			const poolLimits = limits.get(pool);
			const getLocality = createLocalityLookup(pool);
			return poolLimits === undefined
				? 0
				: sum(getTable(pool).upstreams, upstream => isEjected(upstream, now) ? 0 : computeAllowance(upstream, poolLimits, getLocality(upstream)));
		},
		countInFlight({pool}) {
			const {upstreams, retired} = getTable(pool);
			return sum(upstreams, ({ownInFlight}) => ownInFlight) + sum(retired, ({ownInFlight}) => ownInFlight);
		},
		listUpstreams: () => [...tables.values()].flatMap(({upstreams, retired}) => [...upstreams, ...retired]),
		listBusyOrEjectedUpstreams({now}) {
			const found: Upstream[] = [];
			for (const {upstreams, retired} of tables.values()) {
				found.push(...upstreams.filter(upstream => isBusy(upstream) || isEjected(upstream, now)), ...retired);
			}

			return found;
		},
	};
};
