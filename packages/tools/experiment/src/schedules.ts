/** Random fault schedules: a few faults of any kind at any time, some of them in close succession. */
import {ownerLeaseMilliseconds} from '@turmericbay/job-service';
import type {Fault, InstanceSelector} from './faults.js';
import type {NetworkFault} from './network.js';
import {longTaskLoad, smallLoad} from './load.js';
import type {SimulationPolicy, SimulationResult} from './run-simulation.js';
import {createRandom, runSimulation, defaultPolicy} from './run-simulation.js';
import {evacuationZones} from './simulated-cluster.js';

/** Faults start before the end of the load, so that their consequences can be observed. */
const latestFaultMilliseconds = 22_000;
/** Half of the faults start within this time after the previous one. */
const maximumFollowUpMilliseconds = 2500;

/** Few enough to find the cause of a violation. */
const faultsPerSchedule = 4;
/** Further faults of a schedule with an evacuation and a change of the owner. */
const faultsBesideEvacuation = 2;
/** Derives the seed of the faults, so that it differs from the seed of the load. */
const faultSeedFactor = 7919;

export const drawFaults = (random: () => number, count: number): Fault[] => {
	const drawInteger = (low: number, high: number): number => Math.round(low + (random() * (high - low)));
	const choose = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]!;
	const drawSelector = (): InstanceSelector => choose<InstanceSelector>(['owner', 'owner', 'owner', 'other', 'all']);
	const drawEffect = () => choose(['cut', 'refuse', 'lose', 'late', 'slow'] as const);
	const drawShare = (): number => choose([0.1, 0.3, 1]);

	const drawFault = (at: number): Fault => {
		const milliseconds = drawInteger(300, 6000);
		switch (choose(['kill', 'freeze', 'stop', 'store', 'store', 'workers', 'workers', 'machines', 'peers', 'crash', 'slow', 'failing', 'clock', 'wave'] as const)) {
			case 'kill': {
				return {
					type: 'kill', at, milliseconds: drawInteger(100, 3000), target: drawSelector(),
				};
			}

			case 'freeze': {
				return {
					type: 'freeze', at, milliseconds, target: choose(['owner', 'other']),
				};
			}

			case 'stop': {
				return {
					type: 'stop', at, milliseconds: drawInteger(100, 1000), target: choose(['owner', 'other']),
				};
			}

			case 'store': {
				return {
					type: 'store', at, milliseconds, target: drawSelector(), effect: drawEffect(), share: drawShare(),
				};
			}

			case 'workers': {
				return {
					type: 'workers', at, milliseconds, target: drawSelector(), effect: drawEffect(), share: drawShare(), workers: choose([0.2, 0.5, 1]),
				};
			}

			case 'machines': {
				return {
					type: 'machines', at, milliseconds, effect: drawEffect(), share: drawShare(),
				};
			}

			case 'peers': {
				return {
					type: 'peers', at, milliseconds, effect: drawEffect(), share: drawShare(),
				};
			}

			case 'crash': {
				return {
					type: 'crash', at, milliseconds: drawInteger(200, 6000), workers: choose([0.1, 0.4]), keepsName: random() < 0.5,
				};
			}

			case 'slow': {
				return {
					type: 'slow', at, milliseconds, workers: 0.3, speed: choose([0, 0.15]),
				};
			}

			case 'failing': {
				return {
					type: 'failing', at, milliseconds, workers: 0.2,
				};
			}

			case 'clock': {
				return {
					type: 'clock', at, milliseconds, target: drawSelector(), stepMilliseconds: choose([-3000, 2000, 5000]),
				};
			}

			case 'wave': {
				return {
					type: 'wave', at, milliseconds: drawInteger(12_000, 20_000), share: 0.5, maximumAtOnce: choose([1, 2, 3]),
				};
			}
		}
	};

	const faults: Fault[] = [];
	let at = drawInteger(500, latestFaultMilliseconds / 2);
	for (let index = 0; index < count; index += 1) {
		faults.push(drawFault(at));
		at = random() < 0.5 ? at + drawInteger(0, maximumFollowUpMilliseconds) : drawInteger(500, latestFaultMilliseconds);
	}

	return faults.toSorted((left, right) => left.at - right.at);
};

