/**
 * The waits of tasks and gangs for their preferred place: applies the decisions of `decidePlace`,
 * and keeps the capacity on which a waiting gang counts free of tasks that would end too late.
 */
import {countCrashes} from './crashes.js';
import type {DurationEstimator} from './durations.js';
import type {
	JobRow, RunRow, StepRow, TaskRow, WorkerRow,
} from './model.js';
import {findRack} from './model.js';
import type {CapacityForecast, Demand} from './place-forecast.js';
import {createCapacityForecast, getRunTimeFactor, getSpeed} from './place-forecast.js';
import {createPoolContention} from './pool-contention.js';
import type {DecidePlace, ForecastSlot, PlaceDecision} from './place-wait.js';
import {ElsewhereReason} from './place-wait.js';
import type {PlaceWaitEvent} from './place-wait-table.js';
import {createPlaceWaitTable, PlaceWaitEnd} from './place-wait-table.js';
import {createRackStates} from './rack-states.js';
import {getReservedResources, hasCapacityFor} from './workers.js';
import type {WorkerChoice} from './worker-choice.js';

/** A wait is decided again after this time also if its rack has not changed: speeds, run times and capacity elsewhere do. Without responses, the owner has a tick as often. */
const recheckMilliseconds = 50;
/** Median speeds of racks are compared in steps of this fraction of the normal run time. */
const slownessSteps = 4;

type Hold = {readonly step: StepRow; readonly until: number};

export type TaskPlacement = {readonly type: 'start'; readonly worker: WorkerRow} | {readonly type: 'wait'} | {readonly type: 'full'};

const mayWait = (task: TaskRow): boolean => !task.step.declaration.longRunning && countCrashes(task) === 0;

