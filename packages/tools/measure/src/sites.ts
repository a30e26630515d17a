/** Sizes and policy weights of the simulated deployments. */
import type {PolicyWeights, Resources} from '@turmericbay/policy';

export type Site = {
	readonly name: string;
	readonly zones: number;
	/** Availability zones of the region in which the maintenance wave is simulated. */
	readonly waveZones: number;
	readonly upstreamPools: number;
	readonly instancesPerPool: number;
	readonly spareInstances: number;
	readonly slotsPerInstance: number;
	readonly workers: number;
	readonly workerPools: number;
	readonly worker: Resources;
	/** Fraction of the workers that have accelerators. */
	readonly acceleratorFraction: number;
	readonly acceleratorsPerWorker: number;
	readonly teams: number;
	/** Each region has its own fleet ledger and maintenance waves. */
	readonly regions: number;
	readonly weights: PolicyWeights;
	/** Simulated time of the scheduler and of the pool policy. */
	readonly jobSeconds: number;
	readonly poolSeconds: number;
};

const waschring: Site = {
	name: 'Waschring',
	zones: 3, waveZones: 3, upstreamPools: 5, instancesPerPool: 7, spareInstances: 6, slotsPerInstance: 8,
	workers: 24, workerPools: 1, worker: {processors: 16, memoryGigabytes: 32, accelerators: 0}, acceleratorFraction: 0, acceleratorsPerWorker: 0,
	teams: 6, regions: 1, jobSeconds: 1800, poolSeconds: 7200,
	weights: {
		bufferCost: 1, rollOutTime: 1, moves: 3, shareNearness: 3,
	},
};

const gourdworks: Site = {
	...waschring,
	name: 'Gourdworks',
	zones: 4, waveZones: 4, instancesPerPool: 8,
	workers: 32, worker: {processors: 64, memoryGigabytes: 256, accelerators: 0},
	weights: {
		bufferCost: 3, rollOutTime: 3, moves: 1, shareNearness: 1,
	},
};

const scaleSite = (site: Site, factor: number): Site => ({
	...site,
	name: `${site.name} x${factor}`,
	upstreamPools: site.upstreamPools * factor,
	spareInstances: site.spareInstances * factor,
	workers: site.workers * factor,
	teams: site.teams * factor,
	jobSeconds: 240,
	poolSeconds: 1800,
});

/** Design target for the size of a deployment. 700 of the 3,000 workers have eight accelerators each, 5,600 in total. */
const targetSite: Site = {
	name: 'target',
	zones: 16, waveZones: 3, upstreamPools: 300, instancesPerPool: 8, spareInstances: 120, slotsPerInstance: 8,
	workers: 3000, workerPools: 16, worker: {processors: 64, memoryGigabytes: 256, accelerators: 0}, acceleratorFraction: 700 / 3000, acceleratorsPerWorker: 8,
	teams: 720, regions: 6, jobSeconds: 60, poolSeconds: 600,
	weights: {
		bufferCost: 1, rollOutTime: 1, moves: 1, shareNearness: 1,
	},
};

export const sites: readonly Site[] = [waschring, gourdworks, scaleSite(waschring, 10), scaleSite(gourdworks, 10), targetSite];
