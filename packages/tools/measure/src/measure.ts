/** Simulates a site with each policy and seed and computes the measures. */
import {runJobs} from './job-run.js';
import type {JobFigures} from './job-run.js';
import {policies} from './policies.js';
import type {MeasuredPolicy} from './policies.js';
import {runPools} from './pool-run.js';
import type {PoolFigures} from './pool-run.js';
import type {Site} from './sites.js';
import {createTickTimes, readHeapMegabytes} from './timing.js';
import {runWave} from './wave-run.js';
import type {WaveFigures} from './wave-run.js';

/** The four measures; lower is better for each. */
export type Measures = {
	/** Idle capacity of instances in pools and of workers with jobs, in percent of all instances and workers. */
	readonly bufferCostPercent: number;
	readonly rollOutHours: number;
	readonly movesPerHour: number;
	/** Percentage of the fairly shared resources that the wrong team uses. */
	readonly shareDistancePercent: number;
};

export const measureNames = ['bufferCostPercent', 'rollOutHours', 'movesPerHour', 'shareDistancePercent'] as const;

export type SeedFigures = {readonly seed: number; readonly measures: Measures; readonly jobs: JobFigures; readonly pools: PoolFigures; readonly wave: WaveFigures};

export type TickSummary = ReturnType<ReturnType<typeof createTickTimes>['summarize']>;

export type PolicyFigures = {
	readonly site: string;
	readonly policy: string;
	readonly seeds: readonly SeedFigures[];
	readonly ticks: {readonly jobs: TickSummary; readonly pools: TickSummary; readonly wave: TickSummary};
	/** Heap in use after the last run; includes the tables of that run. */
	readonly heapMegabytes: number;
};

const computeMeasures = (site: Site, jobs: JobFigures, pools: PoolFigures, wave: WaveFigures): Measures => ({
	bufferCostPercent: 100 * (jobs.idleWorkers + pools.idleInstances) / (site.workers + (site.upstreamPools * site.instancesPerPool) + site.spareInstances),
	rollOutHours: wave.rollOutHours,
	movesPerHour: pools.movesPerHour,
	shareDistancePercent: 100 * jobs.shareDistance,
});

export const measurePolicy = (site: Site, policy: MeasuredPolicy, seeds: readonly number[]): PolicyFigures => {
	const times = {jobs: createTickTimes(), pools: createTickTimes(), wave: createTickTimes()};
	const figures = seeds.map((seed): SeedFigures => {
		const jobs = runJobs(site, policy, seed, times.jobs);
		const pools = runPools(site, policy, seed, times.pools);
		const wave = runWave(site, policy, seed, times.wave);
		return {
			seed, measures: computeMeasures(site, jobs, pools, wave), jobs, pools, wave,
		};
	});
	return {
		site: site.name, policy: policy.name, seeds: figures, heapMegabytes: readHeapMegabytes(), ticks: {jobs: times.jobs.summarize(), pools: times.pools.summarize(), wave: times.wave.summarize()},
	};
};

/** Measures the named policies, or all if none is named. */
export const measureSite = (site: Site, seeds: readonly number[], names: readonly string[] = []): PolicyFigures[] =>
	policies.filter(policy => names.length === 0 || names.includes(policy.name)).map(policy => measurePolicy(site, policy, seeds));
