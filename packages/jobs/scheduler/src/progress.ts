/** The progress of a job that a new owner needs and cannot get from the workers: finished tasks, failed runs, crashes and checkpoints. */
import type {JobRow} from './model.js';

export type OccurrenceProgress = {
	readonly occurrence: number;
	/** Indices of the finished tasks, by step. */
	readonly done: ReadonlyArray<readonly number[]>;
};

export type JobProgress = {
	readonly begun: boolean;
	readonly nextOccurrence: number;
	readonly finishedOccurrences: number;
	readonly openOccurrences: readonly OccurrenceProgress[];
	/** Numbers of the failed runs by task name. */
	readonly failures: Readonly<Record<string, readonly number[]>>;
	/** Numbers of the runs under which a worker has crashed, by task name; missing if there are none. */
	readonly crashes?: Readonly<Record<string, readonly number[]>>;
	readonly checkpoints: Readonly<Record<string, string>>;
};

export const captureProgress = (job: JobRow): JobProgress => {
	const failures: Record<string, readonly number[]> = {};
	const crashes: Record<string, readonly number[]> = {};
	const checkpoints: Record<string, string> = {};
	const openOccurrences: OccurrenceProgress[] = [];
	for (const [occurrence, steps] of job.occurrences) {
		const done: number[][] = [];
		for (const step of steps) {
			const doneIndices: number[] = [];
			for (const task of step.tasks) {
				if (task.done) {
					doneIndices.push(task.index);
					continue;
				}

				if (task.failedRuns.length > 0) {
					failures[task.name] = task.failedRuns;
				}

				if (task.crashedRuns.length > 0) {
					crashes[task.name] = task.crashedRuns;
				}

				if (task.checkpoint !== '') {
					checkpoints[task.name] = task.checkpoint;
				}
			}

			done.push(doneIndices);
		}

		openOccurrences.push({occurrence, done});
	}

	return {
		begun: job.begun, nextOccurrence: job.nextOccurrence, finishedOccurrences: job.finishedOccurrences,
		openOccurrences, failures, checkpoints, ...(Object.keys(crashes).length > 0 && {crashes}),
	};
};
