/** Seeded random distributions for generated inputs. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export type Random = {
	/** In [0, 1). */
	uniform(): number;
	/** In [low, high). */
	uniformBetween(low: number, high: number): number;
	/** Integer in [0, count). */
	uniformInteger(count: number): number;
	exponential(mean: number): number;
	/** Lognormal with the given median and the standard deviation of its logarithm. */
	lognormal(median: number, sigma: number): number;
	poisson(mean: number): number;
};

export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const uniform = () => uniformFloat64(generator);
	const normal = () => Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform());
	const exponential = (mean: number) => -mean * Math.log(1 - uniform());
	return {
		uniform,
		exponential,
		uniformBetween: (low, high) => low + ((high - low) * uniform()),
		uniformInteger: count => Math.floor(count * uniform()),
		lognormal: (median, sigma) => median * Math.exp(sigma * normal()),
		poisson(mean) {
			let count = 0;
			for (let elapsed = exponential(1); elapsed < mean; elapsed += exponential(1)) {
				count++;
			}

			return count;
		},
	};
};
