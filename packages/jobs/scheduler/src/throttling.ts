/**
 * Throttles best-effort tasks on workers whose service tasks come close to
 * their response time target, and restores their speed in steps afterwards.
 */
import type {RunRow, WorkerRow} from './model.js';
import {RunPhase} from './model.js';

/** Best-effort tasks are throttled while a response time is above this share of its target. */
const throttleTargetShare = 0.85;
/** Speed is restored while all response times are below this share of their target. */
const restoreTargetShare = 0.6;
const throttleFactor = 0.5;
const restoreStepPercent = 15;
/** Below this limit a best-effort task is halted, since even a small share of the CPU affects service tasks. */
const minimumPercent = 10;
/** A change shows in the reported response times after this time: they cover the last 500 ms, and a new limit takes 100 ms to apply. */
const settleMilliseconds = 700;
/** All runs are read, so this is not done on each tick; it is short compared with the settling time. */
const planIntervalMilliseconds = 100;

export type ThrottleOrder = {readonly type: 'throttle'; readonly row: RunRow; readonly percent: number};

export const createThrottling = () => {
	const changedAt = new Map<string, number>();
	let plannedAt = Number.NEGATIVE_INFINITY;

	const throttleWorker = (worker: WorkerRow, now: number): ThrottleOrder[] => {
		let worstTargetShare = 0;
		const bestEffortRuns: RunRow[] = [];
		for (const row of worker.runs.values()) {
			const {declaration} = row.task.step;
			if (row.phase !== RunPhase.Running) {
				continue;
			}

			if (declaration.targetMilliseconds > 0) {
				worstTargetShare = Math.max(worstTargetShare, row.latencyOrCpuUsage / declaration.targetMilliseconds);
			} else if (declaration.fills) {
				bestEffortRuns.push(row);
			}
		}

		if (bestEffortRuns.length === 0 || now - (changedAt.get(worker.registration.id) ?? Number.NEGATIVE_INFINITY) < settleMilliseconds) {
			return [];
		}

		const orders: ThrottleOrder[] = [];
		for (const row of bestEffortRuns) {
			let percent = row.speedLimitPercent;
			if (worstTargetShare > throttleTargetShare) {
				percent = Math.floor(percent * throttleFactor);
				percent = percent < minimumPercent ? 0 : percent;
			} else if (worstTargetShare < restoreTargetShare) {
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
			if (now - plannedAt < planIntervalMilliseconds) {
				return [];
			}

			plannedAt = now;
			const orders: ThrottleOrder[] = [];
			for (const worker of workers) {
				orders.push(...throttleWorker(worker, now));
			}

			return orders;
		},
	};
};
