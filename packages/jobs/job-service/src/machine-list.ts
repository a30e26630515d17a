/** The platform's list of machines, read no more often than needed. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';
import type {Clock, MachineRecord, MachineService} from './ports.js';

/** A move or an upkeep takes two seconds; its end is seen this much later at most. */
const intervalMilliseconds = 500;

export type MachineList = ReturnType<typeof createMachineList>;

export const createMachineList = (options: {readonly machines: MachineService; readonly scheduler: Scheduler; readonly clock: Clock}) => {
	const {machines, scheduler, clock} = options;
	let records: readonly MachineRecord[] = [];
	let sentAt = Number.NEGATIVE_INFINITY;
	let endedAt = Number.NEGATIVE_INFINITY;
	let isReading = false;

	const read = async (): Promise<void> => {
		isReading = true;
		const began = clock.now();
		const list = await machines.list();
		isReading = false;
		endedAt = clock.now();
		if (list) {
			records = list;
			sentAt = began;
		}
	};

	return {
		/** The newest list that was read; empty before. */
		records: () => records,
		/** Send time of the call that brought it. */
		sentAt: () => sentAt,
		workerOn(machine: string): WorkerRow | undefined {
			const id = records.find(record => record.machine === machine)?.worker;
			return id === undefined ? undefined : scheduler.workers.get(id);
		},
		refresh(): void {
			if (!isReading && clock.now() - endedAt > intervalMilliseconds) {
				void read();
			}
		},
	};
};
