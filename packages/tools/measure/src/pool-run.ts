/** Simulates the pool policy: the load of the pools bursts in turn, and moving an instance takes time. */
import {createPoolPolicy, deriveSettings} from '@turmericbay/policy';
import type {PoolLoad, PoolMove} from '@turmericbay/policy';
import type {MeasuredPolicy} from './policies.js';
import {createRandom} from './random.js';
import type {Random} from './random.js';
import type {Site} from './sites.js';
import type {TickTimes} from './timing.js';

export type PoolFigures = {
	/** Mean number of idle instances in pools other than the spare pool, including those on their way to one. */
	readonly idleInstances: number;
	readonly movesPerHour: number;
	/** Mean time that a request waits for a slot. */
	readonly meanWaitSeconds: number;
};

const burstFactor = 5;
const quietFactor = 0.05;
const burstSeconds = 4;
/** Time to drain an instance, confirm the drain and add it to its new pool. */
const moveSeconds = 40;
const meanLoadPeriodSeconds = 1500;
const minimumInstances = 2;

type Pool = {readonly name: string; readonly burstIndex: number; members: string[]; joiningCount: number; meanOfferedSlots: number; queuedSlots: number; busySlots: number};
type PendingMove = {readonly instance: string; readonly destination: Pool; readonly arrivesAt: number};

const sparePool = 'spare';

const createPools = (site: Site): Pool[] => Array.from({length: site.upstreamPools + 1}, (_, index) => {
	const name = index === 0 ? sparePool : `pool-${index}`;
	return {
		name, burstIndex: index, joiningCount: 0, meanOfferedSlots: 0, queuedSlots: 0, busySlots: 0,
		members: Array.from({length: index === 0 ? site.spareInstances : site.instancesPerPool}, (_unused, member) => `${name}-${member}`),
	};
});

/** Serves one second of load, queued work first, and returns the load of this second in slots. */
const serveSecond = (site: Site, pool: Pool, second: number) => {
	const burstGroups = Math.max(1, Math.min(site.upstreamPools, burstFactor));
	const isBurst = Math.floor(second / burstSeconds) % burstGroups === pool.burstIndex % burstGroups;
	const offered = pool.meanOfferedSlots * (isBurst ? burstFactor : quietFactor);
	const capacity = pool.members.length * site.slotsPerInstance;
	pool.busySlots = Math.min(capacity, pool.queuedSlots + offered);
	pool.queuedSlots = Math.max(0, pool.queuedSlots + offered - capacity);
	return offered;
};

const redrawMeanLoads = (site: Site, pools: readonly Pool[], random: Random) => {
	for (const pool of pools) {
		const capacity = site.instancesPerPool * site.slotsPerInstance;
		pool.meanOfferedSlots = pool.name === sparePool ? 0 : capacity * random.uniformBetween(0.35, 0.85);
	}
};

const createPoolLoad = (site: Site, pool: Pool): PoolLoad => ({
	pool: pool.name, isSpare: pool.name === sparePool, members: pool.members, joining: pool.joiningCount, minimumInstances, slotsPerInstance: site.slotsPerInstance, busySlots: pool.busySlots,
});

/** Baseline: every second each pool requests the instances that its current load needs and returns the others. */
const moveWithoutHysteresis = (site: Site, pools: readonly Pool[]): PoolMove[] => {
	const available = [...pools[0]?.members ?? []];
	return pools.slice(1).flatMap((pool): PoolMove[] => {
		const needed = Math.max(minimumInstances, Math.ceil((pool.busySlots + pool.queuedSlots) / site.slotsPerInstance));
		const size = pool.members.length + pool.joiningCount;
		return needed > size
			? available.splice(0, needed - size).map(instance => ({instance, destination: pool.name}))
			: pool.members.slice(0, Math.max(0, Math.min(size - needed, pool.members.length - minimumInstances))).map(instance => ({instance, destination: sparePool}));
	});
};

const startMove = (pools: readonly Pool[], move: PoolMove, second: number): PendingMove | undefined => {
	const source = pools.find(pool => pool.members.includes(move.instance));
	const destination = pools.find(pool => pool.name === move.destination);
	if (!source || !destination) {
		return undefined;
	}

	source.members = source.members.filter(member => member !== move.instance);
	destination.joiningCount++;
	return {instance: move.instance, destination, arrivesAt: second + moveSeconds};
};

const completeMoves = (pendingMoves: readonly PendingMove[], second: number): PendingMove[] => pendingMoves.filter(({instance, destination, arrivesAt}) => {
	if (arrivesAt > second) {
		return true;
	}

	destination.joiningCount--;
	destination.members = [...destination.members, instance];
	return false;
});

export const runPools = (site: Site, policy: MeasuredPolicy, seed: number, times: TickTimes): PoolFigures => {
	const random = createRandom(seed);
	const pools = createPools(site);
	const poolPolicy = createPoolPolicy(deriveSettings(site.weights));
	const warmUpSeconds = site.poolSeconds * 0.2;
	let pendingMoves: PendingMove[] = [];
	const totals = {
		idle: 0, moves: 0, waiting: 0, offered: 0,
	};
	for (let second = 0; second < site.poolSeconds; second++) {
		if (second % meanLoadPeriodSeconds === 0) {
			redrawMeanLoads(site, pools, random);
		}

		pendingMoves = completeMoves(pendingMoves, second);
		const isMeasured = second >= warmUpSeconds;
		for (const pool of pools.slice(1)) {
			const offered = serveSecond(site, pool, second);
			// An instance on its way to a pool serves no requests, so it counts as idle.
			totals.idle += isMeasured ? pool.members.length + pool.joiningCount - (pool.busySlots / site.slotsPerInstance) : 0;
			totals.waiting += isMeasured ? pool.queuedSlots : 0;
			totals.offered += isMeasured ? offered : 0;
		}

		const loads = pools.map(pool => createPoolLoad(site, pool));
		const moves = times.measure(() => policy.hasHysteresis ? poolPolicy.tick({now: second * 1000, pools: loads}) : moveWithoutHysteresis(site, pools));
		const startedMoves = moves.map(move => startMove(pools, move, second)).filter(arrival => arrival !== undefined);
		pendingMoves = [...pendingMoves, ...startedMoves];
		totals.moves += isMeasured ? startedMoves.length : 0;
	}

	const measuredSeconds = site.poolSeconds - warmUpSeconds;
	return {
		idleInstances: totals.idle / measuredSeconds, movesPerHour: totals.moves * 3600 / measuredSeconds, meanWaitSeconds: totals.waiting / totals.offered,
	};
};
