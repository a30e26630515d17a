/**
 * Decides whether a new job can still be of use, from the load figures of its pool. A job in doubt is
 * admitted: the work ahead is that of jobs which go first in any case, and the capacity includes
 * machines that can still be moved to the pool. No input or output.
 */
import type {JobDeclaration, PoolLoad, QueuePolicy} from '@turmericbay/scheduler';
import {
	computeAllowedMilliseconds, deadlineStepMilliseconds, estimateCriticalPath, publicWorkspace, usefulTimeFactor,
} from '@turmericbay/scheduler';
import type {KnownFigures} from './known-figures.js';

/** Figures that are older decide nothing: bursts last a few seconds. */
const maximumAgeMilliseconds = 2000;
/** The expected end has to exceed the useful time by this share of it: run times vary, and running tasks and machines may add capacity. */
const doubtShare = 0.2;
/** A shorter wait is within the error of the figures. */
const minimumWaitMilliseconds = 1000;
/** The decision, including its record, has to be made within this share of the queue's objective. */
export const decisionShare = 0.25;
const shortestRetrySeconds = 1;
const longestRetrySeconds = 5;
/** Random part that is added to Retry-After, as a share of it. */
const retryJitterShare = 0.5;

export enum RefusalCause {
	/** The workspace requests more than its share of a full pool. */
	BeyondShare = 'beyond-share',
	NoCapacity = 'no-capacity',
}

/** Work in thousandths of a core times milliseconds, deadline on this instance's monotonic clock. */
export type JobWork = {readonly pool: string; readonly priority: number; readonly workspace: string; readonly work: number; readonly deadline: number};

/** The figures that decided a refusal; times in milliseconds, CPU in thousandths of a core. */
export type RefusalFigures = {
	readonly pool: string;
	readonly ageMilliseconds: number;
	readonly waitMilliseconds: number;
	/** Least run time of the job itself. */
	readonly runMilliseconds: number;
	/** From the submission until a result is of no more use. */
	readonly usefulMilliseconds: number;
	readonly capacity: number;
	readonly demand: number;
	readonly share: number;
};

export type Refusal = {
	readonly type: 'refuse';
	readonly cause: RefusalCause;
	readonly retryAfterSeconds: number;
	readonly figures: RefusalFigures;
	readonly work: number;
};

export type AdmissionDecision = {readonly type: 'admit'} | Refusal;

/** False for jobs that have no end, no end of their own or no need of CPU. */
const mayBeRefused = (declaration: JobDeclaration): boolean => declaration.repetitions === 0
	&& declaration.steps.length > 0 && declaration.steps.every(step => !step.longRunning && !step.fills && step.resources.cpuMillis > 0);

const sum = (values: Iterable<number>): number => {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
};

/** Work of the job with learned run times where there are any. */
export const estimateJobWork = (declaration: JobDeclaration, learnedMilliseconds: number | undefined): number =>
	sum(declaration.steps.map(step => step.longRunning || step.fills ? 0 : step.taskCount * step.resources.cpuMillis * (learnedMilliseconds ?? step.estimateMilliseconds)));

/** The shorter of the critical paths by declared and by learned run times. */
const estimateRunTime = (declaration: JobDeclaration, learnedMilliseconds: number | undefined): number => {
	const declared = estimateCriticalPath(declaration);
	return learnedMilliseconds === undefined
		? declared
		: Math.min(declared, estimateCriticalPath({...declaration, steps: declaration.steps.map(step => ({...step, estimateMilliseconds: learnedMilliseconds}))}));
};

/**
 * Work that is done before all earlier work of the workspace is: higher priorities, what already runs,
 * and what other workspaces of the priority get meanwhile by generalised processor sharing (each gets
 * capacity by its weight until its own work is done).
 */
