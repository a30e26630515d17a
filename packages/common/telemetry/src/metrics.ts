/**
 * Counters, gauges and latency histograms, rendered as Prometheus text
 * (exposition format 0.0.4).
 */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';

export type Labels = Readonly<Record<string, string>>;

export type Metrics = {
	increment(name: string, labels?: Labels, amount?: number): void;
	setGauge(name: string, value: number, labels?: Labels): void;
	/** Replaces all series of the gauge, so that those of things that are gone are not shown any more. */
	replaceGauges(name: string, series: ReadonlyArray<{readonly labels: Labels; readonly value: number}>): void;
	recordMilliseconds(name: string, milliseconds: number, labels?: Labels): void;
	renderPrometheusText(): string;
};

const quantiles = [0.5, 0.9, 0.99, 0.999] as const;
const microsecondsPerMillisecond = 1000;
/** One hour; longer durations are recorded as one hour. */
const highestTrackableMicroseconds = 3_600_000_000;

/** Label values can come from callers, so the number of series is bounded; further series are dropped. */
const maximumSeriesPerName = 4000;

const escapeLabelValue = (value: string): string =>
	value.replaceAll('\\', String.raw`\\`).replaceAll('"', String.raw`\"`).replaceAll('\n', String.raw`\n`);

const renderLabels = (labels: Labels): string => {
	const entries = Object.entries(labels).toSorted(([left], [right]) => left.localeCompare(right));
	return entries.length === 0
		? ''
		: `{${entries.map(([key, value]) => `${key}="${escapeLabelValue(value)}"`).join(',')}}`;
};

type Family<Value> = Map<string, {readonly labels: Labels; value: Value}>;

const findSeries = <Value>(options: {
	families: Map<string, Family<Value>>;
	name: string;
	labels: Labels;
	create: () => Value;
}): {readonly labels: Labels; value: Value} | undefined => {
	const {families, name, labels, create} = options;
	let family = families.get(name);
	if (family === undefined) {
		family = new Map();
		families.set(name, family);
	}

	const key = renderLabels(labels);
	let series = family.get(key);
	if (series === undefined && family.size < maximumSeriesPerName) {
		series = {labels, value: create()};
		family.set(key, series);
	}

	return series;
};

const renderSummary = (name: string, labels: Labels, histogram: Histogram): string[] => [
	...quantiles.map(quantile => {
		const seconds = histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMillisecond / 1000;
		return `${name}${renderLabels({...labels, quantile: String(quantile)})} ${seconds}`;
	}),
	`${name}_count${renderLabels(labels)} ${histogram.totalCount}`,
	`${name}_sum${renderLabels(labels)} ${histogram.mean * histogram.totalCount / microsecondsPerMillisecond / 1000}`,
];

const renderFamily = <Value>(options: {
	name: string;
	type: string;
	family: Family<Value>;
	renderSeries: (labels: Labels, value: Value) => readonly string[];
}): string[] => [
	`# TYPE ${options.name} ${options.type}`,
	...[...options.family.values()].flatMap(({labels, value}) => options.renderSeries(labels, value)),
];

/** Names follow Prometheus' conventions: `_total` for counters, `_seconds` for durations. */
export const createMetrics = (): Metrics => {
	const counters = new Map<string, Family<number>>();
	const gauges = new Map<string, Family<number>>();
	const histograms = new Map<string, Family<Histogram>>();
	const createNumber = () => 0;
	const createHistogram = () => build({highestTrackableValue: highestTrackableMicroseconds, numberOfSignificantValueDigits: 2, bitBucketSize: 32});

	return {
		increment(name, labels = {}, amount = 1) {
			const series = findSeries({
				families: counters, name, labels, create: createNumber,
			});
			if (series !== undefined) {
				series.value += amount;
			}
		},
		setGauge(name, value, labels = {}) {
			const series = findSeries({
				families: gauges, name, labels, create: createNumber,
			});
			if (series !== undefined) {
				series.value = value;
			}
		},
		replaceGauges(name, series) {
			gauges.delete(name);
			for (const {labels, value} of series) {
				const entry = findSeries({
					families: gauges, name, labels, create: createNumber,
				});
				if (entry !== undefined) {
					entry.value = value;
				}
			}
		},
		recordMilliseconds(name, milliseconds, labels = {}) {
			const series = findSeries({
				families: histograms, name, labels, create: createHistogram,
			});
			const microseconds = Math.round(Math.max(0, milliseconds) * microsecondsPerMillisecond);
			series?.value.recordValue(Math.min(microseconds, highestTrackableMicroseconds));
		},
		renderPrometheusText() {
			const renderNumber = (name: string) => (labels: Labels, value: number) => [`${name}${renderLabels(labels)} ${value}`];
			return [
				...[...counters].flatMap(([name, family]) => renderFamily({
					name, type: 'counter', family, renderSeries: renderNumber(name),
				})),
				...[...gauges].flatMap(([name, family]) => renderFamily({
					name, type: 'gauge', family, renderSeries: renderNumber(name),
				})),
				...[...histograms].flatMap(([name, family]) => renderFamily({
					name, type: 'summary', family, renderSeries: (labels, histogram) => renderSummary(name, labels, histogram),
				})),
				'',
			].join('\n');
		},
	};
};