/** Runs the fault schedule of a seed. */
export const runSchedule = async (seed: number, policy: SimulationPolicy = defaultPolicy): Promise<SimulationResult> => runSimulation({
	load: smallLoad, faults: drawFaults(createRandom(seed * faultSeedFactor), faultsPerSchedule), seed, ...policy,
});

/**
 * An evacuation, a change of the owner from 2 s before it until 6 s after it, and further faults. Separate from
 * `drawFaults`, whose seeds stand for schedules that violated a rule in an earlier version.
 */
export const drawEvacuationFaults = (random: () => number): Fault[] => {
	const at = 2000 + Math.round(random() * 8000);
	const ownerAt = at - 2000 + Math.round(random() * 8000);
	const type = (['kill', 'freeze', 'stop'] as const)[Math.floor(random() * 3)]!;
	const evacuation: Fault = {
		type: 'evacuation', at, milliseconds: 7000 + Math.round(random() * 7000), zone: evacuationZones[Math.floor(random() * evacuationZones.length)]!,
	};
	const ownerChange: Fault = {
		type, at: ownerAt, milliseconds: 1000 + Math.round(random() * 3000), target: 'owner',
	};
	return [evacuation, ownerChange, ...drawFaults(random, faultsBesideEvacuation)].toSorted((left, right) => left.at - right.at);
};

/** Two waves over most machines, overlapping changes of the owner, and a slow store: the counts of tasks that are away have to survive each takeover. */
export const drawWaveFaults = (random: () => number): Fault[] => {
	const drawInteger = (low: number, high: number): number => Math.round(low + (random() * (high - low)));
	const waves = [2000, 13_000].map((at): Fault => ({
		type: 'wave', at: at + drawInteger(0, 2000), milliseconds: drawInteger(9000, 14_000), share: 0.8, maximumAtOnce: drawInteger(2, 4),
	}));
	const ownerChanges = [4000, 9000, 15_000, 19_000].map((at): Fault => ({
		type: (['kill', 'freeze', 'stop'] as const)[Math.floor(random() * 3)]!, at: at + drawInteger(0, 3000), milliseconds: drawInteger(500, 3000), target: 'owner',
	}));
	const slowStore: Fault = {
		type: 'store', at: drawInteger(2000, 16_000), milliseconds: 6000, target: 'all', effect: 'slow', share: 1,
	};
	return [...waves, ...ownerChanges, slowStore].toSorted((left, right) => left.at - right.at);
};

/** Workers write their entries in the worker list at this interval. */
const registrationMilliseconds = 1500;
/** Time without entries of workers that do not reach the store. */
const lateRegistrationMilliseconds = 6000;
/** Starts of the groups of faults in a schedule with restarts of workers. */
const restartTimes = [1000, 8000, 15_000] as const;

/**
 * Groups of faults in close succession: workers restart under their names while the store is slow, the owner is stopped
 * or killed, and workers are cut off. Separate from `drawFaults`, as the evacuations are.
 */
