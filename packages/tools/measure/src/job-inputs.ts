/** Generated jobs: declared sizes and run times that are far off, bursts, cancellations in waves, faulty workers. */
import type {JobDeclaration, Resources} from '@turmericbay/policy';
import type {Random} from './random.js';
import type {Site} from './sites.js';

export type GeneratedJob = {
	readonly declaration: JobDeclaration;
	readonly used: Resources;
	readonly runMilliseconds: number;
	/** Fails wherever it runs. */
	readonly broken: boolean;
};

export type TeamInput = {
	readonly team: string;
	readonly share: number;
	readonly limit: number;
	/** Declared-to-used ratio of each queue. */
	readonly ratios: readonly number[];
	/** Part of the fleet that the team asks for while busy, on average. */
	readonly load: number;
	busyUntil: number;
	isBusy: boolean;
};

const meanRunSeconds = 60;
const workerPool = (index: number) => `workers-${index}`;

export const createTeams = (site: Site, random: Random): TeamInput[] => {
	// A sixth of the teams are large; together busy teams ask for about 1.3 times the fleet.
	const weights = Array.from({length: site.teams}, (_, index) => index % 6 === 0 ? 4 : 1 + (index % 3));
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return weights.map((weight, index) => ({
		team: `team-${index}`,
		share: weight,
		limit: Math.ceil(0.6 * 8 * site.workers * Math.min(1, 6 * weight / sum)),
		ratios: [random.between(0.2, 0.9), random.between(0.3, 1.5)],
		load: 2 * random.between(0.8, 1.8) * (index % 2 === 0 ? 1 / site.teams : weight / sum),
		busyUntil: 0,
		isBusy: random.uniform() < 0.6,
	}));
};

const createJob = (site: Site, random: Random, options: {team: TeamInput; name: string; now: number}): GeneratedJob => {
	const {team, name, now} = options;
	const urgent = random.uniform() < 0.03;
	const kind = urgent ? 1 : 0;
	const neverFits = random.uniform() < 0.005;
	const poolIndex = random.index(site.workerPools);
	const wantsAccelerator = !urgent && random.uniform() < site.acceleratorFraction;
	const processors = neverFits ? site.worker.processors * 2 : Math.max(0.5, random.lognormal(site.worker.processors / 12, 0.6));
	const declared: Resources = {
		processors: neverFits ? processors : Math.min(processors, site.worker.processors * 0.8),
		memoryGigabytes: Math.min(site.worker.memoryGigabytes * 0.8, Math.max(0.5, random.lognormal(site.worker.memoryGigabytes / 14, 0.6))),
		accelerators: wantsAccelerator ? 1 + random.index(2) : 0,
	};
	const ratio = random.lognormal(team.ratios[kind] ?? 1, 0.25);
	return {
		declaration: {
			job: name, team: team.team, queue: urgent ? 'urgent' : 'batch', pool: workerPool(poolIndex), declared, urgent, submittedAt: now,
		},
		used: {
			processors: Math.min(site.worker.processors, declared.processors * ratio),
			memoryGigabytes: Math.min(site.worker.memoryGigabytes, declared.memoryGigabytes * random.lognormal(team.ratios[kind] ?? 1, 0.15)),
			accelerators: declared.accelerators,
		},
		runMilliseconds: 1000 * random.lognormal(meanRunSeconds * 0.8, 0.7),
		broken: random.uniform() < 0.01,
	};
};

/** Jobs of one second; teams alternate between busy and quiet minutes. */
export const generateArrivals = (site: Site, random: Random, teams: readonly TeamInput[], now: number): GeneratedJob[] => teams.flatMap((team, index) => {
	if (now >= team.busyUntil) {
		team.isBusy = !team.isBusy;
		team.busyUntil = now + (1000 * random.exponential(team.isBusy ? 180 : 90));
	}

	// A job uses about 1/12 of a worker times the ratio of its class.
	const jobsAtOnce = team.load * site.workers * 12 / (team.ratios[0] ?? 1) / 1.2;
	const rate = (team.isBusy ? 1 : 0.05) * jobsAtOnce / meanRunSeconds;
	return Array.from({length: random.poisson(rate)}, (_, number) => createJob(site, random, {team, name: `job-${index}-${now}-${number}`, now}));
});

export const createWorkers = (site: Site) => Array.from({length: site.workers}, (_, index) => {
	const inPool = Math.floor(index / site.workerPools);
	const accelerators = (index * site.acceleratorFraction) % 1 < site.acceleratorFraction ? site.acceleratorsPerWorker : 0;
	return {
		worker: `worker-${index}`,
		pool: workerPool(index % site.workerPools),
		zone: `zone-${Math.floor(inPool / 4) % site.zones}`,
		rack: `rack-${Math.floor(inPool / 4)}`,
		capacity: {...site.worker, accelerators},
	};
});
