/**
 * Which jobs are small enough to be accepted. The owner holds the tasks of a job in memory and stores its progress in one value, so a
 * job that outgrew either would take the others with it.
 */
import {Buffer} from 'node:buffer';
import type {JobDeclaration} from '@turmericbay/scheduler';
import {countOccurrenceRows, isEndless, largestJobRows} from '@turmericbay/scheduler';

/** Bytes that the stored progress may need for a task: failed runs, crashes and a checkpoint, each under the name of the task. */
const progressBytesPerRow = 256;

export enum SizeCause {
	/** Too many steps and tasks. */
	Tasks = 'too-many-tasks',
	/** The declaration is larger than a value in the store may be. */
	Record = 'record-too-large',
}

/** `size` and `limit` are steps and tasks, or bytes. */
export type SizeRefusal = {readonly type: 'too-large'; readonly cause: SizeCause; readonly size: number; readonly limit: number};

/** Most steps and tasks that a job may have at a time, so that its progress fits into a value of the store. */
export const computeMaximumRows = (maximumValueBytes: number): number => Math.min(largestJobRows, Math.floor(maximumValueBytes / progressBytesPerRow));

/** Undefined if the job may be accepted. */
export const checkJobSize = (declaration: JobDeclaration, maximumValueBytes: number): SizeRefusal | undefined => {
	// All occurrences with a step that never ends are open at the same time.
	const openAtOnce = isEndless(declaration) ? Math.max(1, declaration.repetitions) : 1;
	const rows = openAtOnce * countOccurrenceRows(declaration);
	const maximumRows = computeMaximumRows(maximumValueBytes);
	if (rows > maximumRows) {
		return {
			type: 'too-large', cause: SizeCause.Tasks, size: rows, limit: maximumRows,
		};
	}

	const bytes = Buffer.byteLength(JSON.stringify(declaration));
	return bytes > maximumValueBytes
		? {
			type: 'too-large', cause: SizeCause.Record, size: bytes, limit: maximumValueBytes,
		}
		: undefined;
};
