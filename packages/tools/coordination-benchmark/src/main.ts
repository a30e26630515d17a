/** Prints the figures of all fleet sizes, or of those with the numbers of entry instances given as arguments. */
import process from 'node:process';
import type {FleetSize} from './fleet.js';
import {measure} from './measure.js';
import type {Measurement} from './measure.js';
import {measureMemory} from './memory.js';

const seed = 20_264;

const sizes: readonly FleetSize[] = [
	{instances: 8, zones: 3, teams: 6},
	{instances: 16, zones: 4, teams: 720},
	{instances: 40, zones: 8, teams: 720},
	{instances: 80, zones: 16, teams: 720},
	{instances: 160, zones: 16, teams: 720},
];

const format = (value: number): string => {
	if (Number.isNaN(value)) {
		return '> 55';
	}

	return value >= 100 ? value.toFixed(0) : value.toPrecision(3);
};

type Row = {readonly name: string; readonly value: (measurement: Measurement) => number};

const rows: readonly Row[] = [
	{name: 'calls/s per instance, idle', value: ({idle}) => idle.callsPerSecond},
	{name: 'calls/s per instance, load', value: ({load}) => load.callsPerSecond},
	{name: 'KB/s per instance, idle', value: ({idle}) => idle.bytesPerSecond / 1000},
	{name: 'KB/s per instance, load', value: ({load}) => load.bytesPerSecond / 1000},
	{name: 'claim writes/s of all owners, load', value: ({load}) => load.claimWritesPerSecond},
	{name: 'claims/s granted', value: ({claims}) => claims.granted / 20},
	{name: 'claims refused', value: ({claims}) => claims.rejected},
	{name: 'claim latency p50, ms', value: ({claimMilliseconds}) => claimMilliseconds.p50},
	{name: 'claim latency p99, ms', value: ({claimMilliseconds}) => claimMilliseconds.p99},
	{name: 'requests/s with a unit', value: ({requests}) => requests.acquired / 20},
	{name: 'requests/s without a unit', value: ({requests}) => requests.unavailable / 20},
	{name: 'grant tick (each 50 ms) p50, µs', value: ({grantTickMicroseconds}) => grantTickMicroseconds.p50},
	{name: 'grant tick p99, µs', value: ({grantTickMicroseconds}) => grantTickMicroseconds.p99},
	{name: 'grant ticks, % of a core', value: ({grantTickMicroseconds}) => grantTickMicroseconds.mean * 20 / 10_000},
	{name: 'claim tick (each 20 ms) p50, µs', value: ({claimTickMicroseconds}) => claimTickMicroseconds.p50},
	{name: 'claim tick p99, µs', value: ({claimTickMicroseconds}) => claimTickMicroseconds.p99},
	{name: 'claim ticks, % of a core', value: ({claimTickMicroseconds}) => claimTickMicroseconds.mean * 50 / 10_000},
	...['killed', 'frozen', 'stopped'].flatMap((failure): Row[] => {
		const find = ({failures}: Measurement) => failures.find(({name}) => name === failure)!;
		return [
			{name: `${failure}: units idle`, value: measurement => find(measurement).units},
			{name: `${failure}: seconds idle`, value: measurement => find(measurement).seconds},
			{name: `${failure}: calls/s per instance`, value: measurement => find(measurement).rates.callsPerSecond},
		];
	}),
];

/** Slope per 100 entry instances of a least-squares fit over the sizes with 720 teams. */
const computeSlope = (measurements: readonly Measurement[], value: Row['value']): number => {
	const points = measurements.filter(({size}) => size.teams === 720).map(measurement =>
		({x: measurement.size.instances, y: value(measurement)}));
	const computeMean = (readCoordinate: (point: {x: number; y: number}) => number) => {
		let sum = 0;
		for (const point of points) {
			sum += readCoordinate(point);
		}

		return sum / points.length;
	};

	const x = computeMean(point => point.x);
	const y = computeMean(point => point.y);
	return 100 * computeMean(point => (point.x - x) * (point.y - y)) / computeMean(point => (point.x - x) ** 2);
};

const selectedInstances = process.argv.slice(2).map(Number);
const measurements: Measurement[] = [];
for (const size of sizes.filter(({instances}) => selectedInstances.length === 0 || selectedInstances.includes(instances))) {
	// eslint-disable-next-line no-await-in-loop -- One size at a time, since CPU time is measured.
	measurements.push(await measure(size, seed));
	process.stderr.write(`${size.instances} instances measured\n`);
}

const lines = [
	`seed ${seed}`,
	`| instances / zones / teams | ${measurements.map(({size}) => `${size.instances} / ${size.zones} / ${size.teams}`).join(' | ')} | slope per 100 |`,
	`| --- | ${measurements.map(() => '---:').join(' | ')} | ---: |`,
	...rows.map(({name, value}) => {
		const figures = measurements.map(measurement => format(value(measurement)));
		// With three sizes selected, at least two have 720 teams, which a slope needs.
		const slopeCell = measurements.length > 2 ? computeSlope(measurements, value).toPrecision(3) : '';
		return `| ${[name, ...figures, slopeCell].join(' | ')} |`;
	}),
];
const memory = await measureMemory();
process.stdout.write(`${lines.join('\n')}\n\nbytes per claim: ${format(memory.heapBytes)} in memory, ${format(memory.storedBytes)} in a segment with its settlement (${memory.claims} claims)\n`);
