/** Chooses a worker for each task that is ready to start. Jobs that can still meet their objective come before late ones. */
import {countCrashes} from './crashes.js';
import type {DurationEstimator} from './durations.js';
import type {FullPoolEvent} from './full-pools.js';
import {createFullPoolMonitor} from './full-pools.js';
import type {JobTurn} from './job-order.js';
import {orderJobs, TurnKind} from './job-order.js';
import {isStepReady} from './jobs.js';
import type {
	JobRow, Policies, QueuePolicy, RunRow, StepRow, TaskRow, WorkerRow,
} from './model.js';
import {findRack, RunPhase} from './model.js';
import type {ReadyJob} from './ready-work.js';
import {groupReadyJobs} from './ready-work.js';
import {createSeparation, hasRunOf, isSeparated} from './separation.js';
import type {WorkerTable} from './workers.js';
import {getReservedResources, groupByPool, hasCapacityFor} from './workers.js';

/** A worker that has not answered for this time gets no new runs; workers are asked for a report about once a second. */
const contactTimeoutMilliseconds = 2500;
/** Limits the duration of a request: the advice service needs time for each worker. */
const maximumWorkersPerAdviceCall = 12;
/** A run on a slow worker gets a speculative run after this many times its estimate. */
const speculationFactor = 1.5;
/** A ticket is not used this close to its expiry, since the start request has to reach the worker first. */
const ticketMarginMilliseconds = 300;

export type AdviceOrder = {readonly type: 'advise'; readonly step: StepRow; readonly workers: readonly string[]};
export type StartOrder = {readonly type: 'start'; readonly row: RunRow; readonly ticket: string | undefined};

export const isSchedulable = (worker: WorkerRow, now: number): boolean =>
	worker.isRegistered && worker.isReconciled && !worker.registration.draining && !worker.isCordoned
	&& worker.unansweredCalls === 0 && worker.lastContactAt > now - contactTimeoutMilliseconds && worker.avoidUntil <= now;

/** A worker with more than this share of a long-running step's tasks is avoided while other workers have free capacity. */
const maximumServiceShare = 0.34;
/** A worker below this speed is used only if no other has free capacity. */
const slowWorkerSpeed = 0.5;

/**
 * Weights in the score of a worker. Each exceeds the range of the free CPU share (0 to 1). An earlier failure counts more
 * than low speed, low speed more than the preferred rack, and the rack more than the concentration of a service.
 */
const preferredRackBonus = 2;
const failurePenaltyWeight = -4;
const slowPenaltyWeight = -3;
const concentrationPenaltyWeight = -1.5;
/** Separated tasks of one job share a worker, so that few workers are kept from other jobs. */
const companyWeight = 1;

const isDelayed = (task: TaskRow, now: number): boolean => task.notBefore > now || task.crashDelayUntil > now;

const getFreeCpuShare = (worker: WorkerRow): number => 1 - (worker.used.cpuMillis / Math.max(1, worker.registration.capacity.cpuMillis));

