/**
 * Where log lines go: a bounded number of lines and bytes a second, written in
 * batches without waiting for the reader. Lines beyond are dropped and counted
 * by event; what tells of failures is dropped last.
 */
import {Buffer} from 'node:buffer';
import {LogEvent, logEvents, LogLevel} from './log-events.js';

/** The owner of the largest deployment logs about 4,000 lines a second in a burst; a line takes some 20 microseconds. */
const linesPerSecond = 1500;
const bytesPerSecond = 600_000;
/** Part of the budget that information and debug lines may use; the rest is kept for warnings and errors. */
const informationShare = 0.8;
/** Lines are written together after this time. */
const batchMilliseconds = 100;
/** Bytes that wait for a slow reader; further lines are dropped. */
const pendingBytes = 1_048_576;
const windowMilliseconds = 1000;

export type BoundedOutput = {
	/** Takes one line of an event, or drops it. */
	write(line: string, event: LogEvent | undefined): void;
	/** Writes what waits, at the end of the process. */
	flush(): string;
};

export const createBoundedOutput = (options: {
	readonly now: () => number;
	/** Writes without blocking; calls back once the text has left the process. */
	readonly writeBatch: (text: string, done: () => void) => void;
	readonly schedule: (callback: () => void, milliseconds: number) => void;
	/** Reports what was dropped in the last second, by name of the event. */
	readonly onDropped: (counts: ReadonlyMap<string, number>) => void;
}): BoundedOutput => {
	const {now, writeBatch, schedule, onDropped} = options;
	let windowBegan = now();
	let lines = 0;
	let bytes = 0;
	let unwritten = 0;
	let batch: string[] = [];
	let isScheduled = false;
	let isWriting = false;
	let dropped = new Map<string, number>();

	const turnWindow = (): void => {
		if (now() - windowBegan >= windowMilliseconds) {
			windowBegan = now();
			lines = 0;
			bytes = 0;
			if (dropped.size > 0) {
				const counts = dropped;
				dropped = new Map();
				onDropped(counts);
			}
		}
	};

	const writePending = (): void => {
		isScheduled = false;
		turnWindow();
		// One batch at a time, so that a slow reader gets the lines in order.
		if (batch.length > 0 && !isWriting) {
			const text = batch.join('');
			const size = Buffer.byteLength(text);
			batch = [];
			isWriting = true;
			writeBatch(text, () => {
				isWriting = false;
				unwritten -= size;
				if (batch.length > 0) {
					requestWrite();
				}
			});
		}

		if (dropped.size > 0) {
			requestWrite();
		}
	};

	const requestWrite = (): void => {
		if (!isScheduled) {
			isScheduled = true;
			schedule(writePending, batchMilliseconds);
		}
	};

	return {
		write(line, event) {
			turnWindow();
			const level = event === undefined ? LogLevel.Error : logEvents[event].level;
			const share = level >= LogLevel.Warning ? 1 : informationShare;
			const text = `${line}\n`;
			const size = Buffer.byteLength(text);
			const isWithin = lines < linesPerSecond * share && bytes + size <= bytesPerSecond * share && unwritten + size <= pendingBytes;
			if (isWithin) {
				lines += 1;
				bytes += size;
				unwritten += size;
				batch.push(text);
			} else {
				const name = event === undefined ? 'unknown' : (LogEvent[event] ?? 'unknown');
				dropped.set(name, (dropped.get(name) ?? 0) + 1);
			}

			requestWrite();
		},
		flush() {
			const text = batch.join('');
			batch = [];
			return text;
		},
	};
};
