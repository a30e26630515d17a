/**
 * Measures the resources that entry instances use without any requests, at
 * several fleet sizes. One sweep varies the listed instances, one the teams and
 * one the entry instances.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createLauncher, startFleet} from '@turmericbay/demo';
import {fitLine} from './fit.js';
import {createSizedDocument, listSizedInstances, listZones} from './fleet-size.js';
import type {FleetSize} from './fleet-size.js';
import {readProcessUsage} from './process-usage.js';

type Measurement = {
	readonly size: FleetSize;
	/** CPU time in percent of one core. */
	readonly processorPercent: number;
	readonly residentMegabytes: number;
	readonly kilobytesPerSecond: number;
	readonly storeCallsPerSecond: number;
};

type Sweep = {readonly name: string; readonly variable: 'workers' | 'teams' | 'entriesPerZone'; readonly sizes: readonly FleetSize[]};

const warmUpMilliseconds = 15_000;
const measuredMilliseconds = 20_000;

const baseSize: FleetSize = {
	zones: 3, entriesPerZone: 3, workers: 35, pools: 6, teams: 6,
};

const sweeps: readonly Sweep[] = [
	{name: 'listed workers', variable: 'workers', sizes: [35, 300, 1000, 3000].map(workers => ({...baseSize, workers}))},
	{name: 'teams', variable: 'teams', sizes: [6, 60, 240, 720].map(teams => ({...baseSize, teams}))},
	{name: 'entry instances per zone, 3 zones', variable: 'entriesPerZone', sizes: [2, 4, 8, 12].map(entriesPerZone => ({...baseSize, entriesPerZone}))},
	{
		name: 'target lists and teams at 9 entry instances',
		variable: 'workers',
		sizes: [{
			...baseSize, workers: 3000, pools: 316, teams: 720,
		}],
	},
];

const average = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const sumCalls = (counters: Readonly<Record<string, unknown>>): number => Object.values(counters)
	.reduce<number>((sum, value) => sum + (typeof value === 'number' ? value : sumCalls(value as Readonly<Record<string, unknown>>)), 0); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- Nested tables of numbers.

const measureSize = async (size: FleetSize): Promise<Measurement> => {
	const launcher = await createLauncher();
	try {
		const fleet = await startFleet(launcher, {
			zones: listZones(size), entriesPerZone: size.entriesPerZone, upstreamsPerZone: {}, document: createSizedDocument(size),
		});
		for (const record of listSizedInstances(size)) {
			// eslint-disable-next-line no-await-in-loop -- One call at a time, so that thousands do not reach the stand-in at once.
			await fleet.platform.control.setInstance(record);
		}

		await sleep(warmUpMilliseconds);
		const readAll = async () => Promise.all(fleet.entries.map(async ({processId}) => readProcessUsage(processId)));
		await fleet.platform.control.resetCounters();
		const before = await readAll();
		await sleep(measuredMilliseconds);
		const after = await readAll();
		const calls = sumCalls(await fleet.platform.control.readCounters());
		const perSecond = 1000 / measuredMilliseconds;
		return {
			size,
			processorPercent: average(after.map((usage, index) => (usage.processorMilliseconds - before[index]!.processorMilliseconds) / measuredMilliseconds * 100)),
			residentMegabytes: average(after.map(({residentBytes}) => residentBytes / 1_048_576)),
			kilobytesPerSecond: average(after.map((usage, index) => (usage.transferredBytes - before[index]!.transferredBytes) / 1000 * perSecond)),
			storeCallsPerSecond: calls * perSecond / fleet.entries.length,
		};
	} finally {
		await launcher.shutDown();
	}
};

const figureNames = ['processorPercent', 'residentMegabytes', 'kilobytesPerSecond', 'storeCallsPerSecond'] as const;

const printSweep = ({name, variable}: Sweep, measurements: readonly Measurement[]): void => {
	console.log(`\n${name}`);
	console.log(`| ${variable} | processor % of a core | resident MB | KB/s | store calls/s |`);
	console.log('| --- | --- | --- | --- | --- |');
	for (const measurement of measurements) {
		console.log(`| ${measurement.size[variable]} | ${figureNames.map(column => measurement[column].toFixed(2)).join(' | ')} |`);
	}

	if (measurements.length > 1) {
		const lines = figureNames.map(column => fitLine(measurements.map(measurement => ({x: measurement.size[variable], y: measurement[column]}))));
		console.log(`| slope | ${lines.map(({slope}) => slope.toPrecision(3)).join(' | ')} |`);
		console.log(`| R² | ${lines.map(({rSquared}) => rSquared.toFixed(2)).join(' | ')} |`);
	}
};

const {values} = parseArgs({options: {json: {type: 'boolean', default: false}, sweep: {type: 'string'}}});
const results: Array<{sweep: string; measurements: readonly Measurement[]}> = [];
for (const sweep of sweeps.filter(({name}) => values.sweep === undefined || name.startsWith(values.sweep))) {
	const measurements: Measurement[] = [];
	for (const size of sweep.sizes) {
		// eslint-disable-next-line no-await-in-loop -- One size at a time, so that the measurements do not affect each other.
		measurements.push(await measureSize(size));
	}

	results.push({sweep: sweep.name, measurements});
	if (!values.json) {
		printSweep(sweep, measurements);
	}
}

if (values.json) {
	process.stdout.write(`${JSON.stringify(results, undefined, '\t')}\n`);
}
