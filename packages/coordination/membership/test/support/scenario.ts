/** Fast-check generators of faults, and their injection into a fleet. */
import fc from 'fast-check';
import type {Fleet} from './fleet.js';
import type {Simulation} from './simulation.js';
import {noStoreFaults} from './store.js';

export type Fault
	= | {readonly type: 'kill'; readonly position: number}
		| {readonly type: 'pause'; readonly position: number}
		/** Disconnected from the store but not from its peers, and killed when the fault ends or soon after. */
		| {readonly type: 'disconnect-then-kill'; readonly position: number; readonly reconnectedMilliseconds: number}
		| {readonly type: 'store-faults'; readonly position: number; readonly kind: keyof typeof noStoreFaults}
		| {readonly type: 'disconnect-from-store'; readonly position: number}
		| {readonly type: 'outage'}
		| {readonly type: 'disconnect-zone'; readonly zone: string; readonly fromStore: boolean}
		| {readonly type: 'peer-loss'}
		| {readonly type: 'list-lag'}
		| {readonly type: 'list-broken'};

export type TimedFault = {readonly fault: Fault; readonly afterMilliseconds: number; readonly forMilliseconds: number};

const storeFaultKinds = ['refused', 'requestLost', 'answerLost', 'appliedLate'] as const;

export const timedFault = (options: {readonly count: number; readonly zones: readonly string[]}): fc.Arbitrary<TimedFault> => {
	const position = fc.nat({max: options.count - 1});
	return fc.record({
		fault: fc.oneof(
			fc.record({type: fc.constant('kill' as const), position}),
			fc.record({type: fc.constant('pause' as const), position}),
			fc.record({type: fc.constant('store-faults' as const), position, kind: fc.constantFrom(...storeFaultKinds)}),
			fc.record({type: fc.constant('disconnect-from-store' as const), position}),
			fc.record({type: fc.constant('outage' as const)}),
			fc.record({type: fc.constant('disconnect-zone' as const), zone: fc.constantFrom(...options.zones), fromStore: fc.boolean()}),
			fc.record({type: fc.constant('peer-loss' as const)}),
			fc.record({type: fc.constant('list-lag' as const)}),
			fc.record({type: fc.constant('list-broken' as const)}),
		),
		afterMilliseconds: fc.nat({max: 20_000}),
		forMilliseconds: fc.integer({min: 100, max: 30_000}),
	});
};

/** Faults under which a partition owner has granted claims from memory before it is killed. */
export const disconnectThenKill = (options: {readonly count: number}): fc.Arbitrary<TimedFault> => fc.record({
	fault: fc.record({
		type: fc.constant('disconnect-then-kill' as const),
		position: fc.nat({max: options.count - 1}),
		reconnectedMilliseconds: fc.oneof(fc.constant(0), fc.nat({max: 8000})),
	}),
	afterMilliseconds: fc.nat({max: 10_000}),
	forMilliseconds: fc.integer({min: 1000, max: 30_000}),
});

/** Starts the fault and returns a function that ends it. */
const startFault = <Component>(simulation: Simulation, fleet: Fleet<Component>, fault: Fault): (() => void) => {
	const {network, members} = fleet;
	switch (fault.type) {
		case 'kill': {
			fleet.kill(fault.position);
			return () => {
				if (!members[fault.position]!.process.isAlive()) {
					fleet.restart(fault.position);
				}
			};
		}

		case 'pause': {
			const {process} = members[fault.position]!;
			process.pause();
			return () => {
				process.resume();
			};
		}

		case 'disconnect-then-kill': {
			const {store, process} = members[fault.position]!;
			store.reachable = false;
			return () => {
				store.reachable = fault.reconnectedMilliseconds > 0;
				simulation.after(fault.reconnectedMilliseconds, () => {
					if (process.isAlive() && !network.faultsEnded) {
						fleet.kill(fault.position);
						store.reachable = true;
					}
				});
			};
		}

		case 'store-faults': {
			const {store} = members[fault.position]!;
			store.faults = {...noStoreFaults, [fault.kind]: 0.5};
			return () => {
				store.faults = noStoreFaults;
			};
		}

		case 'disconnect-from-store':
		case 'outage':
		case 'disconnect-zone': {
			const affected = members.filter((member, position) => (fault.type === 'disconnect-zone'
				? fault.fromStore && member.zone === fault.zone
				: fault.type === 'outage' || position === fault.position));
			for (const {store} of affected) {
				store.reachable = false;
			}

			if (fault.type === 'disconnect-zone') {
				network.isolatedZones.add(fault.zone);
			}

			return () => {
				for (const {store} of affected) {
					store.reachable = true;
				}

				if (fault.type === 'disconnect-zone') {
					network.isolatedZones.delete(fault.zone);
				}
			};
		}

		case 'peer-loss': {
			network.lossProbability = 0.5;
			return () => {
				network.lossProbability = 0;
			};
		}

		case 'list-lag': {
			network.listLagMilliseconds = 15_000;
			return () => {
				network.listLagMilliseconds = 3000;
			};
		}

		case 'list-broken': {
			network.listBroken = true;
			return () => {
				network.listBroken = false;
			};
		}
	}
};

/** Schedules the start of each fault relative to the previous start; faults may overlap. */
export const scheduleFaults = <Component>(simulation: Simulation, fleet: Fleet<Component>, faults: readonly TimedFault[]): void => {
	let at = 0;
	for (const {fault, afterMilliseconds, forMilliseconds} of faults) {
		at += afterMilliseconds;
		simulation.after(at, () => {
			if (!fleet.network.faultsEnded) {
				simulation.after(forMilliseconds, startFault(simulation, fleet, fault));
			}
		});
	}
};

/** Ends all faults; faults that are still scheduled do not start. */
export const endFaults = <Component>(fleet: Fleet<Component>): void => {
	Object.assign(fleet.network, {
		lossProbability: 0, listLagMilliseconds: 3000, listBroken: false, faultsEnded: true,
	});
	fleet.network.isolatedZones.clear();
	for (const [position, {process, store}] of fleet.members.entries()) {
		store.reachable = true;
		store.faults = noStoreFaults;
		process.resume();
		if (!process.isAlive()) {
			fleet.restart(position);
		}
	}
};
