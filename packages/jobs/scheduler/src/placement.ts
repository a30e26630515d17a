/** Chooses a worker for each task that may start, in the order in which jobs can still meet their objective. */
import {isActive, isStepReady} from './jobs.js';
import type {
	JobRow, Policies, QueuePolicy, Resources, RunRow, StepRow, TaskRow, WorkerRow,
} from './model.js';
import {findRack, RunPhase} from './model.js';
import type {WorkerTable} from './workers.js';
import {estimateUsage} from './workers.js';

/** A worker that has answered nothing for longer gets no new work; its list of runs is asked for each second. */
const silenceMilliseconds = 2500;
/** Workers named in one call for advice; the service takes time for each. */
const advisedWorkersPerCall = 12;
/** A run on a slow worker is copied after this many times its estimate. */
const copyAfterFactor = 1.5;
/** A ticket is not used in the last part of its life, which the order to the worker needs. */
const ticketMarginMilliseconds = 300;

export type AdviceOrder = {readonly type: 'advise'; readonly step: StepRow; readonly workers: readonly string[]};
export type StartOrder = {readonly type: 'start'; readonly row: RunRow; readonly ticket: string | undefined};

const fits = (worker: WorkerRow, room: Resources): boolean => {
	const {capacity} = worker.registration;
	const {used} = worker;
	return used.cpuMillis + room.cpuMillis <= capacity.cpuMillis
		&& used.memoryMegabytes + room.memoryMegabytes <= capacity.memoryMegabytes
		&& used.accelerators + room.accelerators <= capacity.accelerators;
};

const isUsable = (worker: WorkerRow, now: number): boolean =>
	worker.isRegistered && worker.isReconciled && !worker.registration.draining && !worker.isCordoned
	&& worker.unansweredCalls === 0 && worker.lastContactAt > now - silenceMilliseconds && worker.avoidUntil <= now;

/** Long-running, in time, late, past any use. */
const ranksPerPriority = 4;
/** Share of a step that serves which one worker takes while others have room. */
const largestSharePerWorker = 0.34;
/** Below this speed a worker is used only when no other has room. */
const slowSpeed = 0.5;

const freeShare = (worker: WorkerRow): number => 1 - (worker.used.cpuMillis / Math.max(1, worker.registration.capacity.cpuMillis));

/** Late jobs come after those that can still be in time, and jobs past any use after these. */
const lateness = (job: JobRow, now: number): number => {
	if (now + job.criticalPathMilliseconds <= job.deadline) {
		return 0;
	}

	return now + job.criticalPathMilliseconds <= job.usefulUntil ? 1 : 2;
};

const isLongRunning = (job: JobRow): boolean => job.declaration.steps.some(step => step.longRunning);

