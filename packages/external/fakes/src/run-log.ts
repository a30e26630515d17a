/** Records the requests that an upstream ran, so that tests can detect duplicate runs and exceeded limits. */
import process from 'node:process';

export type RunRecord = {
	readonly requestId: string;
	readonly idempotencyKey: string;
	/** Set by the caller (query parameter `label`), for instance the team. */
	readonly label: string;
	/** Milliseconds on the monotonic clock, which all processes of a machine share. */
	readonly startedAt: number;
	/** Undefined while the request runs. */
	endedAt?: number;
};

export type RunCounts = {
	readonly byIdempotencyKey: Readonly<Record<string, number>>;
	readonly byRequestId: Readonly<Record<string, number>>;
};

export type RunLog = {
	start(run: {readonly requestId: string; readonly idempotencyKey: string; readonly label: string}): RunRecord;
	end(run: RunRecord): void;
	records(): readonly RunRecord[];
	counts(): RunCounts;
	running(): number;
	maximumRunning(): number;
	reset(): void;
};

const nanosecondsPerMicrosecond = 1000n;
const microsecondsPerMillisecond = 1000;

/** Milliseconds on CLOCK_MONOTONIC, comparable between processes of one machine. */
export const readMonotonicClock = (): number => Number(process.hrtime.bigint() / nanosecondsPerMicrosecond) / microsecondsPerMillisecond;

const countBy = (records: readonly RunRecord[], name: 'idempotencyKey' | 'requestId'): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const record of records) {
		if (record[name] !== '') {
			counts[record[name]] = (counts[record[name]] ?? 0) + 1;
		}
	}

	return counts;
};

/** `onStart` is called before the run begins, so that the run can be recorded even if the process is killed. */
export const createRunLog = (options: {readonly onStart?: (run: RunRecord) => void} = {}): RunLog => {
	let records: RunRecord[] = [];
	let running = 0;
	let maximumRunning = 0;
	return {
		start(run) {
			const record = {...run, startedAt: readMonotonicClock()};
			options.onStart?.(record);
			records.push(record);
			running++;
			maximumRunning = Math.max(maximumRunning, running);
			return record;
		},
		end(run) {
			run.endedAt = readMonotonicClock();
			running--;
		},
		records: () => records,
		counts: () => ({byIdempotencyKey: countBy(records, 'idempotencyKey'), byRequestId: countBy(records, 'requestId')}),
		running: () => running,
		maximumRunning: () => maximumRunning,
		reset() {
			records = [];
			maximumRunning = running;
		},
	};
};
