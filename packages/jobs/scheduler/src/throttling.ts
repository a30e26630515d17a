/**
 * Slows tasks that fill beside tasks that serve once a response time comes near
 * its target, and gives the speed back step by step when it is calm.
 */
import type {RunRow, WorkerRow} from './model.js';
import {RunPhase} from './model.js';

/** Share of the target above which fillers are slowed. */
const slowAbove = 0.85;
/** Share of the target below which fillers get speed back. */
const restoreBelow = 0.6;
const slowFactor = 0.5;
const restoreStepPercent = 15;
/** Below this percentage a filler is halted, since a smaller share still disturbs. */
const leastPercent = 10;
/** Measured figures cover the last half second, and a change takes 100 ms to act (the users' protocol page). */
const settleMilliseconds = 700;

export type ThrottleOrder = {readonly type: 'throttle'; readonly row: RunRow; readonly percent: number};

export const createThrottling = () => {
	const changedAt = new Map<string, number>();

	const paceWorker = (worker: WorkerRow, now: number): ThrottleOrder[] => {
		let worst = 0;
		const fillers: RunRow[] = [];
		for (const row of worker.runs.values()) {
			const {declaration} = row.task.step;
			if (row.phase !== RunPhase.Running) {
				continue;
			}

			if (declaration.targetMilliseconds > 0) {
				worst = Math.max(worst, row.measured / declaration.targetMilliseconds);
			} else if (declaration.fills) {
				fillers.push(row);
			}
		}

		if (fillers.length === 0 || now - (changedAt.get(worker.registration.id) ?? Number.NEGATIVE_INFINITY) < settleMilliseconds) {
			return [];
		}

		const orders: ThrottleOrder[] = [];
		for (const row of fillers) {
			let percent = row.speedLimitPercent;
			if (worst > slowAbove) {
				percent = Math.floor(percent * slowFactor);
				percent = percent < leastPercent ? 0 : percent;
			} else if (worst < restoreBelow) {
				percent = Math.min(100, percent + restoreStepPercent);
			}

			if (percent !== row.speedLimitPercent && !row.throttleInFlight) {
				row.throttleInFlight = true;
				orders.push({type: 'throttle', row, percent});
			}
		}

		if (orders.length > 0) {
			changedAt.set(worker.registration.id, now);
		}

		return orders;
	};

	return {
		plan(workers: Iterable<WorkerRow>, now: number): ThrottleOrder[] {
			const orders: ThrottleOrder[] = [];
			for (const worker of workers) {
				orders.push(...paceWorker(worker, now));
			}

			return orders;
		},
	};
};
