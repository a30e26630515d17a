/** CPU that pool moves can add to a pool: machines in standby, machines that are moving, and idle machines of other pools. */
import type {PoolMachine} from '@turmericbay/scheduler';
import {minimumMachines} from '@turmericbay/scheduler';

export type MovableMachine = PoolMachine & {readonly isMoving: boolean};

/**
 * Returns thousandths of a core. Counts what could be there within a few seconds as present now, since
 * a job refused on too low a capacity would have been served.
 */
export const computeMovableCapacity = (options: {
	readonly machines: readonly MovableMachine[];
	readonly standbyPools: ReadonlySet<string>;
	readonly pool: string;
}): number => {
	const {machines, standbyPools, pool} = options;
	let capacity = 0;
	/** CPU of the idle machines and number of busy ones, by pool. */
	const otherPools = new Map<string, {readonly idle: number[]; busy: number}>();
	for (const machine of machines) {
		if (machine.isEvacuated) {
			continue;
		}

		if (machine.isMoving || (machine.isUp && standbyPools.has(machine.pool))) {
			capacity += machine.cpuMillis;
		} else if (machine.isUp && machine.pool !== pool) {
			const other = otherPools.get(machine.pool) ?? {idle: [], busy: 0};
			if (machine.worker?.runs.size === 0) {
				other.idle.push(machine.cpuMillis);
			} else {
				other.busy += 1;
			}

			otherPools.set(machine.pool, other);
		}
	}

	for (const {idle, busy} of otherPools.values()) {
		const kept = Math.max(0, minimumMachines - busy);
		for (const cpuMillis of idle.toSorted((left, right) => left - right).slice(kept)) {
			capacity += cpuMillis;
		}
	}

	return capacity;
};
