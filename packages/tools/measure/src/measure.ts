/** Runs a site under each policy and every seed, and sums up the figures. */
import {runJobs} from './job-run.js';
import type {JobFigures} from './job-run.js';
import {policies} from './policies.js';
import type {MeasuredPolicy} from './policies.js';
import {runPools} from './pool-run.js';
import type {PoolFigures} from './pool-run.js';
import type {Site} from './sites.js';
import {createTickTimes, heapMegabytes} from './timing.js';
import {runWave} from './wave-run.js';
import type {WaveFigures} from './wave-run.js';

/** The four measures; lower is better for each. */
export type Measures = {
	/** Idle part of what is held, in percent of all instances and workers. */
	readonly bufferCostPercent: number;
	readonly rollOutHours: number;
	readonly movesPerHour: number;
	/** Part of the fleet that is with the wrong team, in percent. */
	readonly shareDistancePercent: number;
};

export const measureNames = ['bufferCostPercent', 'rollOutHours', 'movesPerHour', 'shareDistancePercent'] as const;

export type SeedFigures = {readonly seed: number; readonly measures: Measures; readonly jobs: JobFigures; readonly pools: PoolFigures; readonly wave: WaveFigures};

export type TickSummary = ReturnType<ReturnType<typeof createTickTimes>['summary']>;

export type PolicyFigures = {
	readonly site: string;
	readonly policy: string;
	readonly seeds: readonly SeedFigures[];
	readonly ticks: {readonly jobs: TickSummary; readonly pools: TickSummary; readonly wave: TickSummary};
	/** Heap in use after the last run, with its tables still alive. */
	readonly heapMegabytes: number;
};

const combine = (site: Site, jobs: JobFigures, pools: PoolFigures, wave: WaveFigures): Measures => ({
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
			seed, measures: combine(site, jobs, pools, wave), jobs, pools, wave,
		};
	});
	return {
		site: site.name, policy: policy.name, seeds: figures, heapMegabytes: heapMegabytes(), ticks: {jobs: times.jobs.summary(), pools: times.pools.summary(), wave: times.wave.summary()},
	};
};

/** Measures the named policies, or all if none is named. */
export const measureSite = (site: Site, seeds: readonly number[], names: readonly string[] = []): PolicyFigures[] =>
	policies.filter(policy => names.length === 0 || names.includes(policy.name)).map(policy => measurePolicy(site, policy, seeds));
