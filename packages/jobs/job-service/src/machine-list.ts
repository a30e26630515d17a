/** The platform's list of machines, read no more often than needed. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';
import type {Clock, MachineRecord, MachineClient} from './ports.js';
import {MachineState} from './ports.js';

/** A move or an upkeep takes two seconds; its end is seen this much later at most. */
const refreshIntervalMilliseconds = 500;

export type MachineList = ReturnType<typeof createMachineList>;

export const createMachineList = (options: {readonly machineClient: MachineClient; readonly scheduler: Scheduler; readonly clock: Clock}) => {
	const {machineClient, scheduler, clock} = options;
	let records: ReadonlyMap<string, MachineRecord> = new Map();
	let requestedAt = Number.NEGATIVE_INFINITY;
	let readEndedAt = Number.NEGATIVE_INFINITY;
	let isReading = false;
	/** Steady time of the newest order for each machine: an older list says nothing about it. */
	const orderedAt = new Map<string, number>();

	const read = async (): Promise<void> => {
		isReading = true;
		const began = clock.now();
		const list = await machineClient.list();
		isReading = false;
		readEndedAt = clock.now();
		if (list) {
			records = new Map(list.map(record => [record.machine, record]));
			requestedAt = began;
		}
	};

	/** The list was asked for after the newest order for the machine. */
	const isNewerThanLastOrder = (machine: string): boolean => (orderedAt.get(machine) ?? Number.NEGATIVE_INFINITY) < requestedAt;

	/** A machine of which it is not known what runs there counts as moving: an order came after the list, or its worker has not been heard of. */
	const toEffectiveRecord = (record: MachineRecord): MachineRecord => {
		const isKnown = isNewerThanLastOrder(record.machine) && (record.worker === undefined || scheduler.workers.has(record.worker));
		return record.state === MachineState.Up && !isKnown ? {...record, state: MachineState.Moving} : record;
	};

	return {
		/** The newest list that was read; empty before. */
		records: (): readonly MachineRecord[] => [...records.values()].map(record => toEffectiveRecord(record)),
		recordOf(machine: string): MachineRecord | undefined {
			const record = records.get(machine);
			return record && toEffectiveRecord(record);
		},
		isNewerThanLastOrder,
		/** Called when an order for the machine is sent, and again when it is answered. */
		markOrdered(machine: string): void {
			orderedAt.set(machine, clock.now());
		},
		/** Send time of the call that brought it. */
		requestedAt: () => requestedAt,
		workerOn(machine: string): WorkerRow | undefined {
			const id = records.get(machine)?.worker;
			return id === undefined ? undefined : scheduler.workers.get(id);
		},
		refresh(): void {
			if (!isReading && clock.now() - readEndedAt > refreshIntervalMilliseconds) {
				void read();
			}
		},
	};
};
