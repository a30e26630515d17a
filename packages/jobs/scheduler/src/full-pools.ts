/** Reports which pools are full, and how their capacity is divided between the workspaces. */
import type {WorkspaceShare} from './fair-order.js';

/** Shorter shortages are part of any burst and are not reported. */
const reportAfterMilliseconds = 1000;
const measureIntervalMilliseconds = 1000;
/** Bounds the log volume when many pools become full together; the others are reported at the following ticks. */
const maximumReportsPerTick = 10;
/** Bounds the number of metric series. */
const maximumWorkspaces = 50;

export type FullPoolEvent
	/** More tasks could start than fit. `milliseconds` is the time since then, `workspaces` the number of those with tasks or runs in the pool. */
	= | {readonly type: 'pool-full'; readonly pool: string; readonly milliseconds: number; readonly workspaces: number}
		/** All tasks that could start fit again. */
		| {readonly type: 'pool-relieved'; readonly pool: string; readonly milliseconds: number}
		/** For metrics. The workspaces with the largest usage of a full pool. */
		| {readonly type: 'pools-measured'; readonly fullPools: number; readonly workspaces: ReadonlyArray<WorkspaceShare & {readonly pool: string}>};

type FullPool = {readonly since: number; seenAt: number; isReported: boolean; measureShares: () => readonly WorkspaceShare[]};

export const createFullPoolMonitor = (emit: (event: FullPoolEvent) => void) => {
	const fullPools = new Map<string, FullPool>();
	let measuredAt = Number.NEGATIVE_INFINITY;
	let wasFull = false;

	const removeRelieved = (now: number): void => {
		for (const [pool, {since, seenAt, isReported}] of fullPools) {
			if (seenAt !== now) {
				fullPools.delete(pool);
				if (isReported) {
					emit({type: 'pool-relieved', pool, milliseconds: Math.round(now - since)});
				}
			}
		}
	};

	const reportFull = (now: number): void => {
		let reports = 0;
		for (const [pool, entry] of fullPools) {
			if (!entry.isReported && now - entry.since >= reportAfterMilliseconds && reports < maximumReportsPerTick) {
				entry.isReported = true;
				reports += 1;
				emit({
					type: 'pool-full', pool, milliseconds: Math.round(now - entry.since), workspaces: entry.measureShares().length,
				});
			}
		}
	};

	const measure = (now: number): void => {
		if (now - measuredAt < measureIntervalMilliseconds || (fullPools.size === 0 && !wasFull)) {
			return;
		}

		measuredAt = now;
		wasFull = fullPools.size > 0;
		const workspaces = [...fullPools].flatMap(([pool, {measureShares}]) => measureShares().map(share => ({...share, pool})));
		emit({type: 'pools-measured', fullPools: fullPools.size, workspaces: workspaces.toSorted((left, right) => right.usage - left.usage).slice(0, maximumWorkspaces)});
	};

	return {
		/** Called at each tick for each pool with tasks that could start. */
		record(pool: string, {isFull, measureShares}: {readonly isFull: boolean; readonly measureShares: () => readonly WorkspaceShare[]}, now: number): void {
			if (!isFull) {
				return;
			}

			const entry = fullPools.get(pool) ?? {
				since: now, seenAt: now, isReported: false, measureShares,
			};
			entry.seenAt = now;
			entry.measureShares = measureShares;
			fullPools.set(pool, entry);
		},
		/** Called after all pools of the tick. */
		check(now: number): void {
			removeRelieved(now);
			reportFull(now);
			measure(now);
		},
	};
};
