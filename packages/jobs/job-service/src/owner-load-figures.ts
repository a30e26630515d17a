/** The owner's figures of the load of full pools, computed on demand at a limited rate. */
import type {GetMovableCapacity, LoadFigures, Scheduler} from '@turmericbay/scheduler';
import type {Clock} from './ports.js';

/** The owner is short of processor time, and the decisions allow for figures of this age. */
export const figuresIntervalMilliseconds = 250;
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
	return {
		/** Undefined shortly after the takeover. */
		get(): TimedFigures | undefined {
			const now = clock.now();
			if (now - tookOverAt < warmUpMilliseconds) {
				return undefined;
			}

			if (!newest || now - newest.at >= figuresIntervalMilliseconds) {
				newest = {figures: scheduler.computeLoadFigures(getMovableCapacity, now), at: now};
			}

			return {figures: newest.figures, ageMilliseconds: now - newest.at};
		},
	};
};