export const createPlaceWaits = (options: {
	/** How many times as long a task takes elsewhere; nothing waits if it is at most 1. */
	readonly farFactor: number;
	readonly durations: DurationEstimator;
	readonly choice: WorkerChoice;
	readonly decidePlace: DecidePlace;
	readonly emit: (event: PlaceWaitEvent) => void;
}) => {
	const {farFactor, durations, choice, decidePlace, emit} = options;
	const isEnabled = farFactor > 1;
	const waitTable = createPlaceWaitTable({emit});
	/** The rack for which a gang waits, by its first task. */
	const gangRacks = new WeakMap<TaskRow, string>();
	let firstTickAt: number | undefined;
	/** Of the current tick and pool. */
	let usable: readonly WorkerRow[] = [];
	let contention = createPoolContention({jobs: [], usable: []});
	const forecasts = new Map<string | undefined, CapacityForecast>();
	const holds = new Map<string | undefined, Hold>();

	const rackStates = createRackStates();
	/** Demands of waits whose decision still holds; reserved if the rack is forecast later in the tick. */
	const keptDemands = new Map<string, Demand[]>();
	let previousWait: {readonly step: StepRow; readonly best: WorkerRow} | undefined;

	const getForecast = (rack: string | undefined, now: number): CapacityForecast => {
		const known = forecasts.get(rack);
		if (known) {
			return known;
		}

		const forecast = createCapacityForecast({
			workers: rackStates.listWorkers(rack), durations, farFactor, now,
		});
		for (const demand of keptDemands.get(rack ?? '') ?? []) {
			forecast.reserve(demand);
		}

		forecasts.set(rack, forecast);
		return forecast;
	};

	const decide = (task: TaskRow, options: {readonly here: ForecastSlot | undefined; readonly elsewhereEndAt: number; readonly now: number}): PlaceDecision => {
		const {here, elsewhereEndAt, now} = options;
		if (waitTable.hasFinished(task)) {
			return {type: 'start-elsewhere', reason: ElsewhereReason.EndsSooner};
		}

		const {job} = task.step;
		const durationMilliseconds = durations.estimateTask(task);
		const wait = waitTable.get(task);
		waitTable.checkForecast(task, here, {now, durationMilliseconds});
		// What others would be served meanwhile counts only if they are short of capacity elsewhere.
		const displacedMilliseconds = here && contention.isShort(task.step) ? Math.max(0, (elsewhereEndAt - now) - (here.endAt - here.startAt)) : 0;
		return decidePlace({
			now, here, elsewhereEndAt, displacedMilliseconds, wait,
			latestEndAt: job.deadline - durations.estimateFollowing(task.step),
			waitingSince: job.submittedAt < (firstTickAt ?? now) ? Math.min(job.submittedAt, now) : now,
		});
	};

	const decideTask = (task: TaskRow, options: {readonly demand: Demand; readonly preferredRack: string; readonly elsewhereEndAt: number; readonly now: number}): PlaceDecision => {
		const {demand, preferredRack, elsewhereEndAt, now} = options;
		const forecast = getForecast(preferredRack, now);
		const decision = decide(task, {here: forecast.findFirst(demand), elsewhereEndAt, now});
		waitTable.apply(task, decision, now);
		if (decision.type === 'wait') {
			forecast.reserve(demand);
			const wait = waitTable.get(task)!;
			// A start elsewhere meets the objective until then.
			const latestStartAt = task.step.job.deadline - durations.estimateFollowing(task.step) - (elsewhereEndAt - now);
			wait.recheckAt = Math.min(now + recheckMilliseconds, decision.boundAt, latestStartAt > now ? latestStartAt : Number.POSITIVE_INFINITY);
			wait.rackState = rackStates.getState(preferredRack);
			wait.rackSize = rackStates.listWorkers(preferredRack).length;
		}

		return decision;
	};

	/** True if the task's latest decision, to wait for the rack, still holds. */
	const isKept = (task: TaskRow, rack: string, now: number): boolean => {
		const wait = waitTable.get(task);
		if (!wait || now >= wait.recheckAt) {
			return false;
		}

		// Ends of runs whose capacity tasks ahead have taken are considered with the next recheck: busy racks change on most ticks.
		const workers = rackStates.listWorkers(rack);
		const required = getReservedResources(task);
		return wait.rackState === rackStates.getState(rack) || (wait.rackSize === workers.length && workers.every(worker => !hasCapacityFor(worker, required)));
	};

	const keepDemand = (rack: string, demand: Demand, now: number): void => {
		if (forecasts.has(rack)) {
			getForecast(rack, now).reserve(demand);
		} else {
			const demands = keptDemands.get(rack) ?? [];
			demands.push(demand);
			keptDemands.set(rack, demands);
		}
	};

	/** Removes workers that are held for a waiting gang, unless the task ends before the gang is expected to start. */
	const removeHeld = (task: TaskRow, candidates: readonly WorkerRow[], now: number): readonly WorkerRow[] => holds.size === 0
		? candidates
		: candidates.filter(worker => {
			const hold = holds.get(findRack(worker.registration));
			const {longRunning} = task.step.declaration;
			return hold === undefined || hold.step === task.step
				|| (!longRunning && now + (durations.estimateTask(task) * getRunTimeFactor(task, worker, farFactor)) <= hold.until);
		});

	const findBestRack = (candidates: readonly WorkerRow[], options: {readonly demand: Demand; readonly count: number; readonly now: number}) => {
		const {demand, count, now} = options;
		let best: {readonly rack: string; readonly forecast: CapacityForecast; readonly slot: ForecastSlot} | undefined;
		for (const rack of new Set(candidates.map(worker => findRack(worker.registration)))) {
			if (rack === undefined || holds.has(rack)) {
				continue;
			}

			const forecast = getForecast(rack, now);
			const slot = forecast.findTogether(demand, count, false);
			if (slot && (!best || slot.endAt < best.slot.endAt)) {
				best = {rack, forecast, slot};
			}
		}

		return best;
	};

	return {
		removeHeld,
		/** Called before the jobs of a pool are placed. */
		startPool(pool: {readonly usable: readonly WorkerRow[]; readonly jobs: readonly JobRow[]; readonly now: number}): void {
			firstTickAt ??= pool.now;
			usable = pool.usable;
			contention = createPoolContention(pool);
			previousWait = undefined;
			rackStates.startPool(pool.usable);
			forecasts.clear();
			keptDemands.clear();
			holds.clear();
		},
		finishTick: waitTable.finishTick,
		recordStart(row: RunRow): void {
			previousWait = undefined;
			if (isEnabled) {
				rackStates.recordStart(row);
				forecasts.get(findRack(row.worker.registration))?.recordStart(row);
			}
		},
		placeTask(task: TaskRow, candidates: readonly WorkerRow[], now: number): TaskPlacement {
			const {preferredRack} = task.step.declaration;
			const durationMilliseconds = durations.estimateTask(task);
			if (!isEnabled || preferredRack === undefined || durationMilliseconds <= 0 || !mayWait(task)) {
				const worker = choice.choose(task, removeHeld(task, candidates, now), now);
				return worker ? {type: 'start', worker} : {type: 'full'};
			}

			const eligible = candidates === usable ? undefined : new Set(candidates);
			const demand = {
				required: getReservedResources(task), durationMilliseconds,
				isEligible: (worker: WorkerRow) => (eligible?.has(worker) ?? true) && !task.failedWorkers.includes(worker.registration.id) && choice.meetsConstraints(task, worker),
			};
			if (isKept(task, preferredRack, now)) {
				keepDemand(preferredRack, demand, now);
				return {type: 'wait'};
			}

			const open = removeHeld(task, candidates, now);
			// Tasks of one step are alike, and nothing has started since the previous one was found to wait.
			const best = previousWait?.step === task.step && task.failedWorkers.length === 0 ? previousWait.best : choice.choose(task, open, now);
			if (!best) {
				return {type: 'full'};
			}

			const isHere = (worker: WorkerRow): boolean => findRack(worker.registration) === preferredRack;
			if (isHere(best)) {
				waitTable.end(task, PlaceWaitEnd.PlaceFound, now);
				return {type: 'start', worker: best};
			}

			const decision = decideTask(task, {
				demand, preferredRack, elsewhereEndAt: now + (durationMilliseconds * getRunTimeFactor(task, best, farFactor)), now,
			});
			if (decision.type === 'wait') {
				previousWait = task.failedWorkers.length === 0 ? {step: task.step, best} : undefined;
				return {type: 'wait'};
			}

			const worker = decision.type === 'start-here' ? choice.choose(task, open.filter(candidate => isHere(candidate)), now) : undefined;
			return {type: 'start', worker: worker ?? best};
		},
		/** Racks of normal speed first, since the slowest member decides when a gang ends; otherwise in the given order. */
		sortRacks(racks: ReadonlyArray<string | undefined>, candidates: readonly WorkerRow[]): ReadonlyArray<string | undefined> {
			if (!isEnabled) {
				return racks;
			}

			const rankSlowness = (rack: string | undefined): number => {
				const speeds = candidates.filter(worker => findRack(worker.registration) === rack).map(worker => getSpeed(worker)).toSorted((left, right) => left - right);
				return Math.floor(slownessSteps / (speeds[Math.floor(speeds.length / 2)] ?? 1));
			};

			return racks.map(rack => ({rack, rank: rankSlowness(rack)})).toSorted((left, right) => left.rank - right.rank).map(({rack}) => rack);
		},
		/** True if the gang waits for a rack with capacity for all of its members. `members` are the workers on which they could start now. */
		isGangWaiting(step: StepRow, context: {readonly members: readonly WorkerRow[]; readonly candidates: readonly WorkerRow[]; readonly now: number}): boolean {
			const {members, candidates, now} = context;
			const first = step.tasks[0]!;
			const durationMilliseconds = durations.estimateTask(first);
			const isFar = new Set(members.map(worker => findRack(worker.registration))).size > 1;
			if (!isEnabled || !step.declaration.sameRack || !isFar || durationMilliseconds <= 0 || !step.tasks.every(task => mayWait(task))) {
				waitTable.end(first, PlaceWaitEnd.PlaceFound, now);
				return false;
			}

			const eligible = new Set(candidates);
			const demand = {
				required: getReservedResources(first), durationMilliseconds,
				isEligible: (worker: WorkerRow) => eligible.has(worker) && choice.meetsConstraints(first, worker),
			};
			const best = findBestRack(candidates, {demand, count: members.length, now});
			const slowest = Math.max(...members.map(worker => 1 / getSpeed(worker)));
			const decision = decide(first, {here: best?.slot, elsewhereEndAt: now + (durationMilliseconds * farFactor * slowest), now});
			waitTable.apply(first, decision, now);
			if (decision.type !== 'wait' || !best) {
				return false;
			}

			best.forecast.findTogether(demand, members.length, true);
			gangRacks.set(first, best.rack);
			holds.set(best.rack, {step, until: decision.until});
			return true;
		},
		/** Keeps the held workers for a gang that waits and could not start elsewhere at this tick either. */
		keepHold(step: StepRow, now: number): void {
			const first = step.tasks[0]!;
			const wait = waitTable.get(first);
			if (wait && wait.boundAt > now) {
				holds.set(gangRacks.get(first), {step, until: Math.max(now, wait.expectedAt)});
			}
		},
	};
};