export const drawRestartFaults = (random: () => number): Fault[] => {
	const drawInteger = (low: number, high: number): number => Math.round(low + (random() * (high - low)));
	const choose = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]!;
	return restartTimes.flatMap((earliest): Fault[] => {
		const restartAt = earliest + drawInteger(500, 3000);
		const faults: Fault[] = [
			{
				type: 'restart', at: restartAt, milliseconds: drawInteger(0, 150), workers: choose([0.3, 0.6, 1]),
				registrationMilliseconds: choose([registrationMilliseconds, lateRegistrationMilliseconds]),
			},
			{
				type: 'restart', at: restartAt + drawInteger(200, 4000), milliseconds: drawInteger(0, 150), workers: 0.3, registrationMilliseconds,
			},
			{
				type: 'store', at: restartAt - drawInteger(0, 1000), milliseconds: drawInteger(1000, 4500), target: 'all', effect: 'slow', share: 1,
			},
			{
				type: 'workers', at: restartAt + drawInteger(300, 3500), milliseconds: drawInteger(3000, 5500), target: 'all',
				effect: choose(['cut', 'cut', 'slow']), share: 1, workers: choose([0.2, 0.5]),
			},
			{
				type: choose(['stop', 'kill']), at: restartAt + drawInteger(0, 3500), milliseconds: drawInteger(500, 3000), target: 'owner',
			},
		];
		// Each group leaves out some, so that they also occur without each other.
		return faults.filter((fault, index) => index === 0 || random() < 0.6);
	}).toSorted((left, right) => left.at - right.at);
};

/** The instances that are killed in a schedule with a takeover stay away. */
const untilEndMilliseconds = 120_000;
/** Time in which another instance takes over, while the store is slow, once the lease of a lost owner has expired. */
const takeoverMilliseconds = 5000;

/**
 * All instances but one are lost and the store is slow; it fails at any request of the takeover, and again while the
 * instance tries once more. Separate from `drawFaults`, as the evacuations are.
 */
export const drawTakeoverFaults = (random: () => number): Fault[] => {
	const drawInteger = (low: number, high: number): number => Math.round(low + (random() * (high - low)));
	const choose = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]!;
	const lostAt = drawInteger(1000, 6000);
	const faults: Fault[] = (['other', 'owner'] as const).map(target => ({
		type: 'kill', at: lostAt, milliseconds: untilEndMilliseconds, target,
	}));
	const addStoreFault = (at: number, milliseconds: number, effect: NetworkFault['effect'], share: number): number => {
		faults.push({
			type: 'store', at, milliseconds, target: 'all', effect, share,
		});
		return at + milliseconds;
	};

	let slowSince = lostAt;
	let earliestFailure = lostAt + ownerLeaseMilliseconds;
	for (let failure = 0; failure < 2; failure += 1) {
		// The store is not slow meanwhile: the fault that begins first decides on the effect.
		const failsAt = earliestFailure + drawInteger(0, takeoverMilliseconds);
		addStoreFault(slowSince, failsAt - slowSince, 'slow', 1);
		slowSince = addStoreFault(failsAt, drawInteger(300, 4400), choose(['cut', 'cut', 'refuse', 'lose', 'late']), choose([0.5, 1, 1]));
		earliestFailure = slowSince;
	}

	return faults;
};

/** Runs the schedule of a seed in which the last instance takes over while the store fails. */
export const runTakeoverSchedule = async (seed: number, policy: SimulationPolicy = defaultPolicy): Promise<SimulationResult> => runSimulation({
	load: smallLoad, faults: drawTakeoverFaults(createRandom(seed * faultSeedFactor)), seed, ...policy,
});

/** Runs the schedule of a seed in which workers restart under their names. */
export const runRestartSchedule = async (seed: number, policy: SimulationPolicy = defaultPolicy): Promise<SimulationResult> => runSimulation({
	load: longTaskLoad, faults: drawRestartFaults(createRandom(seed * faultSeedFactor)), seed, ...policy,
});

/** Runs the schedule of a seed with waves during changes of the owner. */
export const runWaveSchedule = async (seed: number, policy: SimulationPolicy = defaultPolicy): Promise<SimulationResult> => runSimulation({
	load: smallLoad, faults: drawWaveFaults(createRandom(seed * faultSeedFactor)), seed, ...policy,
});

/** Runs the schedule of a seed with an evacuation during a change of the owner. */
export const runEvacuationSchedule = async (seed: number): Promise<SimulationResult> => runSimulation({
	load: smallLoad, faults: drawEvacuationFaults(createRandom(seed * faultSeedFactor)), seed, ...defaultPolicy,
});
