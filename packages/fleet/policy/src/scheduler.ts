/**
 * Schedules jobs on workers. Each tick relieves overloaded workers, starts
 * urgent jobs and then starts the other jobs by fair share. Performs no I/O.
 */
import type {InstanceId} from '@turmericbay/types';
import {RefusalReason} from './actions.js';
import type {FleetAction} from './actions.js';
import {createInfeasibleSizes} from './infeasible.js';
import type {InfeasibleSizes} from './infeasible.js';
import {createLearnedSizes} from './learned-sizes.js';
import type {LearnedSizes} from './learned-sizes.js';
import {relieveOverload} from './overload.js';
import {
	couldEverFit, isUsable, placeBestFit,
} from './placement.js';
import type {PlaceJob} from './placement.js';
import {preemptFor} from './preemption.js';
import type {Resources} from './resources.js';
import {computeWeightedDominantShare} from './shares.js';
import {
	addJob, recordUsage, removeJob, requeueJob, startTask,
} from './tables.js';
import type {
	FleetTables, JobDeclaration, JobId, JobRow, TeamRow,
} from './tables.js';
import {createWorkerHealth} from './worker-health.js';
import type {WorkerHealth} from './worker-health.js';

/** Failures on different workers after which a job is refused. */
const maximumAttempts = 4;
/** Bounds the duration of a tick after a long outage. */
const maximumStartsPerTick = 500;
/** Waiting jobs of a class that are tried per tick, so that a large job does not block smaller ones behind it. */
const lookAheadPerClass = 64;

export type ScoreTeam = (team: TeamRow, tables: FleetTables) => number;

export type SchedulerOptions = {
	readonly tables: FleetTables;
	/** Probability that a job exceeds its reservation; 0 reserves declared sizes. */
	readonly overrunProbability: number;
	readonly place?: PlaceJob;
	/** The team with the lowest score starts a job next; the default score is the weighted dominant share. */
	readonly scoreTeam?: ScoreTeam;
	readonly sizes?: LearnedSizes;
};

export type Scheduler = {
	readonly health: WorkerHealth;
	submit(declaration: JobDeclaration): FleetAction[];
	cancel(job: JobId): void;
	/** Handles the end of a job's run, successful or not. */
	finish(options: {job: JobId; succeeded: boolean; now: number}): FleetAction[];
	/** Returns the job to its queue once a requested checkpoint or stop has completed. */
	release(job: JobId): void;
	reportUsage(options: {job: JobId; used: Resources}): void;
	tick(now: number): FleetAction[];
};

const takeFirst = (queue: ReadonlyMap<JobId, JobRow>, count: number): JobRow[] => {
	const rows: JobRow[] = [];
	for (const row of queue.values()) {
		if (rows.length === count) {
			break;
		}

		rows.push(row);
	}

	return rows;
};

const findLowestScore = (scores: ReadonlyMap<TeamRow, number>): TeamRow | undefined => {
	let lowest: TeamRow | undefined;
	let lowestScore = Number.POSITIVE_INFINITY;
	for (const [team, score] of scores) {
		if (score < lowestScore) {
			lowest = team;
			lowestScore = score;
		}
	}

	return lowest;
};

