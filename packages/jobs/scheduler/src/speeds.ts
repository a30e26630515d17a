/**
 * How fast workers get on with what they run. Declared run times are far off,
 * so a worker is judged against all others at the same moment; slow ones get
 * work last, and runs that stand still are started elsewhere.
 */
import type {RunRow, WorkerRow} from './model.js';
import {RunPhase} from './model.js';

/** A run tells nothing about its worker before it has run this long. */
const leastRunMilliseconds = 500;
/** Weight of a worker's newest figure against its older ones. */
const newestWeight = 0.5;
/** Without runs to judge by, a worker comes back to the usual step by step, and is tried again. */
const recoveryWeight = 0.2;
/** Workers are judged this often; their lists come at least each 0.9 s. */
const judgeMilliseconds = 500;
/** A run without progress for this time stands still: several lists have shown the same percentage. */
const stuckMilliseconds = 2800;
/** Figures from fewer runs than this do not make a comparison. */
const leastRuns = 4;

const isShortRunning = (row: RunRow): boolean => row.phase === RunPhase.Running && !row.task.step.declaration.longRunning
	&& row.task.step.declaration.estimateMilliseconds > 0 && !row.task.step.declaration.gang;

/** Share of the estimated work done in each millisecond; about 1 on a sound worker with a right estimate. */
const measureRun = (row: RunRow, now: number): number | undefined => {
	const began = row.confirmedAt ?? row.startedAt;
	// The percentage is as old as the worker's last list.
	const elapsed = Math.min(now, row.worker.lastContactAt) - began;
	return elapsed < leastRunMilliseconds ? undefined : (row.percent / 100) * row.task.step.declaration.estimateMilliseconds / elapsed;
};

const median = (values: readonly number[]): number => {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

export const createSpeedEstimator = () => {
	let judgedAt = Number.NEGATIVE_INFINITY;
	return {
		update(workers: Iterable<WorkerRow>, now: number): void {
			if (now - judgedAt < judgeMilliseconds) {
				return;
			}

			judgedAt = now;
			const figures = new Map<WorkerRow, number[]>();
			const all: number[] = [];
			for (const worker of workers) {
				const own: number[] = [];
				for (const row of worker.runs.values()) {
					const figure = isShortRunning(row) ? measureRun(row, now) : undefined;
					if (figure !== undefined) {
						own.push(figure);
					}
				}

				figures.set(worker, own);
				all.push(...own);
			}

			const usual = median(all);
			for (const [worker, own] of figures) {
				const isJudged = own.length > 0 && all.length >= leastRuns && usual > 0;
				const newest = isJudged ? Math.min(2, median(own) / usual) : 1;
				const weight = isJudged ? newestWeight : recoveryWeight;
				worker.speed = (worker.speed * (1 - weight)) + (newest * weight);
			}
		},
		/** Runs that stand still although their worker answers. */
		findStuck(worker: WorkerRow, now: number): RunRow[] {
			return [...worker.runs.values()].filter(row => row.phase === RunPhase.Running && !row.isEvacuating
				&& !row.task.step.declaration.longRunning && !row.task.step.declaration.gang && row.percent < 100
				&& worker.unansweredCalls === 0 && Math.min(now, worker.lastContactAt) - row.progressedAt > stuckMilliseconds);
		},
	};
};
