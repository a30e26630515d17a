/** Chooses a worker with free capacity for a task: by expected end where the effect of the place is known, then by a score. */
import {getFreeCpuShare} from './advice.js';
import {countCrashes} from './crashes.js';
import type {TaskRow, StepRow, WorkerRow} from './model.js';
import {findRack} from './model.js';
import {getRunTimeFactor} from './place-forecast.js';
import type {Separation} from './separation.js';
import {hasRunOf, isSeparated} from './separation.js';
import {getReservedResources, hasCapacityFor} from './workers.js';

/** A worker with more than this share of a long-running step's tasks is avoided while other workers have free capacity. */
const maximumServiceShare = 0.34;
/** A worker below this speed is used only if no other has free capacity. */
export const slowWorkerSpeed = 0.5;
/**
 * Workers on which a task is expected to take at most this many times the shortest run time count as equal: learned speeds
 * are averages of few samples, and the fullest worker should get the task unless another is clearly faster.
 */
const equalRunTimeRatio = 1.15;

/**
 * Weights in the score of a worker. Each exceeds the range of the free CPU share (0 to 1). An earlier failure counts more
 * than low speed, low speed more than the preferred rack, and the rack more than the concentration of a service.
 */
const preferredRackBonus = 2;
const failurePenaltyWeight = -4;
const slowPenaltyWeight = -3;
const concentrationPenaltyWeight = -1.5;
/** Exceeds the sum of all others: a worker that is slow after its start is used only if no other has capacity. */
const slowStartPenalty = -20;
/** Separated tasks of one job share a worker, so that few workers are kept from other jobs. */
const companyWeight = 1;

export const createWorkerChoice = (options: {readonly separation: Separation; readonly farFactor: number}) => {
	const {separation, farFactor} = options;

	const countRunsOn = (step: StepRow, worker: WorkerRow): number => {
		let count = 0;
		for (const task of step.tasks) {
			for (const row of task.runs.values()) {
				count += row.worker === worker ? 1 : 0;
			}
		}

		return count;
	};

	const meetsConstraints = (task: TaskRow, worker: WorkerRow): boolean => {
		const {requiredLabel, maximumPerWorker} = task.step.declaration;
		return (requiredLabel === undefined || worker.registration.labels.includes(requiredLabel))
			&& (maximumPerWorker === 0 || countRunsOn(task.step, worker) < maximumPerWorker);
	};

	const scoreWorker = (task: TaskRow, worker: WorkerRow): number => {
		const {preferredRack} = task.step.declaration;
		const rackBonus = preferredRack !== undefined && findRack(worker.registration) === preferredRack ? preferredRackBonus : 0;
		const failurePenalty = task.failedWorkers.includes(worker.registration.id) ? failurePenaltyWeight : 0;
		const slowPenalty = worker.speed < slowWorkerSpeed ? slowPenaltyWeight : 0;
		// The loss of one worker must not take down most tasks of a service.
		const {longRunning, taskCount} = task.step.declaration;
		const concentrationPenalty = longRunning && countRunsOn(task.step, worker) >= Math.ceil(taskCount * maximumServiceShare) ? concentrationPenaltyWeight : 0;
		// Prefers the fullest worker with free capacity (best fit), so that idle machines can move to other pools. A task that may crash its worker gets the emptiest.
		const fit = countCrashes(task) > 0 ? getFreeCpuShare(worker) : -getFreeCpuShare(worker);
		const companyBonus = isSeparated(task) && hasRunOf(task.step.job, worker) ? companyWeight : 0;
		const startPenalty = worker.isStartingSlowly ? slowStartPenalty : 0;
		return startPenalty + rackBonus + failurePenalty + concentrationPenalty + slowPenalty + companyBonus + fit;
	};

	/** Run time of the task on the worker, relative to a normal worker at its preferred place; 1 where ends are not compared. */
	const getComparedFactor = (task: TaskRow, worker: WorkerRow): number =>
		farFactor > 1 && !task.step.declaration.longRunning ? getRunTimeFactor(task, worker, farFactor) : 1;

	/** Workers with room for the task, refilled by each choice: the choice runs for each start, so it allocates nothing. */
	const fitting: WorkerRow[] = [];

	return {
		meetsConstraints,
		/** Among the workers on which the task is expected to end about as soon as on the best of them, the one with the highest score. */
		choose(task: TaskRow, candidates: readonly WorkerRow[], now: number): WorkerRow | undefined {
			const required = getReservedResources(task);
			const hasFailedOn = (worker: WorkerRow): boolean => task.failedWorkers.length > 0 && task.failedWorkers.includes(worker.registration.id);
			fitting.length = 0;
			let shortest = Number.POSITIVE_INFINITY;
			for (const worker of candidates) {
				if (hasCapacityFor(worker, required) && meetsConstraints(task, worker) && separation.mayShare(task, worker, now)) {
					fitting.push(worker);
					shortest = hasFailedOn(worker) ? shortest : Math.min(shortest, getComparedFactor(task, worker));
				}
			}

			let best: WorkerRow | undefined;
			let bestScore = Number.NEGATIVE_INFINITY;
			for (const worker of fitting) {
				// If the task has failed on all of them, the score alone decides.
				const isSoonEnough = shortest === Number.POSITIVE_INFINITY || getComparedFactor(task, worker) <= shortest * equalRunTimeRatio;
				const score = isSoonEnough ? scoreWorker(task, worker) : Number.NEGATIVE_INFINITY;
				if (score > bestScore) {
					best = worker;
					bestScore = score;
				}
			}

			return best;
		},
	};
};

export type WorkerChoice = ReturnType<typeof createWorkerChoice>;
