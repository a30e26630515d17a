/**
 * Write-ahead records of runs: the worker and run are stored before a start is sent, so that the
 * next owner knows what may be executing and where. All starts that are decided together share
 * one record, a segment, so the number of writes does not grow with the number of workers.
 */
import type {RunRow} from '@turmericbay/scheduler';
import {formatRunKey} from '@turmericbay/scheduler';
import type {StoredEntry} from '@turmericbay/types';
import type {CommitQueue} from './commit-queue.js';
import type {RecordedWorker, RunSegment} from './records.js';
import {parseRunSegment, runPrefix} from './records.js';

/** Interval of the check for segments to delete or to merge. */
const sweepMilliseconds = 500;
/** Segments older than this are merged into a new one, so that a long run does not keep a segment of its own. */
const rewriteAfterMilliseconds = 4000;

type Segment = {readonly key: string; readonly storedAt: number; rows: readonly RunRow[]};

/** False once the scheduler has removed the run. */
const isLive = (row: RunRow): boolean => row.worker.runs.get(formatRunKey(row.task.name, row.run)) === row;

const encode = (rows: readonly RunRow[]): string => {
	const byWorker = new Map<string, {readonly worker: RecordedWorker; readonly runs: Array<[string, number]>}>();
	for (const {worker, task, run} of rows) {
		const {id, address, pool} = worker.registration;
		const entry = byWorker.get(id) ?? {
			worker: {
				id, address, pool, bornAt: worker.incarnation,
			}, runs: [],
		};
		entry.runs.push([task.name, run]);
		byWorker.set(id, entry);
	}

	return JSON.stringify([...byWorker.values()] satisfies RunSegment);
};

export type RunRecords = ReturnType<typeof createRunRecords>;

export const createRunRecords = (options: {
	readonly commitQueue: CommitQueue;
	readonly epoch: number;
	readonly now: () => number;
	/** Queues the changes of jobs for the store. Called before segments are deleted: otherwise the next owner may find neither the run of a task nor its end. */
	readonly persistChanges: () => Promise<void>;
	readonly onUnreadable: (key: string) => void;
}) => {
	const {commitQueue, epoch, now, persistChanges, onUnreadable} = options;
	let segments: Segment[] = [];
	let pendingSegment: {readonly rows: RunRow[]; readonly stored: Promise<void>} | undefined;
	let segmentCount = 0;
	let sweptAt = Number.NEGATIVE_INFINITY;

	const storeSegment = async (rows: readonly RunRow[], replaced: readonly Segment[]): Promise<void> => {
		segmentCount += 1;
		const key = `${runPrefix}${epoch}-${segmentCount}`;
		segments.push({key, storedAt: now(), rows});
		await commitQueue.commit([
			{type: 'put', key, value: encode(rows)},
			...replaced.map(segment => ({type: 'delete' as const, key: segment.key})),
		]);
	};

	return {
		/** Resolves once the run is stored. */
		async record(row: RunRow): Promise<void> {
			if (!pendingSegment) {
				const rows: RunRow[] = [];
				// All starts of a tick are added synchronously, before this continuation runs.
				pendingSegment = {
					rows, stored: Promise.resolve().then(async () => {
						pendingSegment = undefined;
						await storeSegment(rows, []);
					}),
				};
			}

			pendingSegment.rows.push(row);
			await pendingSegment.stored;
		},
		/** Decodes the segments of previous owners. */
		restore(entries: readonly StoredEntry[]): Array<{readonly key: string; readonly segment: RunSegment}> {
			const restored: Array<{readonly key: string; readonly segment: RunSegment}> = [];
			for (const entry of entries) {
				const segment = parseRunSegment(entry);
				if (segment) {
					restored.push({key: entry.key, segment});
				} else {
					onUnreadable(entry.key);
				}
			}

			return restored;
		},
		/** Takes over a segment of a previous owner with those of its runs that may still be executing. */
		adoptSegment(key: string, rows: readonly RunRow[]): void {
			segments.push({key, storedAt: now(), rows});
		},
		/** Deletes segments whose runs have all ended, and merges old segments. */
		tick(): void {
			if (now() - sweptAt < sweepMilliseconds) {
				return;
			}

			sweptAt = now();
			const ended: Segment[] = [];
			const old: Segment[] = [];
			for (const segment of segments) {
				segment.rows = segment.rows.filter(row => isLive(row));
				if (segment.rows.length === 0) {
					ended.push(segment);
				} else if (now() - segment.storedAt > rewriteAfterMilliseconds) {
					old.push(segment);
				}
			}

			if (ended.length > 0 || old.length > 1) {
				void persistChanges();
			}

			segments = segments.filter(segment => !ended.includes(segment));
			if (ended.length > 0) {
				void commitQueue.commit(ended.map(({key}) => ({type: 'delete', key})));
			}

			// Rewriting a single segment would save nothing.
			if (old.length > 1) {
				segments = segments.filter(segment => !old.includes(segment));
				void storeSegment(old.flatMap(({rows}) => rows), old);
			}
		},
	};
};
