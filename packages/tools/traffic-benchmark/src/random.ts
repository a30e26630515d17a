/** Seeded random numbers and distributions. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomSource} from '@turmericbay/types';

export const createRandom = (seed: number): RandomSource => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

/** Exponentially distributed number of ticks, rounded, at least one. */
export const drawExponentialTicks = (random: RandomSource, mean: number): number =>
	Math.max(1, Math.round(-mean * Math.log(1 - random())));

/** Number of arrivals in one tick, by Knuth's method, which is fast enough for means below 10. */
export const drawPoisson = (random: RandomSource, mean: number): number => {
	const bound = Math.exp(-mean);
	let count = 0;
	for (let product = random(); product > bound; product *= random()) {
		count++;
	}

	return count;
};
