/**
 * Time and randomness as inputs, so that decisions can be tested without a real
 * clock or a global random source.
 */

export type Clock = {
	/** Milliseconds on a clock that never goes back; only differences are meaningful. */
	monotonicMilliseconds(): number;

	/** Milliseconds since the Unix epoch. */
	wallMilliseconds(): number;
};

/** Returns a number in [0, 1). */
export type RandomSource = () => number;

export const millisecondsPerSecond = 1000;

/** Clock of the running process. */
export const createSystemClock = (): Clock => ({
	monotonicMilliseconds: () => performance.now(),
	wallMilliseconds: () => Date.now(),
});

export type ManualClock = {
	advance(milliseconds: number): void;
} & Clock;

/** Clock for tests; both readings move together and only when `advance` is called. */
export const createManualClock = (options: {startWallMilliseconds?: number} = {}): ManualClock => {
	let elapsed = 0;
	const start = options.startWallMilliseconds ?? 1_750_000_000_000;
	return {
		monotonicMilliseconds: () => elapsed,
		wallMilliseconds: () => start + elapsed,
		advance(milliseconds) {
			elapsed += milliseconds;
		},
	};
};
