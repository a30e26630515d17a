/** Drives the scheduler tick by tick against a small stand-in of the workers. */
import {
	addResources, addWorker, computeFairShares, createFleetTables, createScheduler, createLearnedSizes, deriveSettings, computeDominantFraction, noResources, setTeam,
} from '@turmericbay/policy';
import type {
	FleetAction, FleetTables, JobRow, LearnedSizes, Scheduler, TeamRow,
} from '@turmericbay/policy';
import {createTeams, createWorkers, generateArrivals} from './job-inputs.js';
import type {GeneratedJob, TeamInput} from './job-inputs.js';
import type {MeasuredPolicy} from './policies.js';
import {createRandom} from './random.js';
import type {Random} from './random.js';
import type {Site} from './sites.js';
import type {TickTimes} from './timing.js';

export type JobFigures = {
	/** Worker equivalents that are held by jobs and idle, on average. */
	readonly idleWorkers: number;
	/** Part of the fleet that is used by jobs, on average. */
	readonly usedFraction: number;
	readonly shareDistance: number;
	readonly slowestUrgentSeconds: number;
	/** Part of worker-seconds in which jobs asked for more than the worker has. */
	readonly overloadFraction: number;
	/** Jobs per hour that were taken off their worker before they ended. */
	readonly interruptedPerHour: number;
	readonly refused: number;
	readonly finished: number;
};

const secondMilliseconds = 1000;
/** Sizes are learned during this time; it is not measured. */
const warmUpFraction = 0.2;
const reportIntervalSeconds = 5;
const reportLagSeconds = 10;
const checkpointSeconds = 3;

type Running = {row: JobRow; job: GeneratedJob; leftMilliseconds: number; startedAt: number; releaseAt: number | undefined; throttled: boolean};

type Sums = {idle: number; used: number; distance: number; overloaded: number; workerSeconds: number; seconds: number; urgent: number; interrupted: number; refused: number; finished: number};

type Run = {
	readonly site: Site;
	readonly random: Random;
	readonly tables: FleetTables;
	readonly scheduler: Scheduler;
	readonly teams: TeamInput[];
	readonly jobs: Map<string, GeneratedJob>;
	readonly running: Map<string, Running>;
	readonly faulty: ReadonlySet<string>;
	/** Last time each team was at its upper limit. */
	readonly limitedAt: Map<string, number>;
	readonly sums: Sums;
	now: number;
	isMeasured: boolean;
};

const keepDeclaredSizes = (): LearnedSizes => ({
	report: () => undefined,
	estimate: ({declared}) => ({expected: declared, deviation: noResources}),
	forget: () => undefined,
	size: () => 0,
});

const createRun = (site: Site, policy: MeasuredPolicy, seed: number): Run => {
	const random = createRandom(seed);
	const tables = createFleetTables();
	const workers = createWorkers(site);
	for (const worker of workers) {
		addWorker(tables, worker);
	}

	const teams = createTeams(site, random);
	for (const team of teams) {
		setTeam(tables, team);
	}

	const {overrunProbability} = deriveSettings(site.weights);
	const scheduler = createScheduler({
		tables, overrunProbability, place: policy.place, scoreTeam: policy.scoreTeam, sizes: policy.learnsSizes ? createLearnedSizes({overrunProbability}) : keepDeclaredSizes(),
	});
	return {
		site, random, tables, scheduler, teams, jobs: new Map(), running: new Map(), limitedAt: new Map(), now: 0, isMeasured: false,
		faulty: new Set(workers.filter(() => random.uniform() < 0.02).map(worker => worker.worker)),
		sums: {
			idle: 0, used: 0, distance: 0, overloaded: 0, workerSeconds: 0, seconds: 0, urgent: 0, interrupted: 0, refused: 0, finished: 0,
		},
	};
};

/** Counts first starts of jobs whose team was never at its limit while they waited; the limit comes before urgency. */
const noteUrgentStart = (run: Run, row: JobRow) => {
	const waited = run.now - Math.max(row.submittedAt, run.limitedAt.get(row.team) ?? 0);
	if (row.urgent && run.isMeasured && row.failedOn.length === 0) {
		run.sums.urgent = Math.max(run.sums.urgent, waited);
	}
};

const noteLimits = (run: Run) => {
	for (const team of run.tables.teams.values()) {
		if (team.running >= team.limit) {
			run.limitedAt.set(team.team, run.now);
		}
	}
};

const apply = (run: Run, action: FleetAction) => {
	const running = run.running.get(action.job);
	switch (action.type) {
		case 'start': {
			const job = run.jobs.get(action.job);
			const row = run.tables.jobs.get(action.job);
			if (job && row) {
				run.running.set(action.job, {
					row, job, leftMilliseconds: job.runMilliseconds, startedAt: run.now, releaseAt: undefined, throttled: false,
				});
				noteUrgentStart(run, row);
			}

			break;
		}

		case 'throttle':
		case 'unthrottle': {
			if (running) {
				running.throttled = action.type === 'throttle';
			}

			break;
		}

		case 'checkpoint':
		case 'stop': {
			if (running) {
				running.releaseAt = run.now + (action.type === 'checkpoint' ? checkpointSeconds * secondMilliseconds : 0);
			}

			break;
		}

		case 'refuse': {
			run.jobs.delete(action.job);
			run.running.delete(action.job);
			run.sums.refused++;
			break;
		}
	}
};

const applyAll = (run: Run, actions: readonly FleetAction[]) => {
	for (const action of actions) {
		apply(run, action);
	}
};

