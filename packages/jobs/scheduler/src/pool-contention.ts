/** Tells whether other tasks of a pool lack capacity that a task with a preferred place would occupy elsewhere. */
import {isStepReady} from './jobs.js';
import type {JobRow, StepRow, WorkerRow} from './model.js';
import {findRack} from './model.js';
import {getReservedResources} from './workers.js';

/** Valid for one tick; the sums are computed when they are first needed. */
export const createPoolContention = (options: {readonly jobs: readonly JobRow[]; readonly usable: readonly WorkerRow[]}) => {
	const {jobs, usable} = options;
	let waiting: {readonly total: number; readonly byRack: ReadonlyMap<string, number>} | undefined;
	const freeOutside = new Map<string | undefined, number>();

	const getDemand = (step: StepRow): number => step.waiting * getReservedResources(step.tasks[0]!).cpuMillis;

	const sumWaiting = (): NonNullable<typeof waiting> => {
		let total = 0;
		const byRack = new Map<string, number>();
		for (const job of jobs) {
			for (const step of [...job.occurrences.values()].flat()) {
				if (step.waiting > 0 && isStepReady(step)) {
					const {preferredRack} = step.declaration;
					const demand = getDemand(step);
					total += demand;
					if (preferredRack !== undefined) {
						byRack.set(preferredRack, (byRack.get(preferredRack) ?? 0) + demand);
					}
				}
			}
		}

		return {total, byRack};
	};

	/** Free CPU of the workers that are not in the rack, in thousandths of a core. */
	const getFreeOutside = (rack: string | undefined): number => {
		const known = freeOutside.get(rack);
		if (known !== undefined) {
			return known;
		}

		let free = 0;
		for (const worker of usable) {
			if (rack === undefined || findRack(worker.registration) !== rack) {
				free += Math.max(0, worker.registration.capacity.cpuMillis - worker.used.cpuMillis);
			}
		}

		freeOutside.set(rack, free);
		return free;
	};

	return {
		/** True if the waiting tasks that do not prefer the same rack need more than the free CPU outside it. */
		isShort(step: StepRow): boolean {
			waiting ??= sumWaiting();
			const {preferredRack} = step.declaration;
			const own = preferredRack === undefined ? getDemand(step) : waiting.byRack.get(preferredRack) ?? 0;
			return waiting.total - own > getFreeOutside(preferredRack);
		},
	};
};
