/**
 * Estimates the speed of workers from the progress of their runs. Declared run
 * times are inaccurate, so each worker is compared with all others at the same
 * time. Slow workers get runs last, and stalled runs are started elsewhere.
 */
import type {RunRow, WorkerRow} from './model.js';
import {RunPhase} from './model.js';

/** Minimum age of a run before its progress is used. */
const minimumRunMilliseconds = 500;
/** Weight of the latest sample in the moving average of a worker's speed. */
const newestSampleWeight = 0.5;
/** Without samples, a worker's speed returns to 1 with this weight per update, so that a slow worker is tried again. */
const recoveryWeight = 0.2;
/** Interval of updates; busy workers report at least every 0.9 s. */
const updateIntervalMilliseconds = 500;
/** A run is stalled if its progress has not changed for this time, which covers several reports. */
const stallTimeoutMilliseconds = 2800;
/** Minimum number of samples over all workers for a comparison. */
const minimumSamples = 4;

const isMeasurable = (row: RunRow): boolean => row.phase === RunPhase.Running && !row.task.step.declaration.longRunning
	&& row.task.step.declaration.estimateMilliseconds > 0 && !row.task.step.declaration.gang;

/** Estimated work done per unit of time; about 1 on a healthy worker if the estimate is accurate. */
const measureProgressRate = (row: RunRow, now: number): number | undefined => {
	const startedAt = row.confirmedAt ?? row.startedAt;
	// The percentage dates from the worker's last report.
	const elapsed = Math.min(now, row.worker.lastContactAt) - startedAt;
	return elapsed < minimumRunMilliseconds ? undefined : (row.percent / 100) * row.task.step.declaration.estimateMilliseconds / elapsed;
};

const median = (values: readonly number[]): number => {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

export const createSpeedEstimator = () => {
	let updatedAt = Number.NEGATIVE_INFINITY;
	return {
		update(workers: Iterable<WorkerRow>, now: number): void {
			if (now - updatedAt < updateIntervalMilliseconds) {
				return;
			}

			updatedAt = now;
			const samplesByWorker = new Map<WorkerRow, number[]>();
			const allSamples: number[] = [];
			for (const worker of workers) {
				const samples: number[] = [];
				for (const row of worker.runs.values()) {
					const sample = isMeasurable(row) ? measureProgressRate(row, now) : undefined;
					if (sample !== undefined) {
						samples.push(sample);
					}
				}

				samplesByWorker.set(worker, samples);
				allSamples.push(...samples);
			}

			const medianRate = median(allSamples);
			for (const [worker, samples] of samplesByWorker) {
				const isMeasured = samples.length > 0 && allSamples.length >= minimumSamples && medianRate > 0;
				const newest = isMeasured ? Math.min(2, median(samples) / medianRate) : 1;
				const weight = isMeasured ? newestSampleWeight : recoveryWeight;
				worker.speed = (worker.speed * (1 - weight)) + (newest * weight);
			}
		},
		/** Runs without progress on a worker that answers. */
		findStalledRuns(worker: WorkerRow, now: number): RunRow[] {
			return [...worker.runs.values()].filter(row => row.phase === RunPhase.Running && !row.isEvacuating
				&& !row.task.step.declaration.longRunning && !row.task.step.declaration.gang && row.percent < 100
				&& worker.unansweredCalls === 0 && Math.min(now, worker.lastContactAt) - row.progressedAt > stallTimeoutMilliseconds);
		},
	};
};
