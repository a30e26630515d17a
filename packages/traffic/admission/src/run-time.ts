/** Smoothed run time and its deviation, in the manner of RFC 6298. */

const meanSmoothingFactor = 0.05;
const deviationSmoothingFactor = 0.1;

/** Deviations above the mean; 19 of 20 exponentially distributed run times are shorter. */
const deviationMultiplier = 3;

export type RunTimeEstimate = {
	readonly meanMilliseconds: number;
	/** Most runs take no longer. */
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
