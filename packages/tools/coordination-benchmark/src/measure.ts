/** Measures one size: idle, under load, and the units that lie idle after failures. */
import {decodeShard, grantsPrefix} from '@turmericbay/grant-ledger';
import {createBenchmarkFleet} from './fleet.js';
import type {BenchmarkFleet, Size} from './fleet.js';
import {startLoad} from './load.js';

export type Rates = {readonly callsPerSecond: number; readonly bytesPerSecond: number; readonly claimWritesPerSecond: number};

export type Failure = {readonly name: string; readonly units: number; readonly seconds: number; readonly rates: Rates};

export type Measurement = {
	readonly size: Size;
	readonly idle: Rates;
	readonly load: Rates;
	readonly claimMilliseconds: {readonly p50: number; readonly p99: number};
	readonly claims: {readonly granted: number; readonly refused: number};
	readonly requests: {readonly acquired: number; readonly denied: number};
	readonly grantTickMicroseconds: {readonly p50: number; readonly p99: number; readonly mean: number};
	readonly claimTickMicroseconds: {readonly p50: number; readonly p99: number; readonly mean: number};
	readonly failures: readonly Failure[];
};

const warmUpMilliseconds = 40_000;
const phaseMilliseconds = 20_000;

const totals = ({fleet}: BenchmarkFleet) => {
	let calls = 0;
	let bytes = 0;
	let claimWrites = 0;
	for (const {store, component} of fleet.members) {
		calls += store.calls;
		bytes += store.bytes;
		claimWrites += component.claims.counters().writes;
	}

	return {calls, bytes, claimWrites};
};

/** Calls and bytes per instance and second; claim writes of the whole fleet. */
const ratesDuring = async (bench: BenchmarkFleet, run: () => Promise<void>): Promise<Rates> => {
	const before = totals(bench);
	const start = bench.simulation.clock.monotonicMilliseconds();
	await run();
	const seconds = (bench.simulation.clock.monotonicMilliseconds() - start) / 1000;
	const after = totals(bench);
	const per = seconds * bench.size.instances;
	return {
		callsPerSecond: (after.calls - before.calls) / per,
		bytesPerSecond: (after.bytes - before.bytes) / per,
		claimWritesPerSecond: (after.claimWrites - before.claimWrites) / seconds,
	};
};

/** Units of all teams that the ledger gives to one incarnation. */
const unitsOf = ({fleet}: BenchmarkFleet, incarnation: string): number => {
	let units = 0;
	for (const {key, value} of fleet.store.entries.values()) {
		if (key.startsWith(grantsPrefix)) {
			for (const row of decodeShard(value)?.values() ?? []) {
				for (const holding of row.holdings.values()) {
					units += holding.identity.incarnation === incarnation ? holding.units : 0;
				}
			}
		}
	}

	return units;
};

const frozenMilliseconds = 20_000;

/** Units that nobody can use, and for how long, under load. */
const measureFailure = async (bench: BenchmarkFleet, kind: 'killed' | 'frozen' | 'stopped', position: number): Promise<Failure> => {
	const {simulation, fleet} = bench;
	const {identity, process, component} = fleet.members[position]!;
	startLoad(bench, 60_000);
	await simulation.run(5000);
	const units = unitsOf(bench, identity.incarnation);
	const start = simulation.clock.monotonicMilliseconds();
	if (kind === 'killed') {
		fleet.kill(position);
	} else if (kind === 'frozen') {
		process.pause();
		simulation.after(frozenMilliseconds, () => {
			process.resume();
		});
	} else {
		component.grants.startDraining();
		component.claims.startDraining();
	}

	let seconds: number | undefined;
	const rates = await ratesDuring(bench, async () => {
		for (let step = 0; step < 220; step += 1) {
			// eslint-disable-next-line no-await-in-loop -- The ledger is looked at after each step.
			await simulation.run(250);
			const isOver = kind === 'frozen' ? !process.isPaused() : unitsOf(bench, identity.incarnation) === 0;
			seconds ??= isOver ? (simulation.clock.monotonicMilliseconds() - start) / 1000 : undefined;
		}
	});
	if (kind === 'stopped') {
		fleet.kill(position);
	}

	return {
		name: kind, units, seconds: seconds ?? Number.NaN, rates,
	};
};

const summary = (histogram: BenchmarkFleet['grantTicks']) => ({
	p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), mean: histogram.mean,
});

export const measure = async (size: Size, seed: number): Promise<Measurement> => {
	const bench = createBenchmarkFleet(size, seed);
	const {simulation} = bench;
	await simulation.run(warmUpMilliseconds);
	const idle = await ratesDuring(bench, async () => simulation.run(phaseMilliseconds));
	bench.grantTicks.reset();
	bench.claimTicks.reset();
	const result = startLoad(bench, phaseMilliseconds);
	const load = await ratesDuring(bench, async () => simulation.run(phaseMilliseconds));
	const [grantTickMicroseconds, claimTickMicroseconds] = [summary(bench.grantTicks), summary(bench.claimTicks)];
	await simulation.run(3000);
	const failures: Failure[] = [];
	for (const [position, kind] of (['killed', 'frozen', 'stopped'] as const).entries()) {
		// eslint-disable-next-line no-await-in-loop -- One failure after the other.
		failures.push(await measureFailure(bench, kind, position));
	}

	const {claimLatency, granted, refused, acquired, denied} = result;
	return {
		size,
		idle,
		load,
		claimMilliseconds: {p50: claimLatency.getValueAtPercentile(50) / 1000, p99: claimLatency.getValueAtPercentile(99) / 1000},
		claims: {granted, refused},
		requests: {acquired, denied},
		grantTickMicroseconds,
		claimTickMicroseconds,
		failures,
	};
};
