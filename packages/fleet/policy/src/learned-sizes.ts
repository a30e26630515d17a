/**
 * Learns the sizes of jobs per team and queue from usage reports. Declared
 * sizes are inaccurate, so a reservation is based on the ratio of used to
 * declared resources in earlier jobs of the class.
 */
import type {QueueName, TeamName} from '@turmericbay/types';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {Resources} from './resources.js';

/** Ratios are recorded in thousandths. */
const ratioScale = 1000;
const maximumRatio = 1000 * ratioScale;
/** With fewer reports, the upper quantile is too inaccurate and the declared size is used. */
const minimumReports = 20;
/** Quantiles are cached for this many reports, since each placement needs them and reading them iterates over the whole histogram. */
const reportsPerRefresh = 20;
/** The current and the previous window of this many reports are kept, so that estimates follow changes of the class. */
const reportsPerWindow = 500;

/** Reservation for a job: its expected usage, and the deviation that it exceeds only with the given overrun probability. */
export type SizeEstimate = {
	readonly expected: Resources;
	readonly deviation: Resources;
};

type LearnedResource = 'processors' | 'memoryGigabytes';
type ReportWindow = Record<LearnedResource, Histogram>;
type Ratios = Record<LearnedResource, {readonly median: number; readonly upperQuantile: number}>;
type LearnedClass = {current: ReportWindow; previous: ReportWindow | undefined; count: number; ratios: Ratios | undefined};

export type JobClass = {readonly team: TeamName; readonly queue: QueueName};

export type LearnedSizes = {
	/** Records the largest usage of a job so far; reports lag and may repeat. */
	report(options: JobClass & {readonly declared: Resources; readonly used: Resources}): void;
	estimate(options: JobClass & {readonly declared: Resources}): SizeEstimate;
	forget(options: JobClass): void;
	size(): number;
};

export const formatJobClass = ({team, queue}: JobClass) => `${team}/${queue}`;

const createHistogram = () => build({highestTrackableValue: maximumRatio, numberOfSignificantValueDigits: 1, bitBucketSize: 32});
const createWindow = (): ReportWindow => ({processors: createHistogram(), memoryGigabytes: createHistogram()});

const readQuantile = (learned: LearnedClass, resource: LearnedResource, percentile: number): number => {
	const windows = [learned.current, learned.previous].filter(window => window !== undefined);
	const total = windows.reduce((sum, window) => sum + window[resource].totalCount, 0);
	return windows.reduce((sum, window) => sum + (window[resource].getValueAtPercentile(percentile) * window[resource].totalCount), 0) / total / ratioScale;
};

export const createLearnedSizes = (options: {
	/** Probability that a job exceeds its estimate; the upper quantile is 1 minus this. */
	readonly overrunProbability: number;
}): LearnedSizes => {
	const classes = new Map<string, LearnedClass>();
	const upperPercentile = 100 * (1 - options.overrunProbability);

	const recordRatio = (window: ReportWindow, resource: LearnedResource, used: Resources, declared: Resources) => {
		if (declared[resource] > 0) {
			const ratio = Math.round(ratioScale * used[resource] / declared[resource]);
			window[resource].recordValue(Math.min(maximumRatio, Math.max(1, ratio)));
		}
	};

	const readQuantiles = (learned: LearnedClass, resource: LearnedResource) =>
		({median: readQuantile(learned, resource, 50), upperQuantile: readQuantile(learned, resource, upperPercentile)});

	const estimateResource = (learned: LearnedClass, resource: LearnedResource, declared: Resources) => {
		learned.ratios ??= {processors: readQuantiles(learned, 'processors'), memoryGigabytes: readQuantiles(learned, 'memoryGigabytes')};
		const {median, upperQuantile} = learned.ratios[resource];
		return {expected: declared[resource] * median, deviation: declared[resource] * Math.max(0, upperQuantile - median)};
	};

	return {
		report({team, queue, declared, used}) {
			const name = formatJobClass({team, queue});
			let learned = classes.get(name) ?? {
				current: createWindow(), previous: undefined, count: 0, ratios: undefined,
			};
			if (learned.count >= reportsPerWindow) {
				learned = {
					current: createWindow(), previous: learned.current, count: 0, ratios: learned.ratios,
				};
			}

			recordRatio(learned.current, 'processors', used, declared);
			recordRatio(learned.current, 'memoryGigabytes', used, declared);
			learned.count++;
			learned.ratios = learned.count % reportsPerRefresh === 0 ? undefined : learned.ratios;
			classes.set(name, learned);
		},
		estimate({team, queue, declared}) {
			const learned = classes.get(formatJobClass({team, queue}));
			const {accelerators} = declared;
			if (!learned || (learned.count < minimumReports && !learned.previous)) {
				return {expected: declared, deviation: {processors: 0, memoryGigabytes: 0, accelerators: 0}};
			}

			const processors = estimateResource(learned, 'processors', declared);
			const memory = estimateResource(learned, 'memoryGigabytes', declared);
			return {
				expected: {processors: processors.expected, memoryGigabytes: memory.expected, accelerators},
				deviation: {processors: processors.deviation, memoryGigabytes: memory.deviation, accelerators: 0},
			};
		},
		forget(jobClass) {
			classes.delete(formatJobClass(jobClass));
		},
		size: () => classes.size,
	};
};
