/** Command `npm run experiment:places`: compares rules for how long tasks wait for their preferred rack, on the same generated loads. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import type {DecidePlace} from '@turmericbay/scheduler';
import {ElsewhereReason} from '@turmericbay/scheduler';
import {placeWaitLoads} from './place-wait-loads.js';
import type {PlaceWaitFigures, PlaceWaitRule} from './place-wait-run.js';
import {runPlaceWaitLoad} from './place-wait-run.js';

const neverWait: DecidePlace = ({now, here, elsewhereEndAt}) => here && here.startAt <= now && here.endAt <= elsewhereEndAt
	? {type: 'start-here'}
	: {type: 'start-elsewhere', reason: ElsewhereReason.EndsSooner};

/** Delay scheduling: each task waits for its rack for up to the same time. */
const waitFor = (milliseconds: number): DecidePlace => ({now, here, wait}) => {
	if (here && here.startAt <= now) {
		return {type: 'start-here'};
	}

	const boundAt = wait?.boundAt ?? now + milliseconds;
	return boundAt > now ? {type: 'wait', until: boundAt, boundAt} : {type: 'start-elsewhere', reason: ElsewhereReason.Bound};
};

const rules: readonly PlaceWaitRule[] = [
	{name: 'score only (before)', farFactor: 1, decidePlace: undefined},
	{name: 'no wait', farFactor: 2, decidePlace: neverWait},
	{name: 'fixed, 300 ms', farFactor: 2, decidePlace: waitFor(300)},
	{name: 'fixed, 1000 ms', farFactor: 2, decidePlace: waitFor(1000)},
	{name: 'expected ends', farFactor: 2, decidePlace: undefined},
];

const {values} = parseArgs({options: {seeds: {type: 'string', default: '3'}, from: {type: 'string', default: '1'}}});

const pickQuantile = (sorted: readonly number[], quantile: number): number => sorted[Math.floor(quantile * (sorted.length - 1))] ?? 0;

const formatRow = (name: string, runs: readonly PlaceWaitFigures[]): string => {
	const sum = (read: (run: PlaceWaitFigures) => number): number => runs.map(run => read(run)).reduce((total, value) => total + value, 0);
	const latencies = runs.flatMap(run => run.latencies).toSorted((left, right) => left - right);
	const waits = runs.flatMap(run => run.waitedMilliseconds).toSorted((left, right) => left - right);
	const ticks = runs.flatMap(run => run.tickDurations).toSorted((left, right) => left - right);
	const jobs = sum(run => run.jobs);
	return [
		name,
		jobs,
		(100 * sum(run => run.jobsInTime) / jobs).toFixed(1),
		(sum(run => run.latencies.length) / jobs * 100).toFixed(1),
		(latencies.reduce((total, value) => total + value, 0) / Math.max(1, latencies.length)).toFixed(0),
		pickQuantile(latencies, 0.95),
		(100 * sum(run => run.farTasks) / sum(run => run.tasks)).toFixed(1),
		waits.length,
		pickQuantile(waits, 0.5),
		pickQuantile(waits, 1),
		pickQuantile(ticks, 0.5).toFixed(2),
		pickQuantile(ticks, 0.99).toFixed(2),
	].join(' | ');
};

const header = '| rule | jobs | in time, % | ended, % | mean latency, ms | 95th percentile, ms | far tasks, % '
	+ '| waits | median wait, ms | longest wait, ms | tick, median, ms | tick, 99th percentile, ms |';
const columnCount = 12;
for (const load of placeWaitLoads) {
	process.stdout.write(`\n### ${load.name}\n\n${header}\n|${' --- |'.repeat(columnCount)}\n`);
	for (const rule of rules) {
		const runs = Array.from({length: Number(values.seeds)}, (_, index) => runPlaceWaitLoad(load, rule, Number(values.from) + index));
		process.stdout.write(`| ${formatRow(rule.name, runs)} |\n`);
	}
}
