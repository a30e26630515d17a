/**
 * Bounds the calls of one holder on the store, whatever the number of requests,
 * teams and shards. All holders together stay under 200 calls a second, which
 * leaves most of the platform's rates to others.
 */
const callsPerSecondOfAll = 200;
const burst = 16;

export const createCallBudget = () => {
	let sharers = 1;
	let tokens = burst;
	let filledAt: number | undefined;
	return {
		setSharers(count: number) {
			sharers = count;
		},
		allows(now: number) {
			const elapsed = now - (filledAt ?? now);
			filledAt = now;
			tokens = Math.min(burst, tokens + (elapsed * callsPerSecondOfAll / sharers / 1000));
			return tokens >= 1;
		},
		spend() {
			tokens -= 1;
		},
	};
};