export const computeWorkAhead = (options: {
	readonly load: PoolLoad;
	readonly job: JobWork;
	readonly figuresAt: number;
	readonly acceptedSince: readonly JobWork[];
	/** Count jobs that miss their objective; they come after the job until it misses its own. */
	readonly includesLate: boolean;
}): number => {
	const {load, job, figuresAt, acceptedSince, includesLate} = options;
	const deadlineStep = (job.deadline - figuresAt) / deadlineStepMilliseconds;
	const samePriority = new Map<string, number>();
	let ahead = 0;
	const add = (row: {readonly workspace: string; readonly priority: number}, running: number, waiting: number): void => {
		if (row.priority === job.priority) {
			samePriority.set(row.workspace, (samePriority.get(row.workspace) ?? 0) + running + waiting);
		} else {
			ahead += running + (row.priority < job.priority ? waiting : 0);
		}
	};

	for (const backlog of load.backlogs) {
		// Later deadlines of the same workspace come after the job.
		const isOwn = backlog.workspace === job.workspace && backlog.priority === job.priority;
		add(backlog, backlog.running, (includesLate ? backlog.late : 0) + sum(backlog.waiting.map(([step, work]) => isOwn && step > deadlineStep ? 0 : work)));
	}

	for (const accepted of acceptedSince) {
		const isLater = accepted.workspace === job.workspace && accepted.deadline > job.deadline;
		add(accepted, 0, isLater && accepted.priority === job.priority ? 0 : accepted.work);
	}

	const getWeight = (workspace: string): number => load.workspaces[workspace]?.weight ?? 1;
	const level = (samePriority.get(job.workspace) ?? 0) / getWeight(job.workspace);
	return ahead + sum([...samePriority].map(([workspace, work]) => Math.min(work, level * getWeight(workspace))));
};

/** Whole seconds. The random part does not fall victim to the upper limit, so that callers do not return at once. */
export const chooseRetrySeconds = (milliseconds: number, random: () => number): number => {
	const seconds = Math.min(milliseconds / 1000, longestRetrySeconds / (1 + retryJitterShare)) * (1 + (retryJitterShare * random()));
	return Math.min(longestRetrySeconds, Math.max(shortestRetrySeconds, Math.ceil(seconds)));
};

export const decideAdmission = (options: {
	readonly declaration: JobDeclaration;
	readonly policy: QueuePolicy | undefined;
	readonly known: KnownFigures | undefined;
	/** Jobs of all pools that this instance has stored since the figures. */
	readonly acceptedSince: readonly JobWork[];
	/** Work of the callers that were refused in the pool and are going to return. */
	readonly getReturningWork: (pool: string) => number;
	readonly receivedAt: number;
	readonly now: number;
	readonly random: () => number;
}): AdmissionDecision => {
	const {declaration, policy, known, acceptedSince, getReturningWork, receivedAt, now, random} = options;
	const load = policy && known?.figures.pools[policy.pool];
	if (!load || load.capacity <= 0 || !mayBeRefused(declaration)) {
		return {type: 'admit'};
	}

	const ageMilliseconds = now - known.computedAt;
	if (ageMilliseconds > maximumAgeMilliseconds || now - receivedAt > policy.objectiveMilliseconds * decisionShare) {
		return {type: 'admit'};
	}

	const {pool, priority} = policy;
	const workspace = declaration.workspace ?? publicWorkspace;
	const learned = known.figures.durations[declaration.queue];
	const allowedMilliseconds = computeAllowedMilliseconds(declaration, policy);
	const work = estimateJobWork(declaration, learned);
	const estimateWait = (includesLate: boolean): number => Math.max(0, (computeWorkAhead({
		load, includesLate, figuresAt: known.computedAt, acceptedSince: acceptedSince.filter(accepted => accepted.pool === pool),
		job: {
			pool, priority, workspace, work, deadline: receivedAt + allowedMilliseconds,
		},
	}) / load.capacity) - ageMilliseconds);
	const runMilliseconds = estimateRunTime(declaration, learned);
	if (estimateWait(false) + runMilliseconds <= allowedMilliseconds) {
		return {type: 'admit'};
	}

	const waitMilliseconds = estimateWait(true);
	const usefulMilliseconds = usefulTimeFactor * allowedMilliseconds;
	const excessMilliseconds = waitMilliseconds + runMilliseconds - usefulMilliseconds;
	if (excessMilliseconds <= doubtShare * usefulMilliseconds || waitMilliseconds < minimumWaitMilliseconds) {
		return {type: 'admit'};
	}

	const {demand, share} = load.workspaces[workspace] ?? {demand: 0, share: 0};
	return {
		type: 'refuse', work,
		cause: declaration.workspace !== undefined && demand > share ? RefusalCause.BeyondShare : RefusalCause.NoCapacity,
		retryAfterSeconds: chooseRetrySeconds(excessMilliseconds + (getReturningWork(pool) / load.capacity), random),
		figures: {
			pool, ageMilliseconds, waitMilliseconds, runMilliseconds, usefulMilliseconds, capacity: load.capacity, demand, share,
		},
	};
};
