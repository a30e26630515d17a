/**
 * Decides which machines this owner may send orders for. The platform forbids orders for one
 * machine from two holders within 3 s, and an order of a previous owner may still be in flight.
 * So each order is recorded in the store before it is sent, and a new owner waits for a cooldown
 * before it orders a machine that another holder has ordered recently.
 */
import type {StoredEntry, StoreOperation} from '@turmericbay/types';
import type {Clock} from './ports.js';
import {idFromKey, machineOrderPrefix} from './records.js';

/** Longer than the 3 s that the platform requires between orders of two holders. */
const cooldownMilliseconds = 3500;
/** An order is not sent if recording it took longer: other holders take the age of the record for that of the order. */
const maximumRecordingMilliseconds = 400;

export type MachineOrderGuard = ReturnType<typeof createMachineOrderGuard>;

export const createMachineOrderGuard = (options: {
	readonly clock: Clock;
	/** Name of this instance. */
	readonly holder: string;
	readonly tookOverAt: number;
	/** Time by which the store had reached the revision; undefined if no response has shown it. */
	readonly getReachedTime: (revision: number) => number | undefined;
	readonly mayOrder: () => boolean;
	readonly commit: (operations: readonly StoreOperation[]) => Promise<void>;
}) => {
	const {clock, holder, tookOverAt, getReachedTime, mayOrder, commit} = options;
	/** End of the cooldown, for machines that another holder has ordered. */
	const freeAt = new Map<string, number>();

	return {
		/** Starts the cooldown of machines that another holder has ordered. Orders of this holder come from an earlier incarnation, which sends no more. */
		restore(entries: readonly StoredEntry[]): void {
			for (const {key, value, modifiedRevision} of entries) {
				if (value !== holder) {
					freeAt.set(idFromKey(key), (getReachedTime(modifiedRevision) ?? tookOverAt) + cooldownMilliseconds);
				}
			}
		},
		/** False while an unknown number of machines may be in maintenance on the order of a previous owner. */
		isTakeoverCooldownOver: (): boolean => clock.now() > tookOverAt + cooldownMilliseconds,
		/** False while the machine is in its cooldown. */
		isFree: (machine: string): boolean => clock.now() > (freeAt.get(machine) ?? Number.NEGATIVE_INFINITY),
		/** Records an order in the store before it is sent. Returns false if it must not be sent. */
		async recordOrder(machine: string): Promise<boolean> {
			const recordingStartedAt = clock.now();
			await commit([{type: 'put', key: machineOrderPrefix + machine, value: holder}]);
			return mayOrder() && clock.now() - recordingStartedAt < maximumRecordingMilliseconds;
		},
	};
};
