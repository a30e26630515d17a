/** Generates teams, workers and jobs: jobs arrive in bursts and use other resources than they declare. */
import type {JobDeclaration, Resources} from '@turmericbay/policy';
import type {Random} from './random.js';
import type {Site} from './sites.js';

export type GeneratedJob = {
	readonly declaration: JobDeclaration;
	readonly actualUsage: Resources;
	readonly runMilliseconds: number;
	/** Fails on every worker. */
	readonly alwaysFails: boolean;
};

export type TeamInput = {
	readonly team: string;
	readonly share: number;
	readonly limit: number;
	/** Median ratio of used to declared resources, for the queues `batch` and `urgent`. */
	readonly usageRatios: readonly number[];
	/** Mean fraction of the fleet that the team's jobs need while the team is busy. */
	readonly offeredLoad: number;
	busyUntil: number;
	isBusy: boolean;
};

const meanRunSeconds = 60;
const workerPool = (index: number) => `workers-${index}`;

export const createTeams = (site: Site, random: Random): TeamInput[] => {
	// A sixth of the teams are large. Together the busy teams need about 1.3 times the fleet.
	const weights = Array.from({length: site.teams}, (_, index) => index % 6 === 0 ? 4 : 1 + (index % 3));
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return weights.map((weight, index) => ({
		team: `team-${index}`,
		share: weight,
		limit: Math.ceil(0.6 * 8 * site.workers * Math.min(1, 6 * weight / sum)),
		usageRatios: [random.uniformBetween(0.2, 0.9), random.uniformBetween(0.3, 1.5)],
		offeredLoad: 2 * random.uniformBetween(0.8, 1.8) * (index % 2 === 0 ? 1 / site.teams : weight / sum),
		busyUntil: 0,
		isBusy: random.uniform() < 0.6,
	}));
};

const createJob = (site: Site, random: Random, options: {team: TeamInput; name: string; now: number}): GeneratedJob => {
	const {team, name, now} = options;
	const urgent = random.uniform() < 0.03;
	const ratioIndex = urgent ? 1 : 0;
	const isOversized = random.uniform() < 0.005;
	const poolIndex = random.uniformInteger(site.workerPools);
	const wantsAccelerator = !urgent && random.uniform() < site.acceleratorFraction;
	const processors = isOversized ? site.worker.processors * 2 : Math.max(0.5, random.lognormal(site.worker.processors / 12, 0.6));
	const declared: Resources = {
		processors: isOversized ? processors : Math.min(processors, site.worker.processors * 0.8),
		memoryGigabytes: Math.min(site.worker.memoryGigabytes * 0.8, Math.max(0.5, random.lognormal(site.worker.memoryGigabytes / 14, 0.6))),
		accelerators: wantsAccelerator ? 1 + random.uniformInteger(2) : 0,
	};
	const ratio = random.lognormal(team.usageRatios[ratioIndex] ?? 1, 0.25);
	return {
		declaration: {
			job: name, team: team.team, queue: urgent ? 'urgent' : 'batch', pool: workerPool(poolIndex), declared, urgent, submittedAt: now,
		},
		actualUsage: {
			processors: Math.min(site.worker.processors, declared.processors * ratio),
			memoryGigabytes: Math.min(site.worker.memoryGigabytes, declared.memoryGigabytes * random.lognormal(team.usageRatios[ratioIndex] ?? 1, 0.15)),
			accelerators: declared.accelerators,
		},
		runMilliseconds: 1000 * random.lognormal(meanRunSeconds * 0.8, 0.7),
		alwaysFails: random.uniform() < 0.01,
	};
};

/** Generates the jobs that arrive in one second. Teams alternate between busy and quiet periods of some minutes. */
export const generateArrivals = (site: Site, random: Random, teams: readonly TeamInput[], now: number): GeneratedJob[] => teams.flatMap((team, index) => {
	if (now >= team.busyUntil) {
		team.isBusy = !team.isBusy;
		team.busyUntil = now + (1000 * random.exponential(team.isBusy ? 180 : 90));
	}

	// A job uses about 1/12 of a worker times the usage ratio of its queue.
	const concurrentJobs = team.offeredLoad * site.workers * 12 / (team.usageRatios[0] ?? 1) / 1.2;
	const arrivalsPerSecond = (team.isBusy ? 1 : 0.05) * concurrentJobs / meanRunSeconds;
	return Array.from({length: random.poisson(arrivalsPerSecond)}, (_, number) => createJob(site, random, {team, name: `job-${index}-${now}-${number}`, now}));
});

export const createWorkers = (site: Site) => Array.from({length: site.workers}, (_, index) => {
	const indexInPool = Math.floor(index / site.workerPools);
	const accelerators = (index * site.acceleratorFraction) % 1 < site.acceleratorFraction ? site.acceleratorsPerWorker : 0;
	return {
		worker: `worker-${index}`,
		pool: workerPool(index % site.workerPools),
		zone: `zone-${Math.floor(indexInPool / 4) % site.zones}`,
		rack: `rack-${Math.floor(indexInPool / 4)}`,
		capacity: {...site.worker, accelerators},
	};
});