const finish = (run: Run, item: Running, succeeded: boolean) => {
	const {job} = item.job.declaration;
	run.running.delete(job);
	applyAll(run, run.scheduler.finish({job, succeeded, now: run.now}));
	if (succeeded) {
		run.jobs.delete(job);
		run.sums.finished++;
	}
};

const advanceJob = (run: Run, item: Running) => {
	const {job} = item.job.declaration;
	if (item.releaseAt !== undefined && run.now >= item.releaseAt) {
		run.running.delete(job);
		run.scheduler.release(job);
		run.sums.interrupted += run.isMeasured ? 1 : 0;
		return;
	}

	const age = run.now - item.startedAt;
	if ((item.job.broken || run.faulty.has(item.row.task?.worker ?? '')) && age >= 2 * secondMilliseconds) {
		finish(run, item, false);
		return;
	}

	item.leftMilliseconds -= item.throttled ? secondMilliseconds / 2 : secondMilliseconds;
	if (item.leftMilliseconds <= 0) {
		finish(run, item, true);
	} else if (age >= reportLagSeconds * secondMilliseconds && (age / secondMilliseconds) % reportIntervalSeconds === 0) {
		run.scheduler.reportUsage({job, used: usedBy(item)});
	}
};

const usedBy = ({job: {used}, throttled}: Running) => throttled ? {...used, processors: used.processors / 2} : used;

/** A team cancels half of what waits, every few minutes. */
const cancelWave = (run: Run) => {
	if (run.random.uniform() >= 1 / 300) {
		return;
	}

	const team = run.teams[run.random.index(run.teams.length)]?.team;
	for (const row of [...run.tables.jobs.values()].filter(other => other.team === team && !other.task && run.random.uniform() < 0.5)) {
		run.scheduler.cancel(row.job);
		run.jobs.delete(row.job);
	}
};

/** Dominant fraction of the fleet that the team's running and waiting jobs really need, as far as its limit lets it run them. */
const measureDemand = (run: Run, team: TeamRow, rows: readonly JobRow[]): number => {
	let needed = noResources;
	for (const row of rows.slice(0, team.limit)) {
		needed = addResources(needed, run.jobs.get(row.job)?.used ?? noResources);
	}

	return computeDominantFraction(needed, run.tables.totalCapacity);
};

const measureDistance = (run: Run): number => {
	const rowsByTeam = new Map<string, JobRow[]>();
	for (const row of run.tables.jobs.values()) {
		const rows = rowsByTeam.get(row.team) ?? [];
		rows.push(row);
		rowsByTeam.set(row.team, rows);
	}

	const teams = [...run.tables.teams.values()];
	const fair = computeFairShares(teams.map(team => ({team: team.team, share: team.share, demand: measureDemand(run, team, rowsByTeam.get(team.team) ?? [])})), 1);
	let distance = 0;
	for (const team of teams) {
		let used = noResources;
		for (const row of (rowsByTeam.get(team.team) ?? []).filter(other => other.task)) {
			used = addResources(used, run.jobs.get(row.job)?.used ?? noResources);
		}

		distance += Math.abs(computeDominantFraction(used, run.tables.totalCapacity) - (fair.get(team.team) ?? 0));
	}

	const total = [...fair.values()].reduce((sum, value) => sum + value, 0);
	return total === 0 ? 0 : distance / (2 * total);
};

const sample = (run: Run) => {
	const {sums} = run;
	const usedByWorker = new Map<string, ReturnType<typeof usedBy>>();
	for (const item of run.running.values()) {
		const worker = item.row.task?.worker ?? '';
		usedByWorker.set(worker, addResources(usedByWorker.get(worker) ?? noResources, usedBy(item)));
	}

	for (const [name, used] of usedByWorker) {
		const worker = run.tables.workers.get(name);
		const fraction = worker ? computeDominantFraction(used, worker.capacity) : 0;
		sums.idle += Math.max(0, 1 - fraction);
		sums.used += Math.min(1, fraction);
		sums.overloaded += fraction > 1 ? 1 : 0;
	}

	sums.workerSeconds += usedByWorker.size;
	sums.distance += measureDistance(run);
	sums.seconds++;
};

/** The share distance needs every job, so it is sampled. */
const sampleIntervalSeconds = 5;

export const runJobs = (site: Site, policy: MeasuredPolicy, seed: number, times: TickTimes): JobFigures => {
	const run = createRun(site, policy, seed);
	for (let second = 0; second < site.jobSeconds; second++) {
		run.now = second * secondMilliseconds;
		run.isMeasured = second >= site.jobSeconds * warmUpFraction;
		for (const job of generateArrivals(site, run.random, run.teams, run.now)) {
			run.jobs.set(job.declaration.job, job);
			applyAll(run, run.scheduler.submit(job.declaration));
		}

		cancelWave(run);
		for (const item of run.running.values()) {
			advanceJob(run, item);
		}

		applyAll(run, times.measure(() => run.scheduler.tick(run.now)));
		noteLimits(run);
		if (run.isMeasured && second % sampleIntervalSeconds === 0) {
			sample(run);
		}
	}

	const {sums} = run;
	const measuredHours = site.jobSeconds * (1 - warmUpFraction) / 3600;
	return {
		idleWorkers: sums.idle / sums.seconds,
		usedFraction: sums.used / sums.seconds / site.workers,
		shareDistance: sums.distance / sums.seconds,
		slowestUrgentSeconds: sums.urgent / secondMilliseconds,
		overloadFraction: sums.workerSeconds === 0 ? 0 : sums.overloaded / sums.workerSeconds,
		interruptedPerHour: sums.interrupted / measuredHours,
		refused: sums.refused,
		finished: sums.finished,
	};
};
