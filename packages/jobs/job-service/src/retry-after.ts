/** The Retry-After value of rejected requests, in whole seconds as HTTP defines it. */

const shortestSeconds = 1;
const longestSeconds = 5;

/**
 * Callers retry only a few times, so the delay has to grow with the outage for them to outlast it.
 * Chooses 0.5 to 1.5 times the age of the outage: an outage tends to last about as long again, and
 * the random part spreads the retries of callers that were rejected at the same time.
 */
export const chooseRetryAfterSeconds = (options: {readonly outageMilliseconds: number; readonly random: () => number}): number => {
	const {outageMilliseconds, random} = options;
	const seconds = Math.round(outageMilliseconds / 1000 * (0.5 + random()));
	return Math.min(longestSeconds, Math.max(shortestSeconds, seconds));
};
