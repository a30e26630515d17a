/** Tells whether the workers of a rack have changed, so that the decision of a waiting task need not be made anew on each tick. */
import type {RunRow, WorkerRow} from './model.js';
import {findRack} from './model.js';

export const createRackStates = () => {
	/** Runs started on each rack by this scheduler. */
	const startCounts = new Map<string | undefined, number>();
	let usable: readonly WorkerRow[] = [];
	let workersByRack: Map<string | undefined, WorkerRow[]> | undefined;
	const states = new Map<string | undefined, string>();

	const listWorkers = (rack: string | undefined): readonly WorkerRow[] => {
		if (!workersByRack) {
			workersByRack = new Map();
			for (const worker of usable) {
				const name = findRack(worker.registration);
				const workers = workersByRack.get(name) ?? [];
				workers.push(worker);
				workersByRack.set(name, workers);
			}
		}

		return workersByRack.get(rack) ?? [];
	};

	return {
		startPool(workers: readonly WorkerRow[]): void {
			usable = workers;
			workersByRack = undefined;
			states.clear();
		},
		recordStart(row: RunRow): void {
			const rack = findRack(row.worker.registration);
			startCounts.set(rack, (startCounts.get(rack) ?? 0) + 1);
			states.delete(rack);
		},
		listWorkers,
		/** Differs after a start, an end, or a change of the schedulable workers of the rack. Speeds and run times are not part of it. */
		getState(rack: string | undefined): string {
			const known = states.get(rack);
			if (known !== undefined) {
				return known;
			}

			let cpuMillis = 0;
			let memoryMegabytes = 0;
			let runs = 0;
			const workers = listWorkers(rack);
			for (const {used, runs: {size}} of workers) {
				cpuMillis += used.cpuMillis;
				memoryMegabytes += used.memoryMegabytes;
				runs += size;
			}

			const state = [startCounts.get(rack) ?? 0, workers.length, runs, cpuMillis, memoryMegabytes].join(' ');
			states.set(rack, state);
			return state;
		},
	};
};
