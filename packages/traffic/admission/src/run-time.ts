/** Estimates the run time of requests from a smoothed mean and deviation, as RFC 6298 does for round-trip times. */

const meanSmoothingFactor = 0.05;
const deviationSmoothingFactor = 0.1;

/** With 3 mean deviations above the mean, 19 of 20 exponentially distributed run times are shorter than the estimate. */
const deviationMultiplier = 3;

export type RunTimeEstimate = {
	readonly meanMilliseconds: number;
	/** Most runs are shorter than this. */
	readonly likelyMaximumMilliseconds: number;
};

export type RunTimeEstimator = {
	record(milliseconds: number): void;
	/** Undefined before the first run. */
	estimate(): RunTimeEstimate | undefined;
};

export const createRunTimeEstimator = (): RunTimeEstimator => {
	let mean: number | undefined;
	let deviation = 0;
	return {
		record(milliseconds) {
			const difference = milliseconds - (mean ?? milliseconds);
			deviation += (Math.abs(difference) - deviation) * deviationSmoothingFactor;
			mean = (mean ?? milliseconds) + (difference * meanSmoothingFactor);
		},
		estimate: () => mean === undefined
			? undefined
			: {meanMilliseconds: mean, likelyMaximumMilliseconds: mean + (deviationMultiplier * deviation)},
	};
};
