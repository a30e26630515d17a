/** The owner's figures of the load of full pools, computed on demand at a limited rate. */
import type {GetMovableCapacity, LoadFigures, Scheduler} from '@turmericbay/scheduler';
import type {Clock} from './ports.js';

/** The owner is short of processor time, and the decisions allow for figures of this age. */
export const figuresIntervalMilliseconds = 250;
/** The interval is at least this multiple of the time that the computation takes, so that figures take at most 2% of the owner's time. */
const intervalPerCost = 50;
/** Decisions need figures younger than 2 s. */
const longestIntervalMilliseconds = 1000;
/**
 * No figures after a takeover: workers that have not answered yet are missing from the capacity. Longer
 * than the lease on a worker (3.5 s), after which each has answered or is lost.
 */
const warmUpMilliseconds = 4000;

export type TimedFigures = {readonly figures: LoadFigures; readonly ageMilliseconds: number};

export const createOwnerLoadFigures = (options: {
	readonly scheduler: Scheduler;
	readonly clock: Clock;
	readonly tookOverAt: number;
	readonly getMovableCapacity: GetMovableCapacity;
}) => {
	const {scheduler, clock, tookOverAt, getMovableCapacity} = options;
	let newest: {readonly figures: LoadFigures; readonly at: number} | undefined;
	let interval = figuresIntervalMilliseconds;
	return {
		/** Undefined shortly after the takeover. */
		get(): TimedFigures | undefined {
			const now = clock.now();
			if (now - tookOverAt < warmUpMilliseconds) {
				return undefined;
			}

			if (!newest || now - newest.at >= interval) {
				newest = {figures: scheduler.computeLoadFigures(getMovableCapacity, now), at: now};
				interval = Math.min(longestIntervalMilliseconds, Math.max(figuresIntervalMilliseconds, intervalPerCost * (clock.now() - now)));
			}

			return {figures: newest.figures, ageMilliseconds: now - newest.at};
		},
	};
};
