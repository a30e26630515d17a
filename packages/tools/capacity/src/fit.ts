/** Least-squares fit of a line. */
export type Point = {readonly x: number; readonly y: number};

export type Line = {readonly intercept: number; readonly slope: number; readonly rSquared: number};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

export const fitLine = (points: readonly Point[]): Line => {
	const meanX = mean(points.map(({x}) => x));
	const meanY = mean(points.map(({y}) => y));
	const covariance = points.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0);
	const varianceX = points.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const varianceY = points.reduce((sum, {y}) => sum + ((y - meanY) ** 2), 0);
	const slope = varianceX === 0 ? 0 : covariance / varianceX;
	return {
		slope,
		intercept: meanY - (slope * meanX),
		rSquared: varianceX === 0 || varianceY === 0 ? 1 : (covariance ** 2) / (varianceX * varianceY),
	};
};

export const evaluateLine = ({intercept, slope}: Line, x: number): number => intercept + (slope * x);
