/** Chooses a worker for each task that is ready to start. Jobs that can still meet their objective come before late ones. */
import type {AdviceOrder} from './advice.js';
import {createAdviceOrders, hasValidTicket} from './advice.js';
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
import type {DecidePlace} from './place-wait.js';
import type {PlaceWaitEvent} from './place-wait-table.js';
import {createPlaceWaits} from './place-waits.js';
import type {ReadyJob} from './ready-work.js';
import {groupReadyJobs} from './ready-work.js';
import {createSeparation, isSeparated} from './separation.js';
import {createWorkerChoice, slowWorkerSpeed} from './worker-choice.js';
import type {WorkerTable} from './workers.js';
import {getReservedResources, groupByPool, hasCapacityFor} from './workers.js';

/** A worker that has not answered for this time gets no new runs; workers are asked for a report about once a second. */
const contactTimeoutMilliseconds = 2500;
/** A run on a slow worker gets a speculative run after this many times its estimate. */
const speculationFactor = 1.5;
/** The need for a second run shows over seconds, so all running speculative tasks are not checked on each tick. */
const speculationIntervalMilliseconds = 100;

export type StartOrder = {readonly type: 'start'; readonly row: RunRow; readonly ticket: string | undefined};

export const isSchedulable = (worker: WorkerRow, now: number): boolean =>
	worker.isRegistered && worker.isReconciled && !worker.registration.draining && !worker.isCordoned && !worker.isZoneEvacuated
	&& worker.unansweredCalls === 0 && worker.lastContactAt > now - contactTimeoutMilliseconds && worker.avoidUntil <= now;

const isDelayed = (task: TaskRow, now: number): boolean => task.notBefore > now || task.crashDelayUntil > now;

