/** The waits for preferred places: when they began, how their forecasts came true, and the events that report them. */
import {isActive} from './jobs.js';
import type {TaskRow} from './model.js';
import type {ForecastSlot, PlaceDecision} from './place-wait.js';
import {ElsewhereReason} from './place-wait.js';

/** Capacity may be free this much later than forecast, by the larger of the two: ends are reported with a delay, and run times vary. */
const forecastToleranceMilliseconds = 100;
const forecastToleranceShare = 0.1;

export enum PlaceWaitEnd {
	PlaceFound = 'place-found',
	/** Elsewhere the task ends sooner, or only there within its objective. */
	Elsewhere = 'elsewhere',
	Bound = 'bound',
	ForecastFailed = 'forecast-failed',
	/** The job has ended or was cancelled. */
	Withdrawn = 'withdrawn',
}

export type PlaceWaitEvent
	/** `task` is the name of the first task of a gang. `rack` is undefined for a gang, which waits for any rack. */
	= | {readonly type: 'place-wait-begun'; readonly task: string; readonly rack: string | undefined; readonly expectedMilliseconds: number; readonly boundMilliseconds: number}
		| {readonly type: 'place-wait-ended'; readonly task: string; readonly rack: string | undefined; readonly reason: PlaceWaitEnd; readonly milliseconds: number};

export type Wait = {
	readonly beganAt: number;
	readonly boundAt: number;
	/** When the current forecast expects capacity; a later forecast replaces it only once it has failed. */
	expectedAt: number;
	failedForecasts: number;
	/** The decision holds until this time while the rack is in this state or has no capacity for the task. */
	recheckAt: number;
	rackState: string;
	rackSize: number;
};

const getWaitEnd = (decision: PlaceDecision): PlaceWaitEnd => {
	if (decision.type !== 'start-elsewhere') {
		return PlaceWaitEnd.PlaceFound;
	}

	switch (decision.reason) {
		case ElsewhereReason.Bound: {
			return PlaceWaitEnd.Bound;
		}

		case ElsewhereReason.ForecastFailed: {
			return PlaceWaitEnd.ForecastFailed;
		}

		case ElsewhereReason.NoPlace:
		case ElsewhereReason.EndsSooner:
		case ElsewhereReason.Objective: {
			return PlaceWaitEnd.Elsewhere;
		}
	}
};

export const createPlaceWaitTable = (options: {readonly emit: (event: PlaceWaitEvent) => void}) => {
	const {emit} = options;
	/** By the task, or by the first task of a gang. */
	const waits = new Map<TaskRow, Wait>();
	/** A task waits at most once before each of its runs. */
	const finishedWaits = new Set<TaskRow>();

	const end = (task: TaskRow, reason: PlaceWaitEnd, now: number): void => {
		const wait = waits.get(task);
		if (wait) {
			waits.delete(task);
			finishedWaits.add(task);
			emit({
				type: 'place-wait-ended', task: task.name, rack: task.step.declaration.preferredRack, reason, milliseconds: Math.round(now - wait.beganAt),
			});
		}
	};

	return {
		end,
		get: (task: TaskRow): Wait | undefined => waits.get(task),
		/** True if a wait of the task has ended and the task has not been started since. */
		hasFinished: (task: TaskRow): boolean => finishedWaits.has(task),
		/** Counts a forecast of the task's wait as failed if its time has passed and the place has no capacity. */
		checkForecast(task: TaskRow, here: ForecastSlot | undefined, context: {readonly now: number; readonly durationMilliseconds: number}): void {
			const wait = waits.get(task);
			const tolerance = Math.max(forecastToleranceMilliseconds, forecastToleranceShare * context.durationMilliseconds);
			if (wait && here && here.startAt > context.now && context.now > wait.expectedAt + tolerance) {
				wait.failedForecasts += 1;
				wait.expectedAt = here.startAt;
			}
		},
		apply(task: TaskRow, decision: PlaceDecision, now: number): void {
			if (decision.type !== 'wait') {
				end(task, getWaitEnd(decision), now);
			} else if (!waits.has(task)) {
				waits.set(task, {
					beganAt: now, boundAt: decision.boundAt, expectedAt: decision.until, failedForecasts: 0, recheckAt: now, rackState: '', rackSize: 0,
				});
				emit({
					type: 'place-wait-begun', task: task.name, rack: task.step.declaration.preferredRack,
					expectedMilliseconds: Math.round(decision.until - now), boundMilliseconds: Math.round(decision.boundAt - now),
				});
			}
		},
		/** Ends the waits of tasks that no longer wait to be placed. */
		finishTick(now: number): void {
			for (const task of waits.keys()) {
				if (task.done || task.runs.size > 0 || !isActive(task.step.job)) {
					end(task, PlaceWaitEnd.Withdrawn, now);
				}
			}

			for (const task of finishedWaits) {
				if (task.done || task.runs.size > 0 || !isActive(task.step.job)) {
					finishedWaits.delete(task);
				}
			}
		},
	};
};