export const createPlacement = (options: {
	readonly workers: WorkerTable;
	readonly policies: () => Policies;
	/** Run numbers of this owner lie above those of its predecessors. */
	readonly firstRun: () => number;
}) => {
	const {workers, policies, firstRun} = options;

	const withinMaximum = (task: TaskRow, count: number): boolean => {
		const {workspace} = task.step.job.declaration;
		const maximum = workspace === undefined ? undefined : policies().workspaces.get(workspace)?.maximum;
		if (!maximum || workspace === undefined) {
			return true;
		}

		const use = workers.workspaceUse.get(workspace) ?? {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
		const {resources} = task.step.declaration;
		const holds = (limit: number, used: number, need: number): boolean => limit === 0 || used + (need * count) <= limit;
		return holds(maximum.cpuMillis, use.cpuMillis, resources.cpuMillis)
			&& holds(maximum.memoryMegabytes, use.memoryMegabytes, resources.memoryMegabytes)
			&& holds(maximum.accelerators, use.accelerators, resources.accelerators);
	};

	const countOn = (step: StepRow, worker: WorkerRow): number => {
		let count = 0;
		for (const task of step.tasks) {
			for (const row of task.runs.values()) {
				count += row.worker === worker ? 1 : 0;
			}
		}

		return count;
	};

	const isAllowed = (task: TaskRow, worker: WorkerRow): boolean => {
		const {requiredLabel, maximumPerWorker} = task.step.declaration;
		return (requiredLabel === undefined || worker.registration.labels.includes(requiredLabel))
			&& (maximumPerWorker === 0 || countOn(task.step, worker) < maximumPerWorker);
	};

	const score = (task: TaskRow, worker: WorkerRow): number => {
		const {preferredRack} = task.step.declaration;
		const nearData = preferredRack !== undefined && findRack(worker.registration) === preferredRack ? 2 : 0;
		const failedHere = task.failedWorkers.includes(worker.registration.id) ? -4 : 0;
		const slow = worker.speed < slowSpeed ? -3 : 0;
		// The loss of one worker must not stop most of what a step serves.
		const {longRunning, taskCount} = task.step.declaration;
		const crowded = longRunning && countOn(task.step, worker) >= Math.ceil(taskCount * largestSharePerWorker) ? -1.5 : 0;
		// The fullest worker that has room is taken, so that others become free for other pools.
		return nearData + failedHere + crowded + slow - freeShare(worker);
	};

	const choose = (task: TaskRow, candidates: readonly WorkerRow[]): WorkerRow | undefined => {
		const room = estimateUsage(task);
		let best: WorkerRow | undefined;
		let bestScore = Number.NEGATIVE_INFINITY;
		for (const worker of candidates) {
			if (fits(worker, room) && isAllowed(task, worker)) {
				const value = score(task, worker);
				if (value > bestScore) {
					best = worker;
					bestScore = value;
				}
			}
		}

		return best;
	};

	const start = (task: TaskRow, worker: WorkerRow, now: number, run?: number): StartOrder => {
		const row = workers.addRun({
			task, worker, run: run ?? Math.max(task.lastRun + 1, firstRun()), phase: RunPhase.Starting, now,
		});
		return {type: 'start', row, ticket: task.step.tickets.get(worker.registration.id)?.value};
	};

	/** A run that may be on a worker that is lost, or gets on slowly: a copy may finish first. */
	const needsCopy = (row: RunRow, now: number): boolean => {
		const {worker} = row;
		if (row.isEvacuating || row.phase === RunPhase.Stopping) {
			return false;
		}

		const isSilent = worker.unansweredCalls > 0 || worker.lastContactAt < now - silenceMilliseconds;
		const elapsed = now - row.startedAt;
		return isSilent || (worker.speed < slowSpeed && elapsed > copyAfterFactor * row.task.step.declaration.estimateMilliseconds);
	};

	/** Copies of tasks that allow it, on other workers, while there is room. */
	const placeCopies = (step: StepRow, candidates: readonly WorkerRow[], now: number): StartOrder[] => {
		const orders: StartOrder[] = [];
		for (const task of step.tasks) {
			const [row] = task.runs.values();
			if (task.done || task.runs.size !== 1 || !row || !needsCopy(row, now) || !withinMaximum(task, 1)) {
				continue;
			}

			const worker = choose(task, candidates.filter(candidate => candidate !== row.worker && candidate.speed >= slowSpeed));
			if (worker) {
				orders.push(start(task, worker, now));
			}
		}

		return orders;
	};

	/** Members of a gang start together or not at all. */
	const placeGang = (step: StepRow, candidates: readonly WorkerRow[], now: number): StartOrder[] => {
		if (step.tasks.some(task => task.runs.size > 0 || task.notBefore > now) || !withinMaximum(step.tasks[0]!, step.tasks.length)) {
			return [];
		}

		const racks = step.declaration.sameRack ? [...new Set(candidates.map(worker => findRack(worker.registration)))] : [undefined];
		const groups = racks.map(rack => rack === undefined ? candidates : candidates.filter(worker => findRack(worker.registration) === rack));
		if (step.declaration.sameRack) {
			groups.push(candidates);
		}

		const run = Math.max(firstRun(), ...step.tasks.map(task => task.lastRun + 1));
		for (const group of groups) {
			const orders: StartOrder[] = [];
			for (const task of step.tasks) {
				const worker = choose(task, group);
				if (worker) {
					orders.push(start(task, worker, now, run));
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

	const holdsTicket = (step: StepRow, worker: WorkerRow, now: number): boolean => {
		const ticket = step.tickets.get(worker.registration.id);
		return ticket !== undefined && ticket.expiresAt - ticketMarginMilliseconds > now && ticket.incarnation === (worker.incarnation ?? 0);
	};

	const placeStep = (step: StepRow, queue: QueuePolicy, usable: readonly WorkerRow[], now: number): Array<StartOrder | AdviceOrder> => {
		const orders: Array<StartOrder | AdviceOrder> = [];
		const candidates = queue.advice ? usable.filter(worker => holdsTicket(step, worker, now)) : usable;
		if (step.declaration.gang) {
			orders.push(...placeGang(step, candidates, now));
		} else {
			for (const task of step.tasks) {
				if (task.done || task.runs.size > 0 || task.notBefore > now) {
					continue;
				}

				if (!withinMaximum(task, 1)) {
					break;
				}

				const worker = choose(task, candidates);
				if (!worker) {
					break;
				}

				orders.push(start(task, worker, now));
			}
		}

		if (queue.advice && step.waiting > 0 && !step.adviceInFlight) {
			const room = estimateUsage(step.tasks[0]!);
			const unknown = usable
				.filter(worker => !step.disallowedWorkers.has(worker.registration.id) && !holdsTicket(step, worker, now) && fits(worker, room))
				.toSorted((left, right) => freeShare(right) - freeShare(left));
			if (unknown.length > 0) {
				step.adviceInFlight = true;
				orders.push({type: 'advise', step, workers: unknown.slice(0, advisedWorkersPerCall).map(worker => worker.registration.id)});
			}
		}

		return orders;
	};

	const placeJob = (options: {readonly job: JobRow; readonly queue: QueuePolicy; readonly usable: readonly WorkerRow[]; readonly now: number}): Array<StartOrder | AdviceOrder> => {
		const {job, queue, usable, now} = options;
		const orders: Array<StartOrder | AdviceOrder> = [];
		for (const step of [...job.occurrences.values()].flat()) {
			if (step.waiting > 0 && isStepReady(step)) {
				orders.push(...placeStep(step, queue, usable, now));
			}

			if (step.declaration.speculative && step.remaining > 0 && !queue.advice) {
				orders.push(...placeCopies(step, usable, now));
			}
		}

		return orders;
	};

	return {
		/** Orders for all tasks that may start now; each start is already entered in the tables. */
		place(jobs: Iterable<JobRow>, now: number): Array<StartOrder | AdviceOrder> {
			const byPool = new Map<string, Array<{readonly job: JobRow; readonly queue: QueuePolicy; readonly rank: number}>>();
			for (const job of jobs) {
				const queue = policies().queues.get(job.declaration.queue);
				if (!queue || !isActive(job)) {
					continue;
				}

				const rank = (queue.priority * ranksPerPriority) + (isLongRunning(job) ? 0 : 1 + lateness(job, now));
				const list = byPool.get(queue.pool) ?? [];
				list.push({job, queue, rank});
				byPool.set(queue.pool, list);
			}

			const orders: Array<StartOrder | AdviceOrder> = [];
			for (const [pool, list] of byPool) {
				const usable = [...workers.workers.values()].filter(worker => worker.registration.pool === pool && isUsable(worker, now));
				if (usable.length === 0) {
					continue;
				}

				for (const {job, queue} of list.toSorted((left, right) => left.rank - right.rank || left.job.deadline - right.job.deadline)) {
					orders.push(...placeJob({
						job, queue, usable, now,
					}));
				}
			}

			return orders;
		},
	};
};
