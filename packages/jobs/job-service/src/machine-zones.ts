/**
 * The zones of machines. The list of machines does not name them, so they are learned from the workers on the
 * machines; a machine without a worker, such as one in standby, is in the zone of the other machines of its rack.
 */
import {findRack} from '@turmericbay/scheduler';
import type {MachineList} from './machine-list.js';

export const createMachineZones = (options: {readonly machineList: Pick<MachineList, 'records' | 'getRecord' | 'getWorker'>}) => {
	const {machineList} = options;
	const zoneByMachine = new Map<string, string>();
	const zoneByRack = new Map<string, string>();

	return {
		/** Learns from the workers that are on their machines now. */
		refresh(): void {
			for (const record of machineList.records()) {
				const zone = machineList.getWorker(record.machine)?.registration.zone ?? '';
				if (zone !== '') {
					zoneByMachine.set(record.machine, zone);
					const rack = findRack(record);
					if (rack !== undefined) {
						zoneByRack.set(rack, zone);
					}
				}
			}
		},
		/** Undefined if nothing has shown it yet. */
		getZone(machine: string): string | undefined {
			const record = machineList.getRecord(machine);
			return zoneByMachine.get(machine) ?? zoneByRack.get((record && findRack(record)) ?? '');
		},
	};
};
