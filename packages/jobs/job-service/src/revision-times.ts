/**
 * Samples of the store's revision on the monotonic clock of this instance. They give the age of a
 * stored entry without comparing the clocks of different machines.
 */

/** Has to exceed the cooldown of the machine order guard (3.5 s): a revision older than all samples is taken for as recent as the oldest sample. */
const retentionMilliseconds = 10_000;

export type RevisionTimes = ReturnType<typeof createRevisionTimes>;

export const createRevisionTimes = () => {
	/** In ascending order of both fields. */
	const samples: Array<{readonly revision: number; readonly at: number}> = [];
	return {
		/** Records that a response received at `now` carried this store revision. */
		record(revision: number, now: number): void {
			if (revision > (samples.at(-1)?.revision ?? 0)) {
				samples.push({revision, at: now});
			}

			while (samples.length > 1 && samples[1]!.at < now - retentionMilliseconds) {
				samples.shift();
			}
		},
		/** A time by which the store had reached the revision; undefined if no response has shown it yet. */
		getReachedTime: (revision: number): number | undefined => samples.find(sample => sample.revision >= revision)?.at,
	};
};
