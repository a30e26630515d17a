/**
 * Token bucket that limits the store calls of one holder, independent of the
 * number of requests, teams and shards. The limit for all holders together leaves
 * most of the platform's rate to other users: it takes about two thousand reads
 * and several hundred writes a second in all.
 */
const totalCallsPerSecond = 200;
const burstCalls = 16;

export const createCallRateLimiter = () => {
	let holderCount = 1;
	let tokens = burstCalls;
	let refilledAt: number | undefined;
	return {
		setHolderCount(count: number) {
			holderCount = count;
		},
		hasToken(now: number) {
			const elapsed = now - (refilledAt ?? now);
			refilledAt = now;
			tokens = Math.min(burstCalls, tokens + (elapsed * totalCallsPerSecond / holderCount / 1000));
			return tokens >= 1;
		},
		takeToken() {
			tokens -= 1;
		},
	};
};
