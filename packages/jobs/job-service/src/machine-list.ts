/** Cached copy of the platform's list of machines, refreshed on demand at a limited rate. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';
import type {Clock, MachineClient, MachineRecord} from './ports.js';
import {MachineState} from './ports.js';

/** Bounds how late the end of a move or of maintenance is seen; both take two seconds. */
const refreshIntervalMilliseconds = 500;

export type MachineList = ReturnType<typeof createMachineList>;

export const createMachineList = (options: {readonly machineClient: MachineClient; readonly scheduler: Scheduler; readonly clock: Clock}) => {
	const {machineClient, scheduler, clock} = options;
	let records: ReadonlyMap<string, MachineRecord> = new Map();
	let requestedAt = Number.NEGATIVE_INFINITY;
	let readEndedAt = Number.NEGATIVE_INFINITY;
	let isReading = false;
	/** Time of the newest order for each machine; a list requested earlier does not show its effect. */
	const orderedAt = new Map<string, number>();

	const read = async (): Promise<void> => {
		isReading = true;
		const sentAt = clock.now();
		const list = await machineClient.list();
		isReading = false;
		readEndedAt = clock.now();
		if (list) {
			records = new Map(list.map(record => [record.machine, record]));
			requestedAt = sentAt;
		}
	};

	/** True if the list was requested after the newest order for the machine. */
	const isNewerThanLastOrder = (machine: string): boolean => (orderedAt.get(machine) ?? Number.NEGATIVE_INFINITY) < requestedAt;

	/** Treats a machine as moving while it is unknown what runs on it: it was ordered after the list was requested, or its worker is not registered yet. */
	const toEffectiveRecord = (record: MachineRecord): MachineRecord => {
		const isKnown = isNewerThanLastOrder(record.machine) && (record.worker === undefined || scheduler.workers.has(record.worker));
		return record.state === MachineState.Up && !isKnown ? {...record, state: MachineState.Moving} : record;
	};

	return {
		/** Machines of the newest list; empty until one has been read. */
		records: (): readonly MachineRecord[] => [...records.values()].map(record => toEffectiveRecord(record)),
		getRecord(machine: string): MachineRecord | undefined {
			const record = records.get(machine);
			return record && toEffectiveRecord(record);
		},
		isNewerThanLastOrder,
		/** Called before an order for the machine is sent, and again when its outcome is known. */
		markOrdered(machine: string): void {
			orderedAt.set(machine, clock.now());
		},
		/** Send time of the request for the current list. */
		requestedAt: () => requestedAt,
		getWorker(machine: string): WorkerRow | undefined {
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
