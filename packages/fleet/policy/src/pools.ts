/**
 * Moves instances between the spare pool and the other pools. The size of a
 * pool follows its average demand over a time much longer than a burst, and a
 * shortage or surplus has to last, so that short bursts cause no moves.
 */
import type {InstanceId, PoolName} from '@turmericbay/types';
import type {PolicySettings} from './weights.js';

export type PoolLoad = {
	readonly pool: PoolName;
	readonly isSpare: boolean;
	/** Instances that can leave the pool, in the preferred order. */
	readonly members: readonly InstanceId[];
	readonly minimumInstances: number;
	readonly slotsPerInstance: number;
	/**
	 * Running requests over all entry instances. Their average is the offered
	 * load; including queued requests would count the load of a burst twice.
	 */
	readonly busySlots: number;
	/** Number of instances that are being moved to the pool. */
	readonly joining: number;
};

export type PoolMove = {readonly instance: InstanceId; readonly destination: PoolName};

type PoolHistory = {averageDemand: number; elapsed: number; shortageSince: number | undefined; surplusSince: number | undefined};

export type PoolPolicy = {
	/** Returns the moves to make now; a move is returned again until the members reflect it. */
	tick(options: {now: number; pools: readonly PoolLoad[]}): PoolMove[];
};

const updateAverage = (history: PoolHistory, demand: number, {elapsed, averagingMilliseconds}: {elapsed: number; averagingMilliseconds: number}) => {
	history.elapsed += elapsed;
	// Uses the arithmetic mean until the averaging time has passed, so that the first observed demand has no lasting effect.
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
		// An instance leaves only if the surplus is more than two: more than one of them remains after the move, so that the same demand does not cause a join again.
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
