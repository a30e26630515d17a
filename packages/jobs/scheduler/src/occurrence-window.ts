/**
 * Bounds the open occurrences of a recurring job. The others wait as numbers until earlier ones have started or ended, so the memory
 * of the owner and the stored progress of the job do not grow with the number of occurrences that are due.
 */
import type {JobDeclaration, JobRow, StepRow} from './model.js';

/** Most steps and tasks that a job may have at a time. The tables take less than 1 KB for each. */
export const largestJobRows = 4096;
/** Occurrences that are open ahead of free capacity. Each tick reads all of them, and they are part of the stored progress. */
const maximumWaitingOccurrences = 32;

/** Steps and tasks of one occurrence. */
export const countOccurrenceRows = ({steps}: JobDeclaration): number => {
	let rows = 0;
	for (const {taskCount} of steps) {
		rows += 1 + taskCount;
	}

	return rows;
};

/** True if an occurrence never ends because one of its steps runs until the job is cancelled. */
export const isEndless = ({steps}: JobDeclaration): boolean => steps.some(step => step.longRunning);

/** False once a task of the occurrence has run. */
const isWaiting = (steps: readonly StepRow[]): boolean => steps.every(({waiting, declaration}) => waiting === declaration.taskCount);

/**
 * Number of further occurrences that may be opened now, if they are due; may be negative. The open ones have at most `maximumRows` steps and tasks,
 * except that one occurrence is always open.
 */
export const countOpenableOccurrences = (job: JobRow, maximumRows: number): number => {
	if (isEndless(job.declaration)) {
		// The end of an earlier occurrence cannot be waited for; the size of such a job is bounded when it is accepted.
		return Number.POSITIVE_INFINITY;
	}

	let waiting = 0;
	for (const steps of job.occurrences.values()) {
		waiting += isWaiting(steps) ? 1 : 0;
	}

	const maximumOpen = Math.max(1, Math.floor(maximumRows / countOccurrenceRows(job.declaration)));
	return Math.min(maximumOpen - job.occurrences.size, maximumWaitingOccurrences - waiting);
};
