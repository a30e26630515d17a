/** When an instance tries to become the owner, after the ownership has become free. */

/** Pause of an instance with one whole core. Twice the time in which all instances see the change. */
const singleCoreDelayMilliseconds = 60;

/**
 * The owner does most of the work, so larger instances try first: the ranges of an instance and
 * of one with twice its share of a core do not overlap. Within its range each draws its own
 * pause, so that not all write at once.
 */
export const chooseElectionDelay = (options: {
	/** Cores that this process may use. */
	readonly cores: number;
	readonly random: () => number;
}): number => singleCoreDelayMilliseconds / options.cores * (0.5 + (0.5 * options.random()));