export const createPlacement = (options: {
	readonly workers: WorkerTable;
	readonly getPolicies: () => Policies;
	/** Runs with lower numbers were started by previous owners. */
	readonly getFirstRunOfEpoch: () => number;
	readonly crashedTasks: ReadonlySet<TaskRow>;
	readonly durations: DurationEstimator;
	/** How many times as long a task takes away from its preferred rack; 1 if unknown. */
	readonly farFactor: number;
	readonly decidePlace: DecidePlace;
	readonly emit: (event: FullPoolEvent | PlaceWaitEvent) => void;
}) => {
	const {workers, getPolicies, getFirstRunOfEpoch, crashedTasks, durations, farFactor, decidePlace, emit} = options;
	const fullPools = createFullPoolMonitor(emit);
	let speculatedAt = Number.NEGATIVE_INFINITY;
	const separation = createSeparation({crashedTasks});
	const choice = createWorkerChoice({separation, farFactor});
	const placeWaits = createPlaceWaits({
		farFactor, durations, choice, decidePlace, emit,
	});

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

	const createStart = (task: TaskRow, worker: WorkerRow, now: number, run?: number): StartOrder => {
		const row = workers.addRun({
			task, worker, run: run ?? Math.max(task.lastRun + 1, getFirstRunOfEpoch()), phase: RunPhase.Starting, now,
		});
		return {type: 'start', row, ticket: task.step.tickets.get(worker.registration.id)?.value};
	};

	const startTask = (task: TaskRow, worker: WorkerRow, now: number): StartOrder => {
		const order = createStart(task, worker, now);
		placeWaits.recordStart(order.row);
		return order;
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

			const worker = choice.choose(task, candidates.filter(candidate => candidate !== row.worker && candidate.speed >= slowWorkerSpeed), now);
			if (worker) {
				orders.push(startTask(task, worker, now));
			}
		}

		return orders;
	};

	const startMembers = (step: StepRow, members: readonly WorkerRow[], now: number): StartOrder[] => {
		const run = Math.max(getFirstRunOfEpoch(), ...step.tasks.map(task => task.lastRun + 1));
		const orders = step.tasks.map((task, index) => createStart(task, members[index]!, now, run));
		for (const order of orders) {
			placeWaits.recordStart(order.row);
		}

		return orders;
	};

	/** Chooses workers on which all members of a gang can start together; empty if there are too few. */
	const chooseMembers = (step: StepRow, group: readonly WorkerRow[], now: number): WorkerRow[] => {
		const {state} = step.job;
		const members: WorkerRow[] = [];
		const rows: RunRow[] = [];
		for (const task of step.tasks) {
			const worker = choice.choose(task, group, now);
			if (!worker) {
				break;
			}

			members.push(worker);
			// The run takes up capacity while the other members are placed.
			rows.push(createStart(task, worker, now, task.lastRun).row);
		}

		for (const row of rows) {
			workers.removeRun(row);
		}

		step.job.state = state;
		return members.length === step.tasks.length ? members : [];
	};

	/** Starts all members of a gang or none. */
	const placeGang = (step: StepRow, candidates: readonly WorkerRow[], now: number): StartOrder[] => {
		if (step.tasks.some(task => task.runs.size > 0 || isDelayed(task, now)) || !isWithinWorkspaceLimit(step.tasks[0]!, step.tasks.length)) {
			return [];
		}

		const open = placeWaits.removeHeld(step.tasks[0]!, candidates, now);
		const racks = step.declaration.sameRack ? placeWaits.sortRacks([...new Set(open.map(worker => findRack(worker.registration)))], open) : [undefined];
		const groups = racks.map(rack => rack === undefined ? open : open.filter(worker => findRack(worker.registration) === rack));
		if (step.declaration.sameRack) {
			// Falls back to several racks if no rack has enough capacity.
			groups.push(open);
		}

		for (const group of groups) {
			const members = chooseMembers(step, group, now);
			if (members.length > 0) {
				return placeWaits.isGangWaiting(step, {members, candidates, now}) ? [] : startMembers(step, members, now);
			}
		}

		placeWaits.keepHold(step, now);
		return [];
	};

	const placeStep = (step: StepRow, turn: {readonly queue: QueuePolicy; readonly maximumStarts: number}, usable: readonly WorkerRow[], now: number): Array<StartOrder | AdviceOrder> => {
		const {queue, maximumStarts} = turn;
		const orders: Array<StartOrder | AdviceOrder> = [];
		const candidates = queue.advice ? usable.filter(worker => hasValidTicket(step, worker, now)) : usable;
		if (step.declaration.gang) {
			const preferred = candidates.filter(worker => !worker.isStartingSlowly);
			const preferredOrders = placeGang(step, preferred, now);
			orders.push(...(preferredOrders.length > 0 || preferred.length === candidates.length ? preferredOrders : placeGang(step, candidates, now)));
		} else {
			for (const task of step.tasks) {
				if (task.done || task.runs.size > 0 || isDelayed(task, now)) {
					continue;
				}

				if (orders.length >= maximumStarts || !isWithinWorkspaceLimit(task, 1)) {
					break;
				}

				const placed = placeWaits.placeTask(task, candidates, now);
				if (placed.type === 'full' && isSeparated(task)) {
					separation.reserve(task, candidates.filter(candidate => choice.meetsConstraints(task, candidate)), now);
					// Its siblings need not wait.
					continue;
				}

				if (placed.type === 'full') {
					break;
				}

				if (placed.type === 'start') {
					orders.push(startTask(task, placed.worker, now));
				}
			}
		}

		if (queue.advice && step.waiting > 0) {
			orders.push(...createAdviceOrders(step, usable, now));
		}

		return orders;
	};

	const placeJob = ({job, queue, kind, maximumStarts}: JobTurn, usable: readonly WorkerRow[], now: number): Array<StartOrder | AdviceOrder> => {
		const orders: Array<StartOrder | AdviceOrder> = [];
		let startsLeft = maximumStarts;
		for (const steps of job.occurrences.values()) {
			for (const step of steps) {
				if (kind !== TurnKind.Speculative && startsLeft > 0 && step.waiting > 0 && isStepReady(step)) {
					const placed = placeStep(step, {queue, maximumStarts: startsLeft}, usable, now);
					startsLeft -= placed.filter(order => order.type === 'start').length;
					orders.push(...placed);
				}

				if (kind !== TurnKind.Waiting && step.declaration.speculative && step.remaining > 0 && !queue.advice) {
					orders.push(...placeSpeculativeRuns(step, usable, now));
				}
			}
		}

		return orders;
	};

	const placePool = (pool: Parameters<typeof orderJobs>[1], jobs: readonly ReadyJob[]): Array<StartOrder | AdviceOrder> => {
		const orders: Array<StartOrder | AdviceOrder> = [];
		placeWaits.startPool({usable: pool.workers, jobs: jobs.map(({job}) => job), now: pool.now});
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
		isWithinWorkspaceLimit,
		mayShare: separation.mayShare,
		/** Orders for all tasks that can start now; the started runs are already in the tables. */
		place(jobs: Iterable<JobRow>, now: number): Array<StartOrder | AdviceOrder> {
			separation.refresh();
			const {queues, workspaces} = getPolicies();
			const includesSpeculative = now - speculatedAt >= speculationIntervalMilliseconds;
			speculatedAt = includesSpeculative ? now : speculatedAt;
			const jobsByPool = groupReadyJobs(jobs, queues, includesSpeculative);
			const usableByPool = groupByPool(workers.workers.values(), worker => jobsByPool.has(worker.registration.pool) && isSchedulable(worker, now));
			const orders = [...jobsByPool].filter(([pool]) => usableByPool.has(pool)).flatMap(([pool, entries]) => placePool({
				pool, workers: usableByPool.get(pool)!, usage: workers.poolUsage, totalUsage: workers.workspaceUsage, workspaces, crashedTasks, durations, now,
			}, entries));
			placeWaits.finishTick(now);
			fullPools.check(now);
			return orders;
		},
	};
};
