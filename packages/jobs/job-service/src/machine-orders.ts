/**
 * Which machines this owner may order now. Two holders must not take turns on one machine, and
 * an order of a former owner may still be on its way, so each order is stored before it is sent;
 * machines that no former owner has ordered lately are free at once.
 */
import type {StoredEntry, StoreOperation} from '@turmericbay/types';
import type {Clock} from './ports.js';
import {idOf, machineOrderPrefix} from './records.js';

/** Longer than the platform's 3 s in which two holders must not take turns. */
const quietMilliseconds = 3500;
/** Wall clocks of two instances may differ by this. */
const clockDifferenceMilliseconds = 4500;

export type MachineOrders = ReturnType<typeof createMachineOrders>;

export const createMachineOrders = (options: {
	readonly clock: Clock;
	readonly tookOverAt: number;
	readonly mayOrder: () => boolean;
	readonly commit: (operations: readonly StoreOperation[]) => Promise<void>;
}) => {
	const {clock, tookOverAt, mayOrder, commit} = options;
	/** Machines that a former owner may have ordered lately. */
	const recent = new Set<string>();

	return {
		restore(entries: readonly StoredEntry[]): void {
			for (const entry of entries) {
				if (Math.abs(clock.wallNow() - Number(entry.value)) < quietMilliseconds + clockDifferenceMilliseconds) {
					recent.add(idOf(entry.key));
				}
			}
		},
		/** False while machines may be down that a former owner has ordered; their number is not known. */
		isSettled: (): boolean => clock.now() > tookOverAt + quietMilliseconds,
		isFree: (machine: string): boolean => clock.now() > tookOverAt + quietMilliseconds || !recent.has(machine),
		/** True if the order may be sent now; it is stored by then. */
		async prepare(machine: string): Promise<boolean> {
			await commit([{type: 'put', key: machineOrderPrefix + machine, value: String(clock.wallNow())}]);
			return mayOrder();
		},
	};
};
