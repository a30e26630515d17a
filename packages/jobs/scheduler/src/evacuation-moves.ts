/**
 * Decides which runs leave an evacuated zone now: long-running tasks within the number that may be away,
 * and checkpointing tasks that still take long. Nothing leaves unless it fits on a worker elsewhere.
 */
import type {DurationEstimator} from './durations.js';
import {isActive} from './jobs.js';
import type {
	Policies, Resources, RunRow, StepRow, TaskRow, WorkerRow,
} from './model.js';
import {RunPhase} from './model.js';
import {isSeparated} from './separation.js';
import {hasRecentReport} from './waves.js';
import {getReservedResources, hasCapacityFor} from './workers.js';

/** A checkpointing task that ends sooner stays: a stop and a start elsewhere repeat the work since its checkpoint. */
const minimumRemainingMilliseconds = 2000;

/** A place on a worker that a task is about to take, with the sign -1 for one that it gives up. */
type Claim = {readonly task: TaskRow; readonly worker: WorkerRow; readonly sign: 1 | -1};

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

const isAvailable = (task: TaskRow, now: number): boolean => [...task.runs.values()].some(row => row.phase === RunPhase.Running
	&& row.percent === 100 && !row.isEvacuating && !row.worker.isTerminating && hasRecentReport(row.worker, now));

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
	const usable = workers.filter(worker => isSchedulable(worker));
	const claims: Claim[] = [];
	const moved = new Set<RunRow>();
	const unadvised = new Map<StepRow, readonly WorkerRow[]>();

	const fitsOn = (task: TaskRow, worker: WorkerRow): boolean => {
		const {step} = task;
		const {maximumPerWorker, requiredLabel} = step.declaration;
		let required = getReservedResources(task);
		let stepRuns = 0;
		for (const row of worker.runs.values()) {
			stepRuns += row.task.step === step ? 1 : 0;
		}

		for (const claim of claims) {
			if (claim.worker === worker) {
				required = addResources(required, getReservedResources(claim.task), claim.sign);
				stepRuns += claim.task.step === step ? claim.sign : 0;
			}
		}

		return hasCapacityFor(worker, required) && (maximumPerWorker === 0 || stepRuns < maximumPerWorker)
			&& (requiredLabel === undefined || worker.registration.labels.includes(requiredLabel)) && mayShare(task, worker);
	};

	const getUsable = (step: StepRow): readonly WorkerRow[] => usable.filter(worker => worker.registration.pool === policies.queues.get(step.job.declaration.queue)?.pool);

	const claimPlace = (task: TaskRow): boolean => {
		const {step} = task;
		const usesAdvice = policies.queues.get(step.job.declaration.queue)?.advice !== undefined;
		const worker = getUsable(step).find(candidate => (!usesAdvice || hasTicket(step, candidate)) && fitsOn(task, candidate));
		if (worker) {
			claims.push({task, worker, sign: 1});
		}

		return worker !== undefined;
	};

	/** Claims a place for each of the runs. Members of a gang that run outside the zone give up theirs. */
	const claimPlaces = (rows: readonly RunRow[]): boolean => {
		const firstClaim = claims.length;
		for (const {task, worker} of rows) {
			if (!worker.isZoneEvacuated) {
				claims.push({task, worker, sign: -1});
			}
		}

		if (rows.every(({task}) => claimPlace(task))) {
			return true;
		}

		claims.length = firstClaim;
		return false;
	};

	/** True if no more tasks of the step would be away than it allows. */
	const isWithinAllowance = (rows: readonly RunRow[]): boolean => {
		const {step} = rows[0]!.task;
		const {maximumAway} = step.declaration;
		if (maximumAway === undefined) {
			return true;
		}

		const leavingTasks = new Set(rows.map(({task}) => task));
		const away = step.tasks.filter(task => leavingTasks.has(task) || !isAvailable(task, now) || [...task.runs.values()].some(row => moved.has(row)));
		return away.length <= maximumAway;
	};

	const isWorthMoving = (row: RunRow): boolean => {
		const {longRunning, checkpointing} = row.task.step.declaration;
		// A run that resumed from a checkpoint has less to do than its task, which its progress shows.
		const remaining = Math.min(durations.estimateRemaining(row, now), durations.estimateTask(row.task) * (1 - (row.percent / 100)));
		return longRunning || (checkpointing && remaining > minimumRemainingMilliseconds);
	};

	const considerRun = (row: RunRow): void => {
		const {step} = row.task;
		if (moved.has(row) || !isWorthMoving(row)) {
			return;
		}

		const unit = collectUnit(row);
		if (unit.length === 0 || !unit.every(({task}) => mayRestart(task) && !isSeparated(task)) || (step.declaration.longRunning && !isWithinAllowance(unit))) {
			return;
		}

		if (claimPlaces(unit)) {
			for (const member of unit) {
				moved.add(member);
			}
		} else if (policies.queues.get(step.job.declaration.queue)?.advice) {
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
