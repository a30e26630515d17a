/** Drives the pool policy against queues that burst in turn, and a stand-in of moves that take time. */
import {createPoolPolicy, deriveSettings} from '@turmericbay/policy';
import type {PoolLoad, PoolMove} from '@turmericbay/policy';
import type {MeasuredPolicy} from './policies.js';
import {createRandom} from './random.js';
import type {Random} from './random.js';
import type {Site} from './sites.js';
import type {TickTimes} from './timing.js';

export type PoolFigures = {
	/** Instances that are held in working pools, or on their way to one, and idle, on average. */
	readonly idleInstances: number;
	readonly movesPerHour: number;
	/** Mean time that a request waits for a slot. */
	readonly meanWaitSeconds: number;
};

const burstFactor = 5;
const quietFactor = 0.05;
const burstSeconds = 4;
/** Drain, confirmation and joining of a moved instance. */
const moveSeconds = 40;
const phaseSeconds = 1500;
const minimumInstances = 2;

type Pool = {readonly name: string; readonly turn: number; members: string[]; joining: number; meanSlots: number; backlog: number; busy: number};
type Arrival = {readonly instance: string; readonly destination: Pool; readonly at: number};

const spareName = 'spare';

const createPools = (site: Site): Pool[] => Array.from({length: site.upstreamPools + 1}, (_, index) => {
	const name = index === 0 ? spareName : `pool-${index}`;
	return {
		name, turn: index, joining: 0, meanSlots: 0, backlog: 0, busy: 0,
		members: Array.from({length: index === 0 ? site.spareInstances : site.instancesPerPool}, (_unused, member) => `${name}-${member}`),
	};
});

/** Demand of a second in slots; waiting work counts on. */
const serve = (site: Site, pool: Pool, second: number) => {
	const turns = Math.max(1, Math.min(site.upstreamPools, burstFactor));
	const isBurst = Math.floor(second / burstSeconds) % turns === pool.turn % turns;
	const offered = pool.meanSlots * (isBurst ? burstFactor : quietFactor);
	const capacity = pool.members.length * site.slotsPerInstance;
	pool.busy = Math.min(capacity, pool.backlog + offered);
	pool.backlog = Math.max(0, pool.backlog + offered - capacity);
	return offered;
};

const shiftMeans = (site: Site, pools: readonly Pool[], random: Random) => {
	for (const pool of pools) {
		const capacity = site.instancesPerPool * site.slotsPerInstance;
		pool.meanSlots = pool.name === spareName ? 0 : capacity * random.between(0.35, 0.85);
	}
};

const describePool = (site: Site, pool: Pool): PoolLoad => ({
	pool: pool.name, isSpare: pool.name === spareName, members: pool.members, joining: pool.joining, minimumInstances, slotsPerInstance: site.slotsPerInstance, busySlots: pool.busy,
});

/** Baseline: every pool takes at once what its queue needs at this moment, and gives back the rest. */
const moveWithoutHysteresis = (site: Site, pools: readonly Pool[]): PoolMove[] => {
	const available = [...pools[0]?.members ?? []];
	return pools.slice(1).flatMap((pool): PoolMove[] => {
		const needed = Math.max(minimumInstances, Math.ceil((pool.busy + pool.backlog) / site.slotsPerInstance));
		const size = pool.members.length + pool.joining;
		return needed > size
			? available.splice(0, needed - size).map(instance => ({instance, destination: pool.name}))
			: pool.members.slice(0, Math.max(0, Math.min(size - needed, pool.members.length - minimumInstances))).map(instance => ({instance, destination: spareName}));
	});
};

const beginMove = (pools: readonly Pool[], move: PoolMove, second: number): Arrival | undefined => {
	const source = pools.find(pool => pool.members.includes(move.instance));
	const destination = pools.find(pool => pool.name === move.destination);
	if (!source || !destination) {
		return undefined;
	}

	source.members = source.members.filter(member => member !== move.instance);
	destination.joining++;
	return {instance: move.instance, destination, at: second + moveSeconds};
};

const endMoves = (arrivals: readonly Arrival[], second: number): Arrival[] => arrivals.filter(({instance, destination, at}) => {
	if (at > second) {
		return true;
	}

	destination.joining--;
	destination.members = [...destination.members, instance];
	return false;
});

export const runPools = (site: Site, policy: MeasuredPolicy, seed: number, times: TickTimes): PoolFigures => {
	const random = createRandom(seed);
	const pools = createPools(site);
	const poolPolicy = createPoolPolicy(deriveSettings(site.weights));
	const warmUpSeconds = site.poolSeconds * 0.2;
	let arrivals: Arrival[] = [];
	const sums = {
		idle: 0, moves: 0, waiting: 0, offered: 0,
	};
	for (let second = 0; second < site.poolSeconds; second++) {
		if (second % phaseSeconds === 0) {
			shiftMeans(site, pools, random);
		}

		arrivals = endMoves(arrivals, second);
		const isMeasured = second >= warmUpSeconds;
		for (const pool of pools.slice(1)) {
			const offered = serve(site, pool, second);
			// An instance on its way serves nobody, like an idle one.
			sums.idle += isMeasured ? pool.members.length + pool.joining - (pool.busy / site.slotsPerInstance) : 0;
			sums.waiting += isMeasured ? pool.backlog : 0;
			sums.offered += isMeasured ? offered : 0;
		}

		const loads = pools.map(pool => describePool(site, pool));
		const moves = times.measure(() => policy.hasHysteresis ? poolPolicy.tick({now: second * 1000, pools: loads}) : moveWithoutHysteresis(site, pools));
		const begun = moves.map(move => beginMove(pools, move, second)).filter(arrival => arrival !== undefined);
		arrivals = [...arrivals, ...begun];
		sums.moves += isMeasured ? begun.length : 0;
	}

	const measuredSeconds = site.poolSeconds - warmUpSeconds;
	return {
		idleInstances: sums.idle / measuredSeconds, movesPerHour: sums.moves * 3600 / measuredSeconds, meanWaitSeconds: sums.waiting / sums.offered,
	};
};
