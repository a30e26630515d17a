/** Task sizes that fit on no worker of a pool in the current tick, so that its workers are not searched again for tasks of the same or a larger size. */
import type {Resources, WorkerRow} from './model.js';
import type {ReadyJob} from './ready-work.js';
import {getTaskRequirement} from './ready-work.js';
import {hasCapacityFor} from './workers.js';

const isAtMost = (left: Resources, right: Resources): boolean =>
	left.cpuMillis <= right.cpuMillis && left.memoryMegabytes <= right.memoryMegabytes && left.accelerators <= right.accelerators;

export type ExhaustedSizes = ReturnType<typeof createExhaustedSizes>;

export const createExhaustedSizes = (workers: readonly WorkerRow[]) => {
	const sizes: Resources[] = [];
	const covers = (required: Resources): boolean => sizes.some(size => isAtMost(size, required));
	return {
		/** True if no task of the job that could start fits on any worker. */
		coversJob: (entry: ReadyJob): boolean => entry.steps.every(step => step.waiting === 0 || covers(getTaskRequirement(step))),
		/** Called when no task of the job could be placed; constraints other than the size may be the reason. */
		recordFailure(entry: ReadyJob): void {
			for (const step of entry.steps) {
				const required = getTaskRequirement(step);
				if (!covers(required) && !workers.some(worker => hasCapacityFor(worker, required))) {
					sizes.push(required);
				}
			}
		},
	};
};
