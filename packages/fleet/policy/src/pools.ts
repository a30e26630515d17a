/**
 * Moves of instances between the spare pool and the pools in need. A pool's
 * need is judged by its average demand over a time much longer than a burst
 * and has to last, so bursts that come to each queue in turn cause no moves.
 */
import type {InstanceId, PoolName} from '@turmericbay/types';
import type {PolicySettings} from './weights.js';

export type PoolLoad = {
	readonly pool: PoolName;
	readonly isSpare: boolean;
	/** Instances that can leave, in the order in which they should. */
	readonly members: readonly InstanceId[];
	readonly minimumInstances: number;
	readonly slotsPerInstance: number;
	/**
	 * Requests that run, over all entry instances. Their average is the offered
	 * load; waiting requests would count the load of a burst a second time.
	 */
	readonly busySlots: number;
	/** Instances on their way to the pool. */
	readonly joining: number;
};

export type PoolMove = {readonly instance: InstanceId; readonly destination: PoolName};

type PoolHistory = {averageDemand: number; elapsed: number; shortageSince: number | undefined; surplusSince: number | undefined};

export type PoolPolicy = {
	/** Moves that are wanted now; each is repeated until the members show it. */
	tick(options: {now: number; pools: readonly PoolLoad[]}): PoolMove[];
};

const updateAverage = (history: PoolHistory, demand: number, {elapsed, averagingMilliseconds}: {elapsed: number; averagingMilliseconds: number}) => {
	history.elapsed += elapsed;
	// A plain mean until the averaging time has passed once, so that the first demand seen does not count for long.
	const window = Math.max(1, Math.min(history.elapsed, averagingMilliseconds));
	history.averageDemand += (demand - history.averageDemand) * Math.min(1, elapsed / window);
};

const updateSince = (since: number | undefined, holds: boolean, now: number): number | undefined => holds ? since ?? now : undefined;

export const createPoolPolicy = (settings: PolicySettings): PoolPolicy => {
	const histories = new Map<PoolName, PoolHistory>();
	let lastTick: number | undefined;

	const updateHistory = (load: PoolLoad, now: number, elapsed: number): PoolHistory => {
		const history = histories.get(load.pool) ?? {
			averageDemand: load.busySlots, elapsed: 0, shortageSince: undefined, surplusSince: undefined,
		};
		histories.set(load.pool, history);
		updateAverage(history, load.busySlots, {elapsed, averagingMilliseconds: settings.averagingMilliseconds});
		const size = load.members.length + load.joining;
		const needed = history.averageDemand / (load.slotsPerInstance * settings.targetUtilization);
		// One instance of difference between joining and leaving, so that no demand asks for both.
		history.shortageSince = updateSince(history.shortageSince, needed > size, now);
		history.surplusSince = updateSince(history.surplusSince, needed < size - 2 && size > Math.max(1, load.minimumInstances), now);
		return history;
	};

	const hasLasted = (since: number | undefined, hold: number, now: number) => since !== undefined && now - since >= hold;

	const decide = (load: PoolLoad, history: PoolHistory, available: InstanceId[], now: number): {move?: PoolMove; leavingInstance?: InstanceId} => {
		if (hasLasted(history.shortageSince, settings.joinDelayMilliseconds, now) && load.joining === 0) {
			const instance = available.shift();
			return instance === undefined ? {} : {move: {instance, destination: load.pool}};
		}

		return hasLasted(history.surplusSince, settings.leaveDelayMilliseconds, now) ? {leavingInstance: load.members[0]} : {};
	};

	return {
		tick({now, pools}) {
			const elapsed = lastTick === undefined ? 0 : now - lastTick;
			lastTick = now;
			const spare = pools.find(load => load.isSpare);
			const available = [...spare?.members ?? []].slice(0, Math.max(0, (spare?.members.length ?? 0) - (spare?.minimumInstances ?? 0)));
			const moves: PoolMove[] = [];
			for (const load of pools.filter(other => !other.isSpare)) {
				const {move, leavingInstance} = decide(load, updateHistory(load, now, elapsed), available, now);
				if (move) {
					moves.push(move);
				} else if (leavingInstance !== undefined && spare) {
					moves.push({instance: leavingInstance, destination: spare.pool});
				}
			}

			return moves;
		},
	};
};
