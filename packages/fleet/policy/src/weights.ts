/** Settings of the policies that follow from the weights of the four measures in the document. */
import type {ConfigurationDocument} from '@turmericbay/document';

export type PolicyWeights = ConfigurationDocument['policy']['weights'];

export type PolicySettings = {
	/** Planned use of a pool's slots at its average demand; higher holds fewer instances. */
	readonly targetUtilization: number;
	/** Time over which demand is averaged; much longer than a burst of a few seconds and the quiet time around it. */
	readonly averagingMilliseconds: number;
	/** How long a pool's need has to last before an instance joins or leaves it. */
	readonly joinDelayMilliseconds: number;
	readonly leaveDelayMilliseconds: number;
	/** Part of the zones in maintenance at the same time. */
	readonly zonesAtOnceFraction: number;
	/** Probability that one job goes beyond its reservation. */
	readonly overrunProbability: number;
};

/** Each weight as a part of the sum; equal parts if all are 0. */
const normalizeWeights = (weights: PolicyWeights): PolicyWeights => {
	const sum = weights.bufferCost + weights.rollOutTime + weights.moves + weights.shareNearness;
	return sum === 0
		? {
			bufferCost: 0.25, rollOutTime: 0.25, moves: 0.25, shareNearness: 0.25,
		}
		: {
			bufferCost: weights.bufferCost / sum, rollOutTime: weights.rollOutTime / sum, moves: weights.moves / sum, shareNearness: weights.shareNearness / sum,
		};
};

export const deriveSettings = (weights: PolicyWeights): PolicySettings => {
	const {
		bufferCost, rollOutTime, moves, shareNearness,
	} = normalizeWeights(weights);
	return {
		targetUtilization: Math.min(0.9, 0.66 + (0.3 * bufferCost)),
		averagingMilliseconds: 180_000 + (900_000 * moves),
		joinDelayMilliseconds: 30_000 + (240_000 * moves),
		leaveDelayMilliseconds: 120_000 + (1_200_000 * moves),
		zonesAtOnceFraction: Math.min(1, 2 * rollOutTime),
		overrunProbability: Math.min(0.1, 0.02 + (0.12 * (bufferCost + shareNearness))),
	};
};
