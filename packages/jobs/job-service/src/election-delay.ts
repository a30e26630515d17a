/** Delay before an instance tries to become the owner, once there is none. */

/** Longest delay of an instance with one core: twice the time in which all instances see that the owner is gone. */
const singleCoreDelayMilliseconds = 60;

/**
 * The owner does most of the work, so larger instances try first: the delay ranges of an instance
 * and of one with at least twice its cores do not overlap. The delay is random within the range,
 * so that instances of the same size do not all write at once.
 */
export const chooseElectionDelay = (options: {
	/** Processor cores that this process may use; may be a fraction. */
	readonly cores: number;
	readonly random: () => number;
}): number => singleCoreDelayMilliseconds / options.cores * (0.5 + (0.5 * options.random()));
