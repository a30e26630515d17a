/**
 * Output of log lines, limited in lines and bytes per second. Lines are written
 * in batches without waiting for the reader. Lines over the limits are dropped
 * and counted by event; warnings and errors are dropped last.
 */
import {Buffer} from 'node:buffer';
import {LogEvent, logEvents, LogLevel} from './log-events.js';

/** In the largest deployment the job owner logs about 4,000 lines per second in a burst, at about 20 microseconds per line. */
const maximumLinesPerSecond = 1500;
const maximumBytesPerSecond = 600_000;
/** Share of the limits that information and debug lines may use; the rest is reserved for warnings and errors. */
const informationShare = 0.8;
/** Delay after which the collected lines are written together. */
const batchDelayMilliseconds = 100;
/** Bytes that may wait for a slow reader; further lines are dropped. */
const maximumUnwrittenBytes = 1_048_576;
const windowMilliseconds = 1000;

export type BoundedOutput = {
	/** Takes one line of an event, or drops it. */
	write(line: string, event: LogEvent | undefined): void;
	/** Removes and returns the lines that are not yet written, at the end of the process. */
	flush(): string;
};

export const createBoundedOutput = (options: {
	readonly now: () => number;
	/** Writes without blocking; calls `done` once the text has left the process. */
	readonly writeBatch: (text: string, done: () => void) => void;
	readonly schedule: (callback: () => void, milliseconds: number) => void;
	/** Reports the number of dropped lines of the last window by event name. */
	readonly onDropped: (counts: ReadonlyMap<string, number>) => void;
}): BoundedOutput => {
	const {now, writeBatch, schedule, onDropped} = options;
	let windowStartedAt = now();
	let linesInWindow = 0;
	let bytesInWindow = 0;
	let unwrittenBytes = 0;
	let batch: string[] = [];
	let isScheduled = false;
	let isWriting = false;
	let droppedCounts = new Map<string, number>();

	const startNextWindowWhenDue = (): void => {
		if (now() - windowStartedAt >= windowMilliseconds) {
			windowStartedAt = now();
			linesInWindow = 0;
			bytesInWindow = 0;
			if (droppedCounts.size > 0) {
				const counts = droppedCounts;
				droppedCounts = new Map();
				onDropped(counts);
			}
		}
	};

	const writePending = (): void => {
		isScheduled = false;
		startNextWindowWhenDue();
		// One batch at a time, so that a slow reader gets the lines in order.
		if (batch.length > 0 && !isWriting) {
			const text = batch.join('');
			const size = Buffer.byteLength(text);
			batch = [];
			isWriting = true;
			writeBatch(text, () => {
				isWriting = false;
				unwrittenBytes -= size;
				if (batch.length > 0) {
					requestWrite();
				}
			});
		}

		if (droppedCounts.size > 0) {
			requestWrite();
		}
	};

	const requestWrite = (): void => {
		if (!isScheduled) {
			isScheduled = true;
			schedule(writePending, batchDelayMilliseconds);
		}
	};

	return {
		write(line, event) {
			startNextWindowWhenDue();
			const level = event === undefined ? LogLevel.Error : logEvents[event].level;
			const share = level >= LogLevel.Warning ? 1 : informationShare;
			const text = `${line}\n`;
			const size = Buffer.byteLength(text);
			const isWithinLimits = linesInWindow < maximumLinesPerSecond * share && bytesInWindow + size <= maximumBytesPerSecond * share && unwrittenBytes + size <= maximumUnwrittenBytes;
			if (isWithinLimits) {
				linesInWindow += 1;
				bytesInWindow += size;
				unwrittenBytes += size;
				batch.push(text);
			} else {
				const name = event === undefined ? 'unknown' : (LogEvent[event] ?? 'unknown');
				droppedCounts.set(name, (droppedCounts.get(name) ?? 0) + 1);
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
