/** Processor time of ticks, in microseconds, and the growth of the heap. */
import process from 'node:process';
import {build} from 'hdr-histogram-js';

export type TickTimes = {
	measure<Value>(run: () => Value): Value;
	summary(): {medianMicroseconds: number; p99Microseconds: number; maximumMicroseconds: number; ticks: number};
};

export const createTickTimes = (): TickTimes => {
	const histogram = build({highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 2, bitBucketSize: 32});
	return {
		measure(run) {
			const before = process.cpuUsage();
			const value = run();
			const {user, system} = process.cpuUsage(before);
			histogram.recordValue(Math.max(1, user + system));
			return value;
		},
		summary: () => ({
			medianMicroseconds: histogram.getValueAtPercentile(50),
			p99Microseconds: histogram.getValueAtPercentile(99),
			maximumMicroseconds: histogram.maxValue,
			ticks: histogram.totalCount,
		}),
	};
};

export const heapMegabytes = (): number => process.memoryUsage().heapUsed / 1_048_576;
