/** Faults of a schedule, and their injection into a simulated cluster. */
import type {NetworkFault} from './network.js';
import {Service} from './network.js';
import type {SimulatedCluster} from './simulated-cluster.js';
import type {VirtualTime} from './virtual-time.js';

export type InstanceSelector = 'owner' | 'other' | 'all';

export type Fault = {readonly at: number; readonly milliseconds: number} & (
	| {readonly type: 'kill'; readonly target: InstanceSelector}
	| {readonly type: 'freeze'; readonly target: InstanceSelector}
	| {readonly type: 'stop'; readonly target: InstanceSelector}
	/** Affects a share of the calls from instances to the store. */
	| {readonly type: 'store'; readonly target: InstanceSelector; readonly effect: NetworkFault['effect']; readonly share: number}
	/** Affects a share of the calls from instances to the share `workers` of the workers. */
	| {readonly type: 'workers'; readonly target: InstanceSelector; readonly effect: NetworkFault['effect']; readonly share: number; readonly workers: number}
	| {readonly type: 'machines'; readonly effect: NetworkFault['effect']; readonly share: number}
	| {readonly type: 'peers'; readonly effect: NetworkFault['effect']; readonly share: number}
	| {readonly type: 'crash'; readonly workers: number; readonly keepsName: boolean}
	/** Worker processes crash and are back under their names after `milliseconds`; the worker list shows it up to `registrationMilliseconds` later. */
	| {readonly type: 'restart'; readonly workers: number; readonly registrationMilliseconds: number}
	| {readonly type: 'slow'; readonly workers: number; readonly speed: number}
	| {readonly type: 'failing'; readonly workers: number}
	| {readonly type: 'clock'; readonly target: InstanceSelector; readonly stepMilliseconds: number}
	| {readonly type: 'wave'; readonly share: number; readonly maximumAtOnce: number}
	| {readonly type: 'evacuation'; readonly zone: string}
);

export const applyFault = (options: {readonly fault: Fault; readonly cluster: SimulatedCluster; readonly time: VirtualTime; readonly random: () => number; readonly waveNumber: number}): void => {
	const {fault, cluster, time, random, waveNumber} = options;
	const {milliseconds} = fault;
	const endsAt = time.now() + milliseconds;

	const selectInstances = (target: InstanceSelector): string[] => {
		const names = [...cluster.instances.keys()];
		const owner = cluster.getOwnerName() ?? names[0]!;
		switch (target) {
			case 'owner': {
				return [owner];
			}

			case 'other': {
				const others = names.filter(name => name !== owner);
				return [others[Math.floor(random() * others.length)]!];
			}

			case 'all': {
				return names;
			}
		}
	};

	const pickWorkers = (share: number): string[] => [...cluster.workers.keys()].filter(() => random() < share);

	switch (fault.type) {
		case 'kill': {
			for (const name of selectInstances(fault.target)) {
				cluster.kill(name, milliseconds);
			}

			break;
		}

		case 'freeze': {
			for (const name of selectInstances(fault.target)) {
				cluster.pause(name, milliseconds);
			}

			break;
		}

		case 'stop': {
			for (const name of selectInstances(fault.target)) {
				cluster.stop(name, 3000, milliseconds);
			}

			break;
		}

		case 'store': {
			cluster.network.addFault({
				callers: new Set(selectInstances(fault.target)), service: Service.Store, callees: undefined, effect: fault.effect, probability: fault.share, endsAt,
			});
			break;
		}

		case 'workers': {
			cluster.network.addFault({
				callers: new Set(selectInstances(fault.target)), service: Service.Workers, callees: new Set(pickWorkers(fault.workers)), effect: fault.effect, probability: fault.share, endsAt,
			});
			break;
		}

		case 'machines':
		case 'peers': {
			cluster.network.addFault({
				callers: undefined, service: fault.type === 'machines' ? Service.Machines : Service.Peers, callees: undefined, effect: fault.effect, probability: fault.share, endsAt,
			});
			break;
		}

		case 'crash': {
			for (const id of pickWorkers(fault.workers)) {
				cluster.crashWorker(id, milliseconds, fault.keepsName);
			}

			break;
		}

		case 'restart': {
			for (const id of pickWorkers(fault.workers)) {
				cluster.restartWorker(id, milliseconds, random() * fault.registrationMilliseconds);
			}

			break;
		}

		case 'slow':
		case 'failing': {
			const affectedWorkers = pickWorkers(fault.workers).map(id => cluster.workers.get(id)!);
			for (const {model} of affectedWorkers) {
				if (fault.type === 'slow') {
					model.setSpeed(fault.speed, time.now());
				} else {
					model.setFailing(true);
				}
			}

			time.scheduleAfter(milliseconds, () => {
				for (const {model} of affectedWorkers) {
					model.setSpeed(1, time.now());
					model.setFailing(false);
				}
			});
			break;
		}

		case 'evacuation': {
			cluster.evacuateZone(fault.zone, milliseconds);
			break;
		}

		case 'clock': {
			for (const name of selectInstances(fault.target)) {
				const {process} = cluster.instances.get(name)!;
				process.wallClockOffsetMilliseconds += fault.stepMilliseconds;
				time.scheduleAfter(milliseconds, () => {
					process.wallClockOffsetMilliseconds -= fault.stepMilliseconds;
				});
			}

			break;
		}

		case 'wave': {
			const machines = [...cluster.machines.machines.keys()].filter(() => random() < fault.share);
			cluster.requestWave({
				wave: waveNumber, machines, withinMilliseconds: milliseconds, maximumAtOnce: fault.maximumAtOnce,
			});
			break;
		}
	}
};