export const createScheduler = (options: SchedulerOptions): Scheduler => {
	const {tables} = options;
	const sizes = options.sizes ?? createLearnedSizes({overrunProbability: options.overrunProbability});
	const health = createWorkerHealth();
	const place = options.place ?? placeBestFit;
	const scoreTeam: ScoreTeam = options.scoreTeam ?? (team => computeWeightedDominantShare(team, tables.totalCapacity));

	const tryStart = (row: JobRow, now: number): FleetAction | undefined => {
		const estimate = sizes.estimate(row);
		const worker = place({
			tables, health, row, estimate, now,
		});
		if (!worker) {
			return undefined;
		}

		startTask(tables, {
			row, worker, estimate, now,
		});
		return {type: 'start', job: row.job, worker: worker.worker};
	};

	const startUrgent = (now: number): FleetAction[] => {
		const waiting = [...tables.teams.values()].flatMap(team => takeFirst(team.urgentWaiting, Math.max(0, team.limit - team.running)));
		return waiting.toSorted((left, right) => left.submittedAt - right.submittedAt).flatMap(row => {
			const started = tryStart(row, now);
			if (started) {
				return [started];
			}

			const estimate = sizes.estimate(row);
			return preemptFor({
				tables, row, estimate, now, isUsable: worker => isUsable({
					tables, health, row, estimate, now,
				}, worker),
			});
		});
	};

	const startNext = (team: TeamRow, {blocked, infeasible, now}: {blocked: Set<string>; infeasible: InfeasibleSizes; now: number}): FleetAction | undefined => {
		for (const [name, queue] of team.waiting) {
			for (const row of blocked.has(name) ? [] : takeFirst(queue, lookAheadPerClass)) {
				const estimate = sizes.estimate(row);
				if (infeasible.covers(row.pool, estimate)) {
					continue;
				}

				const started = tryStart(row, now);
				if (started) {
					return started;
				}

				// Jobs with earlier failures may not use every worker, so the result does not apply to other jobs.
				if (row.failedOn.length === 0) {
					infeasible.add(row.pool, estimate);
				}
			}

			blocked.add(name);
		}

		return undefined;
	};

	/** Starts a job of the team with the lowest score until no waiting job fits, so that scheduling is work-conserving. */
	const startByFairShare = (now: number): FleetAction[] => {
		const actions: FleetAction[] = [];
		const blocked = new Set<string>();
		const infeasible = createInfeasibleSizes();
		// A start changes only the score of its own team.
		const scores = new Map<TeamRow, number>();
		for (const team of tables.teams.values()) {
			if (team.waiting.size > 0 && team.running < team.limit) {
				scores.set(team, scoreTeam(team, tables));
			}
		}

		while (actions.length < maximumStartsPerTick) {
			const team = findLowestScore(scores);
			if (!team) {
				break;
			}

			const started = startNext(team, {blocked, infeasible, now});
			if (started) {
				actions.push(started);
			}

			if (!started || team.waiting.size === 0 || team.running >= team.limit) {
				scores.delete(team);
			} else {
				scores.set(team, scoreTeam(team, tables));
			}
		}

		return actions;
	};

	const refuse = (job: JobId, reason: RefusalReason): FleetAction[] => {
		removeJob(tables, job);
		return [{type: 'refuse', job, reason}];
	};

	const recordFailure = (row: JobRow, workerName: InstanceId, now: number): FleetAction[] => {
		const worker = tables.workers.get(workerName);
		if (worker) {
			health.recordFailure({
				row, worker, members: tables.workersByPool.get(worker.pool) ?? [], now,
			});
		}

		row.failedOn.push(workerName);
		const members = tables.workersByPool.get(row.pool) ?? [];
		if (row.failedOn.length >= Math.min(maximumAttempts, members.length)) {
			return refuse(row.job, RefusalReason.FailedEverywhere);
		}

		requeueJob(tables, row);
		return [];
	};

	return {
		health,
		submit(declaration) {
			if (!tables.teams.has(declaration.team)) {
				return [{type: 'refuse', job: declaration.job, reason: RefusalReason.UnknownTeam}];
			}

			if (!couldEverFit(tables, declaration.pool, sizes.estimate(declaration))) {
				return [{type: 'refuse', job: declaration.job, reason: RefusalReason.FitsNoWorker}];
			}

			addJob(tables, declaration);
			return [];
		},
		cancel(job) {
			removeJob(tables, job);
		},
		finish({job, succeeded, now}) {
			const row = tables.jobs.get(job);
			if (!row?.task) {
				return [];
			}

			if (!succeeded) {
				return recordFailure(row, row.task.worker, now);
			}

			if (row.task.peakUsage) {
				sizes.report({...row, used: row.task.peakUsage});
			}

			health.recordSuccess(row, row.task.worker);
			removeJob(tables, job);
			return [];
		},
		release(job) {
			const row = tables.jobs.get(job);
			if (row?.task) {
				requeueJob(tables, row);
			}
		},
		reportUsage({job, used}) {
			recordUsage(tables, job, used);
		},
		tick: now => [...relieveOverload(tables, now), ...startUrgent(now), ...startByFairShare(now)],
	};
};

