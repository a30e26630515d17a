/**
 * Decides which runs leave an evacuated zone now: long-running tasks within the number that may be away,
 * and checkpointing tasks that still take long. Nothing leaves unless it fits on a worker elsewhere.
 */
import {isAvailable} from './availability.js';
import type {DurationEstimator} from './durations.js';
import {isActive} from './jobs.js';
import type {
	Policies, Resources, RunRow, StepRow, TaskRow, WorkerRow,
} from './model.js';
import {RunPhase} from './model.js';
import {isSeparated} from './separation.js';
import {getReservedResources, hasCapacityFor} from './workers.js';

/** A checkpointing task that ends sooner stays: a stop and a start elsewhere repeat the work since its checkpoint. */
const minimumRemainingMilliseconds = 2000;

/** A place on a worker that a task is about to take, with the sign -1 for one that it gives up. */
type Claim = {readonly task: TaskRow; readonly worker: WorkerRow; readonly sign: 1 | -1};
/** Sum of the claims on one worker. */
type WorkerClaims = {resources: Resources; readonly runsByStep: Map<StepRow, number>};

export type EvacuationPlan = {
	readonly moved: readonly RunRow[];
	/** Steps whose tasks could move, but that have no ticket of the advice service for a worker with capacity, and the workers to ask about. */
	readonly unadvised: ReadonlyMap<StepRow, readonly WorkerRow[]>;
};

export type EvacuationContext = {
	/** All workers, with `isZoneEvacuated` up to date. */
	readonly workers: Iterable<WorkerRow>;
	readonly policies: Policies;
	/** Tasks that were moved before and have no run elsewhere yet; the capacity for them is not given away again. */
	readonly leaving: Iterable<TaskRow>;
	readonly isSchedulable: (worker: WorkerRow) => boolean;
	readonly hasTicket: (step: StepRow, worker: WorkerRow) => boolean;
	/** False if the worker is kept apart from the task because of crashes. */
	readonly mayShare: (task: TaskRow, worker: WorkerRow) => boolean;
	/** False if the task could not start again at present, whatever the worker. */
	readonly mayRestart: (task: TaskRow) => boolean;
	readonly durations: Pick<DurationEstimator, 'estimateRemaining' | 'estimateTask'>;
	readonly now: number;
};

const addResources = (left: Resources, right: Resources, sign: number): Resources => ({
	cpuMillis: left.cpuMillis + (sign * right.cpuMillis),
	memoryMegabytes: left.memoryMegabytes + (sign * right.memoryMegabytes),
	accelerators: left.accelerators + (sign * right.accelerators),
});

const isMovable = (row: RunRow): boolean => row.phase === RunPhase.Running && !row.isEvacuating && !row.task.done && row.task.runs.size === 1
	&& isActive(row.task.step.job) && !row.worker.isTerminating && row.worker.unansweredCalls === 0;

/** The runs of the whole gang, or the run alone; empty if one of them cannot move. */
const collectUnit = (row: RunRow): readonly RunRow[] => {
	const {step} = row.task;
	const rows = step.declaration.gang ? step.tasks.flatMap(task => [...task.runs.values()]) : [row];
	return rows.length === (step.declaration.gang ? step.tasks.length : 1) && rows.every(member => isMovable(member)) ? rows : [];
};

