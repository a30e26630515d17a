/** Simulates the scheduler with generated jobs on modelled workers, in steps of one second. */
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
	/** Mean unused capacity of workers that run jobs, in whole workers. */
	readonly idleWorkers: number;
	/** Mean fraction of the fleet that jobs use. */
	readonly usedFraction: number;
	/** Mean fraction of the fairly shared resources that teams use beyond or below their fair shares, 0 if shares are exact. */
	readonly shareDistance: number;
	readonly slowestUrgentSeconds: number;
	/** Fraction of the time of busy workers in which their jobs needed more than the worker has. */
	readonly overloadFraction: number;
	/** Jobs per hour that were stopped or checkpointed before they ended. */
	readonly interruptedPerHour: number;
	readonly refused: number;
	readonly finished: number;
};

const secondMilliseconds = 1000;
/** Fraction of the run in which job sizes are learned; figures leave it out. */
const warmUpFraction = 0.2;
const reportIntervalSeconds = 5;
const reportLagSeconds = 10;
const checkpointSeconds = 3;

type RunningJob = {row: JobRow; job: GeneratedJob; remainingMilliseconds: number; startedAt: number; releaseAt: number | undefined; throttled: boolean};

type Totals = Record<'idle' | 'used' | 'distance' | 'overloaded' | 'workerSeconds' | 'seconds' | 'maximumUrgentWaitMilliseconds' | 'interrupted' | 'refused' | 'finished', number>;

type JobSimulation = {
	readonly site: Site;
	readonly random: Random;
	readonly tables: FleetTables;
	readonly scheduler: Scheduler;
	readonly teams: TeamInput[];
	readonly jobs: Map<string, GeneratedJob>;
	readonly running: Map<string, RunningJob>;
	readonly faultyWorkers: ReadonlySet<string>;
	/** Time at which each team was last at its limit of running jobs. */
	readonly lastAtLimitAt: Map<string, number>;
	readonly totals: Totals;
	now: number;
	isMeasured: boolean;
};

const createDeclaredSizes = (): LearnedSizes => ({
	report: () => undefined,
	estimate: ({declared}) => ({expected: declared, deviation: noResources}),
	forget: () => undefined,
	size: () => 0,
});

const createJobSimulation = (site: Site, policy: MeasuredPolicy, seed: number): JobSimulation => {
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
		tables, overrunProbability, place: policy.place, scoreTeam: policy.scoreTeam, sizes: policy.usesLearnedSizes ? createLearnedSizes({overrunProbability}) : createDeclaredSizes(),
	});
	return {
		site, random, tables, scheduler, teams, jobs: new Map(), running: new Map(), lastAtLimitAt: new Map(), now: 0, isMeasured: false,
		faultyWorkers: new Set(workers.filter(() => random.uniform() < 0.02).map(worker => worker.worker)),
		totals: {
			idle: 0, used: 0, distance: 0, overloaded: 0, workerSeconds: 0, seconds: 0, maximumUrgentWaitMilliseconds: 0, interrupted: 0, refused: 0, finished: 0,
		},
	};
};

/** Leaves out restarts after a failure, and the time until the team was last at its limit, since limits also apply to urgent jobs. */
const recordUrgentStart = (run: JobSimulation, row: JobRow) => {
	const waited = run.now - Math.max(row.submittedAt, run.lastAtLimitAt.get(row.team) ?? 0);
	if (row.urgent && run.isMeasured && row.failedOn.length === 0) {
		run.totals.maximumUrgentWaitMilliseconds = Math.max(run.totals.maximumUrgentWaitMilliseconds, waited);
	}
};

const recordTeamsAtLimit = (run: JobSimulation) => {
	for (const team of run.tables.teams.values()) {
		if (team.running >= team.limit) {
			run.lastAtLimitAt.set(team.team, run.now);
		}
	}
};

