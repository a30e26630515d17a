/** Formats Markdown tables, which docs/measures.md contains as printed. */
import {measureNames} from './measure.js';
import type {PolicyFigures, SeedFigures, TickSummary} from './measure.js';

const median = (values: readonly number[]): number => values.toSorted((left, right) => left - right)[Math.floor((values.length - 1) / 2)] ?? Number.NaN;

/** Median and maximum, which is the worst value: for all figures, lower is better. */
const formatMedianAndMaximum = (values: readonly number[]): string => `${median(values).toFixed(1)} / ${Math.max(...values).toFixed(1)}`;

const formatTable = (header: readonly string[], rows: readonly string[][]): string =>
	[header, header.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`).join('\n');

const formatTicks = ({medianMicroseconds, p99Microseconds, maximumMicroseconds}: TickSummary): string =>
	[medianMicroseconds, p99Microseconds, maximumMicroseconds].map(value => (value / 1000).toFixed(2)).join(' / ');

const formatMedianAndWorst = (figures: PolicyFigures, read: (seed: SeedFigures) => number): string => formatMedianAndMaximum(figures.seeds.map(seed => read(seed)));

export const formatMeasures = (all: readonly PolicyFigures[]): string => formatTable(
	['policy', 'buffer cost, %', 'roll-out, h', 'moves per hour', 'share distance, %'],
	all.map(figures => [figures.policy, ...measureNames.map(name => formatMedianAndWorst(figures, seed => seed.measures[name]))]),
);

export const formatDetails = (all: readonly PolicyFigures[]): string => formatTable(
	['policy', 'urgent start, s', 'overloaded, % of worker time', 'idle of worker use, %', 'interrupted jobs per hour', 'wait for a slot, s', 'writes of the wave'],
	all.map(figures => [
		figures.policy,
		formatMedianAndWorst(figures, seed => seed.jobs.slowestUrgentSeconds),
		formatMedianAndWorst(figures, seed => 100 * seed.jobs.overloadFraction),
		formatMedianAndWorst(figures, seed => 100 * (1 - seed.jobs.usedFraction)),
		formatMedianAndWorst(figures, seed => seed.jobs.interruptedPerHour),
		formatMedianAndWorst(figures, seed => seed.pools.meanWaitSeconds),
		formatMedianAndWorst(figures, seed => seed.wave.writes),
	]),
);

export const formatCosts = (all: readonly PolicyFigures[]): string => formatTable(
	['policy', 'jobs tick, ms', 'pools tick, ms', 'ledger tick, ms', 'heap, MB'],
	all.map(figures => [figures.policy, formatTicks(figures.ticks.jobs), formatTicks(figures.ticks.pools), formatTicks(figures.ticks.wave), figures.heapMegabytes.toFixed(0)]),
);