export const createPlacement = (options: {
	readonly workers: WorkerTable;
	readonly getPolicies: () => Policies;
	/** Runs with lower numbers were started by previous owners. */
	readonly getFirstRunOfEpoch: () => number;
	readonly crashedTasks: ReadonlySet<TaskRow>;
	readonly durations: DurationEstimator;
	readonly emit: (event: FullPoolEvent) => void;
}) => {
	const {workers, getPolicies, getFirstRunOfEpoch, crashedTasks, durations, emit} = options;
	const separation = createSeparation({crashedTasks});
	const fullPools = createFullPoolMonitor(emit);

	const isWithinWorkspaceLimit = (task: TaskRow, count: number): boolean => {
		const {workspace} = task.step.job.declaration;
		const maximum = workspace === undefined ? undefined : getPolicies().workspaces.get(workspace)?.maximum;
		if (!maximum || workspace === undefined) {
			return true;
		}

		const usage = workers.workspaceUsage.get(workspace) ?? {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
		const {resources} = task.step.declaration;
		const isWithinLimit = (limit: number, used: number, need: number): boolean => limit === 0 || used + (need * count) <= limit;
		return isWithinLimit(maximum.cpuMillis, usage.cpuMillis, resources.cpuMillis)
			&& isWithinLimit(maximum.memoryMegabytes, usage.memoryMegabytes, resources.memoryMegabytes)
			&& isWithinLimit(maximum.accelerators, usage.accelerators, resources.accelerators);
	};

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
		return rackBonus + failurePenalty + concentrationPenalty + slowPenalty + companyBonus + fit;
	};

	const chooseWorker = (task: TaskRow, candidates: readonly WorkerRow[], now: number): WorkerRow | undefined => {
		const required = getReservedResources(task);
		let best: WorkerRow | undefined;
		let bestScore = Number.NEGATIVE_INFINITY;
		for (const worker of candidates) {
			if (hasCapacityFor(worker, required) && meetsConstraints(task, worker) && separation.mayShare(task, worker, now)) {
				const score = scoreWorker(task, worker);
				if (score > bestScore) {
					best = worker;
					bestScore = score;
				}
			}
		}

		return best;
	};

	const createStart = (task: TaskRow, worker: WorkerRow, now: number, run?: number): StartOrder => {
		const row = workers.addRun({
			task, worker, run: run ?? Math.max(task.lastRun + 1, getFirstRunOfEpoch()), phase: RunPhase.Starting, now,
		});
		return {type: 'start', row, ticket: task.step.tickets.get(worker.registration.id)?.value};
	};

	/** True if the worker is unreachable or slow, so that a second run may finish first. */
	const needsSpeculativeRun = (row: RunRow, now: number): boolean => {
		const {worker} = row;
		if (row.isEvacuating || row.phase === RunPhase.Stopping) {
			return false;
		}

		const isUnreachable = worker.unansweredCalls > 0 || worker.lastContactAt < now - contactTimeoutMilliseconds;
		const elapsed = now - row.startedAt;
		return isUnreachable || (worker.speed < slowWorkerSpeed && elapsed > speculationFactor * row.task.step.declaration.estimateMilliseconds);
	};

	/** Starts second runs on other workers while there is free capacity. */
	const placeSpeculativeRuns = (step: StepRow, candidates: readonly WorkerRow[], now: number): StartOrder[] => {
		const orders: StartOrder[] = [];
		for (const task of step.tasks) {
			const [row] = task.runs.values();
			if (task.done || task.runs.size !== 1 || !row || countCrashes(task) > 0 || !needsSpeculativeRun(row, now) || !isWithinWorkspaceLimit(task, 1)) {
				continue;
			}

			const worker = chooseWorker(task, candidates.filter(candidate => candidate !== row.worker && candidate.speed >= slowWorkerSpeed), now);
			if (worker) {
				orders.push(createStart(task, worker, now));
			}
		}

		return orders;
	};

	/** Starts all members of a gang or none. */
	const placeGang = (step: StepRow, candidates: readonly WorkerRow[], now: number): StartOrder[] => {
		if (step.tasks.some(task => task.runs.size > 0 || isDelayed(task, now)) || !isWithinWorkspaceLimit(step.tasks[0]!, step.tasks.length)) {
			return [];
		}

		const racks = step.declaration.sameRack ? [...new Set(candidates.map(worker => findRack(worker.registration)))] : [undefined];
		const groups = racks.map(rack => rack === undefined ? candidates : candidates.filter(worker => findRack(worker.registration) === rack));
		if (step.declaration.sameRack) {
			// Falls back to several racks if no rack has enough capacity.
			groups.push(candidates);
		}

		const run = Math.max(getFirstRunOfEpoch(), ...step.tasks.map(task => task.lastRun + 1));
		for (const group of groups) {
			const orders: StartOrder[] = [];
			for (const task of step.tasks) {
				const worker = chooseWorker(task, group, now);
				if (worker) {
					orders.push(createStart(task, worker, now, run));
				}
			}

			if (orders.length === step.tasks.length) {
				return orders;
			}

			for (const order of orders) {
				workers.removeRun(order.row);
			}
		}

		return [];
	};

	const hasValidTicket = (step: StepRow, worker: WorkerRow, now: number): boolean => {
		const ticket = step.tickets.get(worker.registration.id);
		return ticket !== undefined && ticket.expiresAt - ticketMarginMilliseconds > now && ticket.incarnation === (worker.incarnation ?? 0);
	};

	const placeStep = (step: StepRow, turn: {readonly queue: QueuePolicy; readonly maximumStarts: number}, usable: readonly WorkerRow[], now: number): Array<StartOrder | AdviceOrder> => {
		const {queue, maximumStarts} = turn;
		const orders: Array<StartOrder | AdviceOrder> = [];
		const candidates = queue.advice ? usable.filter(worker => hasValidTicket(step, worker, now)) : usable;
		if (step.declaration.gang) {
			orders.push(...placeGang(step, candidates, now));
		} else {
			for (const task of step.tasks) {
				if (task.done || task.runs.size > 0 || isDelayed(task, now)) {
					continue;
				}

				if (orders.length >= maximumStarts || !isWithinWorkspaceLimit(task, 1)) {
					break;
				}

				const worker = chooseWorker(task, candidates, now);
				if (!worker && isSeparated(task)) {
					separation.reserve(task, candidates.filter(candidate => meetsConstraints(task, candidate)), now);
					// Its siblings need not wait.
					continue;
				}

				if (!worker) {
					break;
				}

				orders.push(createStart(task, worker, now));
			}
		}

		if (queue.advice && step.waiting > 0 && !step.adviceInFlight) {
			const required = getReservedResources(step.tasks[0]!);
			const undecided = usable
				.filter(worker => !step.disallowedWorkers.has(worker.registration.id) && !hasValidTicket(step, worker, now) && hasCapacityFor(worker, required))
				.toSorted((left, right) => getFreeCpuShare(right) - getFreeCpuShare(left));
			if (undecided.length > 0) {
				step.adviceInFlight = true;
				orders.push({type: 'advise', step, workers: undecided.slice(0, maximumWorkersPerAdviceCall).map(worker => worker.registration.id)});
			}
		}

		return orders;
	};

	const placeJob = ({job, queue, kind, maximumStarts}: JobTurn, usable: readonly WorkerRow[], now: number): Array<StartOrder | AdviceOrder> => {
		const orders: Array<StartOrder | AdviceOrder> = [];
		let startsLeft = maximumStarts;
		for (const step of [...job.occurrences.values()].flat()) {
			if (kind !== TurnKind.Speculative && startsLeft > 0 && step.waiting > 0 && isStepReady(step)) {
				const placed = placeStep(step, {queue, maximumStarts: startsLeft}, usable, now);
				startsLeft -= placed.filter(order => order.type === 'start').length;
				orders.push(...placed);
			}

			if (kind !== TurnKind.Waiting && step.declaration.speculative && step.remaining > 0 && !queue.advice) {
				orders.push(...placeSpeculativeRuns(step, usable, now));
			}
		}

		return orders;
	};

	const placePool = (pool: Parameters<typeof orderJobs>[1], jobs: readonly ReadyJob[]): Array<StartOrder | AdviceOrder> => {
		const orders: Array<StartOrder | AdviceOrder> = [];
		const {turns, ...fullness} = orderJobs(jobs, pool);
		fullPools.record(pool.pool, fullness, pool.now);
		for (let turn = turns.next(0); !turn.done;) {
			const placed = placeJob(turn.value, pool.workers, pool.now);
			const rows = placed.flatMap(order => order.type === 'start' ? [order.row] : []);
			separation.recordStarts(rows);
			orders.push(...placed);
			turn = turns.next(rows.length);
		}

		return orders;
	};

	return {
		/** Orders for all tasks that can start now; the started runs are already in the tables. */
		place(jobs: Iterable<JobRow>, now: number): Array<StartOrder | AdviceOrder> {
			separation.refresh();
			const {queues, workspaces} = getPolicies();
			const jobsByPool = groupReadyJobs(jobs, queues);
			const usableByPool = groupByPool(workers.workers.values(), worker => jobsByPool.has(worker.registration.pool) && isSchedulable(worker, now));
			const orders = [...jobsByPool].filter(([pool]) => usableByPool.has(pool)).flatMap(([pool, entries]) => placePool({
				pool, workers: usableByPool.get(pool)!, usage: workers.poolUsage, totalUsage: workers.workspaceUsage, workspaces, crashedTasks, durations, now,
			}, entries));
			fullPools.check(now);
			return orders;
		},
	};
};
