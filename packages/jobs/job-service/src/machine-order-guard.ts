/**
 * Which machines this owner may order now. Two holders must not take turns on one machine, and
 * an order of a former owner may still be on its way, so each order is stored before it is sent;
 * machines that no other holder has ordered lately are free at once.
 */
import type {StoredEntry, StoreOperation} from '@turmericbay/types';
import type {Clock} from './ports.js';
import {idFromKey, machineOrderPrefix} from './records.js';

/** Longer than the platform's 3 s in which two holders must not take turns. */
const cooldownMilliseconds = 3500;
/** An order follows its record within this time, or is recorded anew: other holders take the record's age for the order's. */
const maximumRecordMilliseconds = 400;

export type MachineOrderGuard = ReturnType<typeof createMachineOrderGuard>;

export const createMachineOrderGuard = (options: {
	readonly clock: Clock;
	readonly holder: string;
	readonly tookOverAt: number;
	/** Steady time by which the store had reached the revision; undefined if it was not seen before the takeover. */
	readonly reachedBy: (revision: number) => number | undefined;
	readonly mayOrder: () => boolean;
	readonly commit: (operations: readonly StoreOperation[]) => Promise<void>;
}) => {
	const {clock, holder, tookOverAt, reachedBy, mayOrder, commit} = options;
	/** Steady time from which a machine is free, for those that another holder has ordered. */
	const freeAt = new Map<string, number>();

	return {
		/** Entries of this holder are those of its former life, which orders nothing more. */
		restore(entries: readonly StoredEntry[]): void {
			for (const {key, value, modifiedRevision} of entries) {
				if (value !== holder) {
					freeAt.set(idFromKey(key), (reachedBy(modifiedRevision) ?? tookOverAt) + cooldownMilliseconds);
				}
			}
		},
		/** False while machines may be down that a former owner has ordered; their number is not known. */
		isTakeoverCooldownOver: (): boolean => clock.now() > tookOverAt + cooldownMilliseconds,
		isFree: (machine: string): boolean => clock.now() > (freeAt.get(machine) ?? Number.NEGATIVE_INFINITY),
		/** True if the order may be sent now; it is stored by then. */
		async recordOrder(machine: string): Promise<boolean> {
			const began = clock.now();
			await commit([{type: 'put', key: machineOrderPrefix + machine, value: holder}]);
			return mayOrder() && clock.now() - began < maximumRecordMilliseconds;
		},
	};
};
