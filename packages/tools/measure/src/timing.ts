/** Measures the CPU time of ticks and the heap in use. */
import process from 'node:process';
import {build} from 'hdr-histogram-js';

export type TickTimes = {
	measure<Value>(run: () => Value): Value;
	summarize(): {medianMicroseconds: number; p99Microseconds: number; maximumMicroseconds: number; ticks: number};
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
		summarize: () => ({
			medianMicroseconds: histogram.getValueAtPercentile(50),
			p99Microseconds: histogram.getValueAtPercentile(99),
			maximumMicroseconds: histogram.maxValue,
			ticks: histogram.totalCount,
		}),
	};
};

export const readHeapMegabytes = (): number => process.memoryUsage().heapUsed / 1_048_576;
