/** Seeded random numbers and identifiers. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomSource} from '@turmericbay/types';

export const createSeededRandom = (seed: number): RandomSource => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

const createRandomHex = (random: RandomSource, digits: number): string =>
	Array.from({length: digits}, () => Math.floor(random() * 16).toString(16)).join('');

const timeDigits = 12;
const variantDigits = ['8', '9', 'a', 'b'];

/** UUIDv7 (RFC 9562, section 5.7); idempotency keys need one, since it holds the time of its creation. */
export const createUuidV7 = ({wallMilliseconds, random}: {readonly wallMilliseconds: number; readonly random: RandomSource}): string => {
	const time = wallMilliseconds.toString(16).padStart(timeDigits, '0');
	const variant = variantDigits[Math.floor(random() * variantDigits.length)];
	return `${time.slice(0, 8)}-${time.slice(8)}-7${createRandomHex(random, 3)}-${variant}${createRandomHex(random, 3)}-${createRandomHex(random, 12)}`;
};