const applyAction = (run: JobSimulation, action: FleetAction) => {
	const running = run.running.get(action.job);
	switch (action.type) {
		case 'start': {
			const job = run.jobs.get(action.job);
			const row = run.tables.jobs.get(action.job);
			if (job && row) {
				run.running.set(action.job, {
					row, job, remainingMilliseconds: job.runMilliseconds, startedAt: run.now, releaseAt: undefined, throttled: false,
				});
				recordUrgentStart(run, row);
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
			run.totals.refused++;
			break;
		}
	}
};

const applyActions = (run: JobSimulation, actions: readonly FleetAction[]) => {
	for (const action of actions) {
		applyAction(run, action);
	}
};

const finishJob = (run: JobSimulation, item: RunningJob, succeeded: boolean) => {
	const {job} = item.job.declaration;
	run.running.delete(job);
	applyActions(run, run.scheduler.finish({job, succeeded, now: run.now}));
	if (succeeded) {
		run.jobs.delete(job);
		run.totals.finished++;
	}
};

const advanceJob = (run: JobSimulation, item: RunningJob) => {
	const {job} = item.job.declaration;
	if (item.releaseAt !== undefined && run.now >= item.releaseAt) {
		run.running.delete(job);
		run.scheduler.release(job);
		run.totals.interrupted += run.isMeasured ? 1 : 0;
		return;
	}

	const age = run.now - item.startedAt;
	if ((item.job.alwaysFails || run.faultyWorkers.has(item.row.task?.worker ?? '')) && age >= 2 * secondMilliseconds) {
		finishJob(run, item, false);
		return;
	}

	item.remainingMilliseconds -= item.throttled ? secondMilliseconds / 2 : secondMilliseconds;
	if (item.remainingMilliseconds <= 0) {
		finishJob(run, item, true);
	} else if (age >= reportLagSeconds * secondMilliseconds && (age / secondMilliseconds) % reportIntervalSeconds === 0) {
		run.scheduler.reportUsage({job, used: computeUsage(item)});
	}
};

const computeUsage = ({job: {actualUsage}, throttled}: RunningJob) => throttled ? {...actualUsage, processors: actualUsage.processors / 2} : actualUsage;

/** Every five minutes on average, one team cancels about half of its waiting jobs. */
const cancelWaitingJobs = (run: JobSimulation) => {
	if (run.random.uniform() >= 1 / 300) {
		return;
	}

	const team = run.teams[run.random.uniformInteger(run.teams.length)]?.team;
	for (const row of [...run.tables.jobs.values()].filter(other => other.team === team && !other.task && run.random.uniform() < 0.5)) {
		run.scheduler.cancel(row.job);
		run.jobs.delete(row.job);
	}
};

/** Dominant fraction of the fleet that the team's running and waiting jobs use, up to its limit of running jobs. */
const measureTeamDemand = (run: JobSimulation, team: TeamRow, rows: readonly JobRow[]): number => {
	let needed = noResources;
	for (const row of rows.slice(0, team.limit)) {
		needed = addResources(needed, run.jobs.get(row.job)?.actualUsage ?? noResources);
	}

	return computeDominantFraction(needed, run.tables.totalCapacity);
};

const measureShareDistance = (run: JobSimulation): number => {
	const rowsByTeam = new Map<string, JobRow[]>();
	for (const row of run.tables.jobs.values()) {
		const rows = rowsByTeam.get(row.team) ?? [];
		rows.push(row);
		rowsByTeam.set(row.team, rows);
	}

	const teams = [...run.tables.teams.values()];
	const fair = computeFairShares(teams.map(team => ({team: team.team, share: team.share, demand: measureTeamDemand(run, team, rowsByTeam.get(team.team) ?? [])})), 1);
	let distance = 0;
	for (const team of teams) {
		let used = noResources;
		for (const row of (rowsByTeam.get(team.team) ?? []).filter(other => other.task)) {
			used = addResources(used, run.jobs.get(row.job)?.actualUsage ?? noResources);
		}

		distance += Math.abs(computeDominantFraction(used, run.tables.totalCapacity) - (fair.get(team.team) ?? 0));
	}

	const total = [...fair.values()].reduce((sum, value) => sum + value, 0);
	return total === 0 ? 0 : distance / (2 * total);
};

const sampleUsage = (run: JobSimulation) => {
	const {totals} = run;
	const usedByWorker = new Map<string, ReturnType<typeof computeUsage>>();
	for (const item of run.running.values()) {
		const worker = item.row.task?.worker ?? '';
		usedByWorker.set(worker, addResources(usedByWorker.get(worker) ?? noResources, computeUsage(item)));
	}

	for (const [name, used] of usedByWorker) {
		const worker = run.tables.workers.get(name);
		const fraction = worker ? computeDominantFraction(used, worker.capacity) : 0;
		totals.idle += Math.max(0, 1 - fraction);
		totals.used += Math.min(1, fraction);
		totals.overloaded += fraction > 1 ? 1 : 0;
	}

	totals.workerSeconds += usedByWorker.size;
	totals.distance += measureShareDistance(run);
	totals.seconds++;
};

/** Usage is sampled, since the share distance takes time in proportion to the number of jobs. */
const sampleIntervalSeconds = 5;

export const runJobs = (site: Site, policy: MeasuredPolicy, seed: number, times: TickTimes): JobFigures => {
	const run = createJobSimulation(site, policy, seed);
	for (let second = 0; second < site.jobSeconds; second++) {
		run.now = second * secondMilliseconds;
		run.isMeasured = second >= site.jobSeconds * warmUpFraction;
		for (const job of generateArrivals(site, run.random, run.teams, run.now)) {
			run.jobs.set(job.declaration.job, job);
			applyActions(run, run.scheduler.submit(job.declaration));
		}

		cancelWaitingJobs(run);
		for (const item of run.running.values()) {
			advanceJob(run, item);
		}

		applyActions(run, times.measure(() => run.scheduler.tick(run.now)));
		recordTeamsAtLimit(run);
		if (run.isMeasured && second % sampleIntervalSeconds === 0) {
			sampleUsage(run);
		}
	}

	const {totals} = run;
	const measuredHours = site.jobSeconds * (1 - warmUpFraction) / 3600;
	return {
		idleWorkers: totals.idle / totals.seconds,
		usedFraction: totals.used / totals.seconds / site.workers,
		shareDistance: totals.distance / totals.seconds,
		slowestUrgentSeconds: totals.maximumUrgentWaitMilliseconds / secondMilliseconds,
		overloadFraction: totals.workerSeconds === 0 ? 0 : totals.overloaded / totals.workerSeconds,
		interruptedPerHour: totals.interrupted / measuredHours,
		refused: totals.refused,
		finished: totals.finished,
	};
};
