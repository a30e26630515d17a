/** When the store had reached which revision, on the steady clock of this instance; tells the age of a stored entry without comparing clocks. */

/** Older samples say nothing that anyone asks for. */
const retentionMilliseconds = 10_000;

export type RevisionTimes = ReturnType<typeof createRevisionTimes>;

export const createRevisionTimes = () => {
	/** In ascending order of both. */
	const samples: Array<{readonly revision: number; readonly by: number}> = [];
	return {
		/** An answer that came at `now` named the store's revision. */
		record(revision: number, now: number): void {
			if (revision > (samples.at(-1)?.revision ?? 0)) {
				samples.push({revision, by: now});
			}

			while (samples.length > 1 && samples[1]!.by < now - retentionMilliseconds) {
				samples.shift();
			}
		},
		/** A time by which the revision had been reached; undefined if no answer has shown it yet. */
		reachedBy: (revision: number): number | undefined => samples.find(sample => sample.revision >= revision)?.by,
	};
};
