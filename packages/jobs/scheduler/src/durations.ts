/**
 * Learns how long tasks run. Declared run times are inaccurate, on some deployments by up to 0.9 of
 * their value, so each queue and image learns both the mean run time and the ratio to the declared
 * one, and estimates by whichever has predicted recent runs better.
 */
import type {RunRow, StepRow, TaskRow} from './model.js';
import {findRack} from './model.js';

/** Weight of a new sample in the moving averages. */
const sampleWeight = 0.1;
/** The declared run time is used until this many runs have ended. */
const minimumSamples = 5;
/** Runs on slower workers say little about the task. */
const minimumWorkerSpeed = 0.8;
/** Limits the effect of one outlier on the averages, as a multiple of the current estimate. */
const maximumSampleRatio = 8;

type Learned = {
	samples: number;
	meanMilliseconds: number;
	/** Actual by declared run time. */
	ratio: number;
	/** Mean absolute errors of the two predictions, in milliseconds. */
	meanError: number;
	ratioError: number;
};

export type DurationKey = {readonly queue: string; readonly image: string; readonly declaredMilliseconds: number};

export type DurationEstimator = ReturnType<typeof createDurationEstimator>;

const formatKey = ({queue, image}: DurationKey): string => `${queue}\n${image}`;

const toKey = (task: TaskRow): DurationKey => ({
	queue: task.step.job.declaration.queue, image: task.step.declaration.image, declaredMilliseconds: task.step.declaration.estimateMilliseconds,
});

export const createDurationEstimator = () => {
	const learnedByKey = new Map<string, Learned>();

	/** Run time of a whole task, in milliseconds. */
	const estimate = (key: DurationKey): number => {
		const learned = learnedByKey.get(formatKey(key));
		if (!learned || learned.samples < minimumSamples) {
			return key.declaredMilliseconds;
		}

		return learned.ratioError <= learned.meanError && key.declaredMilliseconds > 0 ? key.declaredMilliseconds * learned.ratio : learned.meanMilliseconds;
	};

	const record = (sample: DurationKey & {readonly actualMilliseconds: number}): void => {
		const {declaredMilliseconds} = sample;
		if (sample.actualMilliseconds <= 0) {
			return;
		}

		const key = formatKey(sample);
		const learned = learnedByKey.get(key);
		if (!learned) {
			learnedByKey.set(key, {
				samples: 1, meanMilliseconds: sample.actualMilliseconds, ratio: declaredMilliseconds > 0 ? sample.actualMilliseconds / declaredMilliseconds : 1, meanError: 0, ratioError: 0,
			});
			return;
		}

		const actual = Math.min(sample.actualMilliseconds, learned.meanMilliseconds * maximumSampleRatio);
		const average = (previous: number, value: number): number => previous + ((value - previous) * Math.max(sampleWeight, 1 / (learned.samples + 1)));
		learned.meanError = average(learned.meanError, Math.abs(actual - learned.meanMilliseconds));
		learned.ratioError = average(learned.ratioError, Math.abs(actual - (declaredMilliseconds * learned.ratio)));
		learned.meanMilliseconds = average(learned.meanMilliseconds, actual);
		learned.ratio = declaredMilliseconds > 0 ? average(learned.ratio, actual / declaredMilliseconds) : learned.ratio;
		learned.samples += 1;
	};

	const estimateTask = (task: TaskRow): number => estimate(toKey(task));

	/** Duration in milliseconds of the longest chain of steps of the same occurrence that depend on this one, without the step itself. */
	const estimateFollowing = (step: StepRow): number => {
		const steps = step.job.occurrences.get(step.occurrence) ?? [];
		/** By step index. A step depends on earlier ones only, so from the last step on each value is complete when it is read. */
		const following: number[] = [];
		for (const next of steps.slice(step.index + 1).toReversed()) {
			const milliseconds = estimateTask(next.tasks[0]!) + (following[next.index] ?? 0);
			for (const index of next.declaration.after) {
				following[index] = Math.max(following[index] ?? 0, milliseconds);
			}
		}

		return following[step.index] ?? 0;
	};

	return {
		estimate,
		estimateTask,
		estimateFollowing,
		/** Time until the run ends, in milliseconds, from the time since its start; never negative. */
		estimateRemaining(row: RunRow, now: number): number {
			const elapsed = Math.max(0, now - (row.confirmedAt ?? row.startedAt));
			return Math.max(0, estimateTask(row.task) - elapsed);
		},
		record,
		/** Records a finished run, unless it resumed from a checkpoint or was slowed by its worker or its place. */
		recordRun(row: RunRow, now: number): void {
			const {gang, sameRack, longRunning, preferredRack} = row.task.step.declaration;
			const isAwayFromData = preferredRack !== undefined && findRack(row.worker.registration) !== preferredRack;
			const isSlowed = isAwayFromData || (gang && sameRack) || row.speedLimitPercent < 100 || row.worker.speed < minimumWorkerSpeed;
			if (!longRunning && !row.isResumed && !isSlowed) {
				record({...toKey(row.task), actualMilliseconds: now - (row.confirmedAt ?? row.startedAt)});
			}
		},
	};
};
