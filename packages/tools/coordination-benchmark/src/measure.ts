/** Measures one fleet size when idle, under load and after failures. */
import {decodeShard, grantsPrefix} from '@turmericbay/grant-ledger';
import {createBenchmarkFleet} from './fleet.js';
import type {BenchmarkFleet, FleetSize} from './fleet.js';
import {startLoad} from './load.js';

export type Rates = {readonly callsPerSecond: number; readonly bytesPerSecond: number; readonly claimWritesPerSecond: number};

export type FailureMeasurement = {readonly name: string; readonly units: number; readonly seconds: number; readonly rates: Rates};

export type Measurement = {
	readonly size: FleetSize;
	readonly idle: Rates;
	readonly load: Rates;
	readonly claimMilliseconds: {readonly p50: number; readonly p99: number};
	readonly claims: {readonly granted: number; readonly rejected: number};
	readonly requests: {readonly acquired: number; readonly unavailable: number};
	readonly grantTickMicroseconds: {readonly p50: number; readonly p99: number; readonly mean: number};
	readonly claimTickMicroseconds: {readonly p50: number; readonly p99: number; readonly mean: number};
	readonly failures: readonly FailureMeasurement[];
};

const warmUpMilliseconds = 40_000;
const phaseMilliseconds = 20_000;

const sumCounters = ({fleet}: BenchmarkFleet) => {
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

/** Calls and bytes are per second and instance, claim writes per second of the whole fleet. */
const measureRates = async (benchmark: BenchmarkFleet, run: () => Promise<void>): Promise<Rates> => {
	const before = sumCounters(benchmark);
	const start = benchmark.simulation.clock.monotonicMilliseconds();
	await run();
	const seconds = (benchmark.simulation.clock.monotonicMilliseconds() - start) / 1000;
	const after = sumCounters(benchmark);
	const instanceSeconds = seconds * benchmark.size.instances;
	return {
		callsPerSecond: (after.calls - before.calls) / instanceSeconds,
		bytesPerSecond: (after.bytes - before.bytes) / instanceSeconds,
		claimWritesPerSecond: (after.claimWrites - before.claimWrites) / seconds,
	};
};

/** Units of all team limits that the grant ledger assigns to one incarnation. */
const countUnits = ({fleet}: BenchmarkFleet, incarnation: string): number => {
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

const pauseMilliseconds = 20_000;

/** Measures how many units of team limits one failed instance holds and for how long no other instance can use them, under load. */
const measureFailure = async (benchmark: BenchmarkFleet, failure: 'killed' | 'frozen' | 'stopped', position: number): Promise<FailureMeasurement> => {
	const {simulation, fleet} = benchmark;
	const {identity, process, component} = fleet.members[position]!;
	startLoad(benchmark, 60_000);
	await simulation.run(5000);
	const units = countUnits(benchmark, identity.incarnation);
	const start = simulation.clock.monotonicMilliseconds();
	if (failure === 'killed') {
		fleet.kill(position);
	} else if (failure === 'frozen') {
		process.pause();
		simulation.after(pauseMilliseconds, () => {
			process.resume();
		});
	} else {
		component.grants.startDraining();
		component.claims.startDraining();
	}

	let seconds: number | undefined;
	const rates = await measureRates(benchmark, async () => {
		for (let step = 0; step < 220; step += 1) {
			// eslint-disable-next-line no-await-in-loop -- Reads the ledger after each step.
			await simulation.run(250);
			const isOver = failure === 'frozen' ? !process.isPaused() : countUnits(benchmark, identity.incarnation) === 0;
			seconds ??= isOver ? (simulation.clock.monotonicMilliseconds() - start) / 1000 : undefined;
		}
	});
	if (failure === 'stopped') {
		fleet.kill(position);
	}

	return {
		name: failure, units, seconds: seconds ?? Number.NaN, rates,
	};
};

const summarize = (histogram: BenchmarkFleet['grantTickMicroseconds']) => ({
	p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), mean: histogram.mean,
});

export const measure = async (size: FleetSize, seed: number): Promise<Measurement> => {
	const benchmark = createBenchmarkFleet(size, seed);
	const {simulation} = benchmark;
	await simulation.run(warmUpMilliseconds);
	const idle = await measureRates(benchmark, async () => simulation.run(phaseMilliseconds));
	benchmark.grantTickMicroseconds.reset();
	benchmark.claimTickMicroseconds.reset();
	const result = startLoad(benchmark, phaseMilliseconds);
	const load = await measureRates(benchmark, async () => simulation.run(phaseMilliseconds));
	const [grantTickMicroseconds, claimTickMicroseconds] = [summarize(benchmark.grantTickMicroseconds), summarize(benchmark.claimTickMicroseconds)];
	await simulation.run(3000);
	const failures: FailureMeasurement[] = [];
	for (const [position, failure] of (['killed', 'frozen', 'stopped'] as const).entries()) {
		// eslint-disable-next-line no-await-in-loop -- One failure at a time.
		failures.push(await measureFailure(benchmark, failure, position));
	}

	const {claimLatencyMicroseconds, granted, rejected, acquired, unavailable} = result;
	return {
		size,
		idle,
		load,
		claimMilliseconds: {p50: claimLatencyMicroseconds.getValueAtPercentile(50) / 1000, p99: claimLatencyMicroseconds.getValueAtPercentile(99) / 1000},
		claims: {granted, rejected},
		requests: {acquired, unavailable},
		grantTickMicroseconds,
		claimTickMicroseconds,
		failures,
	};
};