export const planEvacuationMoves = (context: EvacuationContext): EvacuationPlan => {
	const {policies, leaving, isSchedulable, hasTicket, mayShare, mayRestart, durations, now} = context;
	const workers = [...context.workers];
	const usableByPool = new Map<string, WorkerRow[]>();
	for (const worker of workers.filter(candidate => isSchedulable(candidate))) {
		const {pool} = worker.registration;
		const list = usableByPool.get(pool) ?? [];
		list.push(worker);
		usableByPool.set(pool, list);
	}

	/** Steps of which one task does not fit anywhere; nor do the others, which have the same requirements. */
	const stuckSteps = new Set<StepRow>();
	/** Kept as sums: with thousands of runs to move, lists of claims took seconds a tick. */
	const claimsByWorker = new Map<WorkerRow, WorkerClaims>();
	/** Tasks of a step that are away, those that leave in this plan included. */
	const awayByStep = new Map<StepRow, number>();
	const moved = new Set<RunRow>();
	const unadvised = new Map<StepRow, readonly WorkerRow[]>();

	const addClaim = ({task, worker, sign}: Claim): void => {
		const {step} = task;
		const claimed = claimsByWorker.get(worker) ?? {resources: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0}, runsByStep: new Map<StepRow, number>()};
		claimed.resources = addResources(claimed.resources, getReservedResources(task), sign);
		claimed.runsByStep.set(step, (claimed.runsByStep.get(step) ?? 0) + sign);
		claimsByWorker.set(worker, claimed);
	};

	const fitsOn = (task: TaskRow, worker: WorkerRow): boolean => {
		const {step} = task;
		const {maximumPerWorker, requiredLabel} = step.declaration;
		const claimed = claimsByWorker.get(worker);
		const reserved = getReservedResources(task);
		if (!hasCapacityFor(worker, claimed ? addResources(reserved, claimed.resources, 1) : reserved)) {
			return false;
		}

		let stepRuns = claimed?.runsByStep.get(step) ?? 0;
		if (maximumPerWorker > 0) {
			for (const row of worker.runs.values()) {
				stepRuns += row.task.step === step ? 1 : 0;
			}
		}

		return (maximumPerWorker === 0 || stepRuns < maximumPerWorker)
			&& (requiredLabel === undefined || worker.registration.labels.includes(requiredLabel)) && mayShare(task, worker);
	};

	const getUsable = (step: StepRow): readonly WorkerRow[] => usableByPool.get(policies.queues.get(step.job.declaration.queue)?.pool ?? '') ?? [];

	const claimPlace = (task: TaskRow): Claim | undefined => {
		const {step} = task;
		const usesAdvice = policies.queues.get(step.job.declaration.queue)?.advice !== undefined;
		const worker = getUsable(step).find(candidate => (!usesAdvice || hasTicket(step, candidate)) && fitsOn(task, candidate));
		const claim: Claim | undefined = worker && {task, worker, sign: 1};
		if (claim) {
			addClaim(claim);
		}

		return claim;
	};

	/** Claims a place for each of the runs. Members of a gang that run outside the zone give up theirs. */
	const claimPlaces = (rows: readonly RunRow[]): boolean => {
		const claims: Claim[] = rows.filter(({worker}) => !worker.isZoneEvacuated).map(({task, worker}) => ({task, worker, sign: -1}));
		for (const claim of claims) {
			addClaim(claim);
		}

		for (const {task} of rows) {
			const claim = claimPlace(task);
			if (!claim) {
				for (const {sign, ...place} of claims) {
					addClaim({...place, sign: sign === 1 ? -1 : 1});
				}

				return false;
			}

			claims.push(claim);
		}

		return true;
	};

	const countAway = (step: StepRow): number => {
		const away = awayByStep.get(step) ?? step.tasks.filter(task => !isAvailable(task, now)).length;
		awayByStep.set(step, away);
		return away;
	};

	/** Tasks that are at work now and would be away. */
	const countLeaving = (rows: readonly RunRow[]): number => rows.filter(({task}) => isAvailable(task, now)).length;

	/** True if no more tasks of the step would be away than it allows. */
	const isWithinAllowance = (rows: readonly RunRow[]): boolean => {
		const {step} = rows[0]!.task;
		const {maximumAway} = step.declaration;
		return maximumAway === undefined || countAway(step) + countLeaving(rows) <= maximumAway;
	};

	const isWorthMoving = (row: RunRow): boolean => {
		const {longRunning, checkpointing} = row.task.step.declaration;
		// A run that resumed from a checkpoint has less to do than its task, which its progress shows.
		const remaining = Math.min(durations.estimateRemaining(row, now), durations.estimateTask(row.task) * (1 - (row.percent / 100)));
		return longRunning || (checkpointing && remaining > minimumRemainingMilliseconds);
	};

	const considerRun = (row: RunRow): void => {
		const {step} = row.task;
		if (moved.has(row) || stuckSteps.has(step) || !isWorthMoving(row)) {
			return;
		}

		const unit = collectUnit(row);
		if (unit.length === 0 || !unit.every(({task}) => mayRestart(task) && !isSeparated(task)) || (step.declaration.longRunning && !isWithinAllowance(unit))) {
			return;
		}

		if (claimPlaces(unit)) {
			awayByStep.set(step, countAway(step) + countLeaving(unit));
			for (const member of unit) {
				moved.add(member);
			}

			return;
		}

		stuckSteps.add(step);
		if (policies.queues.get(step.job.declaration.queue)?.advice) {
			unadvised.set(step, getUsable(step));
		}
	};

	for (const task of leaving) {
		claimPlace(task);
	}

	// Long-running tasks first, since others leave or end sooner or later.
	const rows = workers.filter(worker => worker.isZoneEvacuated).flatMap(worker => [...worker.runs.values()]);
	for (const row of [...rows.filter(({task}) => task.step.declaration.longRunning), ...rows.filter(({task}) => !task.step.declaration.longRunning)]) {
		considerRun(row);
	}

	return {moved: [...moved], unadvised};
};
