/**
 * Circuit breaker for calls to the owner. An owner that is short of processor time answers after
 * the callers have given up, and each further call takes time from scheduling; the store answers
 * the same questions meanwhile.
 */

/** A single lost response does not open the breaker. */
const failureThreshold = 2;
const firstPauseMilliseconds = 250;
const longestPauseMilliseconds = 2000;

export type OwnerBreaker = ReturnType<typeof createOwnerBreaker>;

export const createOwnerBreaker = (options: {readonly now: () => number}) => {
	const {now} = options;
	let address: string | undefined;
	let failures = 0;
	let pausedUntil = Number.NEGATIVE_INFINITY;

	const computePause = (): number => Math.min(longestPauseMilliseconds, firstPauseMilliseconds * (2 ** (failures - failureThreshold)));

	return {
		/** Returns false while calls to this owner are paused. After the pause one call is let through as a trial. */
		tryAcquire(ownerAddress: string): boolean {
			if (ownerAddress !== address) {
				address = ownerAddress;
				failures = 0;
				pausedUntil = Number.NEGATIVE_INFINITY;
			}

			if (now() < pausedUntil) {
				return false;
			}

			if (failures >= failureThreshold) {
				pausedUntil = now() + computePause();
			}

			return true;
		},
		/** Records whether the owner has responded in time to a call. */
		record(ownerAddress: string, isAnswered: boolean): void {
			if (ownerAddress !== address) {
				return;
			}

			failures = isAnswered ? 0 : failures + 1;
			if (isAnswered) {
				pausedUntil = Number.NEGATIVE_INFINITY;
			} else if (failures >= failureThreshold) {
				pausedUntil = now() + computePause();
			}
		},
	};
};
