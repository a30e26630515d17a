/** When a refused caller should come back. */

/** HTTP gives whole seconds; callers try a few times, so the pauses grow with the outage to outlast it. */
const shortestSeconds = 1;
const longestSeconds = 5;

/**
 * An outage that has lasted for some time tends to last as long again, and callers that were refused
 * together must not return together: the pause is half to one and a half times the age of the outage.
 */
export const chooseRetryAfterSeconds = (options: {readonly outageMilliseconds: number; readonly random: () => number}): number => {
	const {outageMilliseconds, random} = options;
	const seconds = Math.round(outageMilliseconds / 1000 * (0.5 + random()));
	return Math.min(longestSeconds, Math.max(shortestSeconds, seconds));
};
