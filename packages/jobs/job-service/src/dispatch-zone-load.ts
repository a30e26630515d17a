/** Rate of worker calls in each zone. Rises at once and falls slowly, so that a pause between bursts closes no connections. */

/** Part of the rate that remains after a review with a lower rate; about a minute passes until a tenth of a burst remains. */
const decayPerReview = 0.96;

export const createZoneLoad = () => {
	const zones = new Map<string, {calls: number; rate: number}>();
	return {
		recordCall(zone: string): void {
			const load = zones.get(zone);
			if (load) {
				load.calls += 1;
			} else {
				zones.set(zone, {calls: 1, rate: 0});
			}
		},
		/** Called about once a second. */
		review(elapsedMilliseconds: number): void {
			for (const load of zones.values()) {
				load.rate = Math.max(load.calls * 1000 / elapsedMilliseconds, load.rate * decayPerReview);
				load.calls = 0;
			}
		},
		callsPerSecond: (zone: string): number => zones.get(zone)?.rate ?? 0,
	};
};
