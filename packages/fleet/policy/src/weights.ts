/** Derives the settings of the policies from the four weights in the configuration document. */
import type {ConfigurationDocument} from '@turmericbay/document';

export type PolicyWeights = ConfigurationDocument['policy']['weights'];

export type PolicySettings = {
	/** Fraction of a pool's slots in use at its average demand; a higher value needs fewer instances. */
	readonly targetUtilization: number;
	/** Averaging time of the demand; much longer than a burst of a few seconds and the idle time around it. */
	readonly averagingMilliseconds: number;
	/** How long a shortage or a surplus has to last before an instance joins or leaves the pool. */
	readonly joinDelayMilliseconds: number;
	readonly leaveDelayMilliseconds: number;
	/** Fraction of the availability zones that may be in maintenance at the same time. */
	readonly zonesAtOnceFraction: number;
	/** Probability that a job exceeds its reservation. */
	readonly overrunProbability: number;
};

/** Scales the weights to a sum of 1; all are equal if the sum is 0. */
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

/**
 * Derives each setting linearly from the normalized weights: the first number
 * applies at weight 0, the sum of both at weight 1, up to the given maximum.
 */
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
