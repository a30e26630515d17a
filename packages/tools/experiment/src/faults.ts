/** Faults of a schedule and how they are applied to a simulated site. */
import type {NetworkFault} from './network.js';
import {Service} from './network.js';
import type {Site} from './site.js';
import type {VirtualTime} from './virtual-time.js';

export type Target = 'owner' | 'other' | 'all';

export type Fault = {readonly at: number; readonly milliseconds: number} & (
	| {readonly type: 'kill'; readonly target: Target}
	| {readonly type: 'freeze'; readonly target: Target}
	| {readonly type: 'stop'; readonly target: Target}
	/** Between instances and the store. */
	| {readonly type: 'store'; readonly target: Target; readonly effect: NetworkFault['effect']; readonly share: number}
	/** Between instances and a share of the workers. */
	| {readonly type: 'workers'; readonly target: Target; readonly effect: NetworkFault['effect']; readonly share: number; readonly workers: number}
	| {readonly type: 'machines'; readonly effect: NetworkFault['effect']; readonly share: number}
	| {readonly type: 'peers'; readonly effect: NetworkFault['effect']; readonly share: number}
	| {readonly type: 'crash'; readonly workers: number; readonly keepsName: boolean}
	| {readonly type: 'slow'; readonly workers: number; readonly speed: number}
	| {readonly type: 'failing'; readonly workers: number}
	| {readonly type: 'clock'; readonly target: Target; readonly stepMilliseconds: number}
	| {readonly type: 'wave'; readonly share: number; readonly maximumAtOnce: number}
);

export const applyFault = (options: {readonly fault: Fault; readonly site: Site; readonly time: VirtualTime; readonly random: () => number; readonly number: number}): void => {
	const {fault, site, time, random, number} = options;
	const {milliseconds} = fault;
	const until = time.now() + milliseconds;

	const namesOf = (target: Target): string[] => {
		const names = [...site.instances.keys()];
		const owner = site.ownerName() ?? names[0]!;
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

	const pickWorkers = (share: number): string[] => [...site.workers.keys()].filter(() => random() < share);

	switch (fault.type) {
		case 'kill': {
			for (const name of namesOf(fault.target)) {
				site.kill(name, milliseconds);
			}

			break;
		}

		case 'freeze': {
			for (const name of namesOf(fault.target)) {
				site.freeze(name, milliseconds);
			}

			break;
		}

		case 'stop': {
			for (const name of namesOf(fault.target)) {
				site.stop(name, 3000, milliseconds);
			}

			break;
		}

		case 'store': {
			site.network.addFault({
				callers: new Set(namesOf(fault.target)), service: Service.Store, called: undefined, effect: fault.effect, share: fault.share, until,
			});
			break;
		}

		case 'workers': {
			site.network.addFault({
				callers: new Set(namesOf(fault.target)), service: Service.Workers, called: new Set(pickWorkers(fault.workers)), effect: fault.effect, share: fault.share, until,
			});
			break;
		}

		case 'machines':
		case 'peers': {
			site.network.addFault({
				callers: undefined, service: fault.type === 'machines' ? Service.Machines : Service.Peers, called: undefined, effect: fault.effect, share: fault.share, until,
			});
			break;
		}

		case 'crash': {
			for (const id of pickWorkers(fault.workers)) {
				site.crashWorker(id, milliseconds, fault.keepsName);
			}

			break;
		}

		case 'slow':
		case 'failing': {
			const places = pickWorkers(fault.workers).map(id => site.workers.get(id)!);
			for (const {model} of places) {
				if (fault.type === 'slow') {
					model.setSpeed(fault.speed, time.now());
				} else {
					model.setFailing(true);
				}
			}

			time.after(milliseconds, () => {
				for (const {model} of places) {
					model.setSpeed(1, time.now());
					model.setFailing(false);
				}
			});
			break;
		}

		case 'clock': {
			for (const name of namesOf(fault.target)) {
				const {process} = site.instances.get(name)!;
				process.wallOffset += fault.stepMilliseconds;
				time.after(milliseconds, () => {
					process.wallOffset -= fault.stepMilliseconds;
				});
			}

			break;
		}

		case 'wave': {
			const machines = [...site.machines.machines.keys()].filter(() => random() < fault.share);
			site.requestWave({
				wave: number, machines, withinMilliseconds: milliseconds, maximumAtOnce: fault.maximumAtOnce,
			});
			break;
		}
	}
};
