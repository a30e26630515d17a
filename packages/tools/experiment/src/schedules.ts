/** Random fault schedules: a few faults of any kind at any moment, some of them shortly after each other. */
import type {Fault, Target} from './faults.js';
import {smallLoad} from './load.js';
import type {RunFigures} from './run-site.js';
import {createRandom, runSite, usualPolicy} from './run-site.js';

/** Faults begin within this part of the load, so that what they leave behind shows. */
const spanMilliseconds = 22_000;
/** Half of the faults follow the one before within this time. */
const closeMilliseconds = 2500;

/** Faults of a drawn schedule; a few at a time, so that a cause can be found. */
const faultsPerSchedule = 4;
/** Draws of a schedule's faults and of its load come from different seeds. */
const faultSeedFactor = 7919;

export const drawFaults = (random: () => number, count: number): Fault[] => {
	const between = (low: number, high: number): number => Math.round(low + (random() * (high - low)));
	const choose = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]!;
	const target = (): Target => choose<Target>(['owner', 'owner', 'owner', 'other', 'all']);
	const effect = () => choose(['cut', 'refuse', 'lose', 'late', 'slow'] as const);
	const share = (): number => choose([0.1, 0.3, 1]);

	const draw = (at: number): Fault => {
		const milliseconds = between(300, 6000);
		switch (choose(['kill', 'freeze', 'stop', 'store', 'store', 'workers', 'workers', 'machines', 'peers', 'crash', 'slow', 'failing', 'clock', 'wave'] as const)) {
			case 'kill': {
				return {
					type: 'kill', at, milliseconds: between(100, 3000), target: target(),
				};
			}

			case 'freeze': {
				return {
					type: 'freeze', at, milliseconds, target: choose(['owner', 'other']),
				};
			}

			case 'stop': {
				return {
					type: 'stop', at, milliseconds: between(100, 1000), target: choose(['owner', 'other']),
				};
			}

			case 'store': {
				return {
					type: 'store', at, milliseconds, target: target(), effect: effect(), share: share(),
				};
			}

			case 'workers': {
				return {
					type: 'workers', at, milliseconds, target: target(), effect: effect(), share: share(), workers: choose([0.2, 0.5, 1]),
				};
			}

			case 'machines': {
				return {
					type: 'machines', at, milliseconds, effect: effect(), share: share(),
				};
			}

			case 'peers': {
				return {
					type: 'peers', at, milliseconds, effect: effect(), share: share(),
				};
			}

			case 'crash': {
				return {
					type: 'crash', at, milliseconds: between(200, 6000), workers: choose([0.1, 0.4]), keepsName: random() < 0.5,
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
					type: 'clock', at, milliseconds, target: target(), stepMilliseconds: choose([-3000, 2000, 5000]),
				};
			}

			case 'wave': {
				return {
					type: 'wave', at, milliseconds: between(12_000, 20_000), share: 0.5, maximumAtOnce: choose([1, 2, 3]),
				};
			}
		}
	};

	const faults: Fault[] = [];
	let at = between(500, spanMilliseconds / 2);
	for (let index = 0; index < count; index += 1) {
		faults.push(draw(at));
		at = random() < 0.5 ? at + between(0, closeMilliseconds) : between(500, spanMilliseconds);
	}

	return faults.toSorted((left, right) => left.at - right.at);
};

/** Plays the schedule that belongs to a seed; the same for the tests and the command. */
export const playSchedule = async (seed: number): Promise<RunFigures> => runSite({
	load: smallLoad, faults: drawFaults(createRandom(seed * faultSeedFactor), faultsPerSchedule), seed, ...usualPolicy,
});
