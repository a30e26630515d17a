/** Decides which runs to stop. */
import {mayLoseTasks} from './availability.js';
import type {SchedulerEvent} from './events.js';
import {StopCause} from './events.js';
import {isActive} from './jobs.js';
import type {RunRow, WorkerRow} from './model.js';
import {RunPhase} from './model.js';
import type {Reconciler} from './reconciler.js';
import type {WorkerTable} from './workers.js';

/** An unanswered stop request is sent again after this time. */
const stopRetryMilliseconds = 500;

export type StopOrder = {
	readonly type: 'stop';
	readonly worker: WorkerRow;
	readonly task: string;
	readonly run: number;
	readonly row: RunRow | undefined;
	readonly plannedAt: number;
};

/** What was known of the other tasks when the run was chosen may have changed, by a pause of this process in particular. */
const mayStillMove = ({phase, task, isEvacuating}: RunRow, now: number): boolean =>
	!isEvacuating || phase !== RunPhase.Running || !isActive(task.step.job) || task.done || mayLoseTasks(task.step, new Set([task]), now);

const findCause = ({phase, task, isEvacuating}: RunRow): StopCause => {
	if (phase === RunPhase.Stopping) {
		return StopCause.Repeated;
	}

	if (!isActive(task.step.job)) {
		return StopCause.JobEnded;
	}

	if (task.done) {
		return StopCause.TaskDone;
	}

	return isEvacuating ? StopCause.Evacuating : StopCause.Unconfirmed;
};

const needsStop = (row: RunRow, now: number): boolean => {
	if (row.stopInFlight || row.phase === RunPhase.Starting) {
		return false;
	}

	if (row.stopSentAt !== undefined && now - row.stopSentAt < stopRetryMilliseconds) {
		return false;
	}

	const isUnwanted = !isActive(row.task.step.job) || row.task.done || row.isEvacuating;
	switch (row.phase) {
		case RunPhase.Running: {
			return isUnwanted;
		}

		case RunPhase.Unconfirmed: {
			// The worker has answered since and does not report the run: an acknowledged stop makes it reject the start request should that still arrive.
			return row.stopAcknowledgedAt === undefined && (isUnwanted || row.worker.lastContactAt > (row.unconfirmedAt ?? row.startedAt));
		}

		case RunPhase.Stopping: {
			return row.stopAcknowledgedAt === undefined;
		}
	}
};

export const createStopPlanner = (options: {readonly reconciler: Reconciler; readonly workers: WorkerTable; readonly emit: (event: SchedulerEvent) => void}) => {
	const {reconciler, workers, emit} = options;
	const logStop = ({worker, task, run}: StopOrder, cause: StopCause): void => {
		emit({
			type: 'stop-planned', task, run, worker: worker.registration.id, cause,
		});
	};

	return {
		plan(now: number): StopOrder[] {
			const orders: StopOrder[] = reconciler.unwantedRuns.splice(0).map(({worker, task, run}) => ({
				type: 'stop', worker, task, run, row: undefined, plannedAt: now,
			}));
			for (const order of orders) {
				logStop(order, StopCause.Unwanted);
			}

			for (const worker of workers.workers.values()) {
				for (const row of worker.runs.values()) {
					if (!mayStillMove(row, now)) {
						row.isEvacuating = false;
						emit({
							type: 'move-withheld', task: row.task.name, run: row.run, worker: worker.registration.id,
						});
						continue;
					}

					if (needsStop(row, now)) {
						const cause = findCause(row);
						row.stopInFlight = true;
						row.stopSentAt = now;
						if (row.phase === RunPhase.Running) {
							row.phase = RunPhase.Stopping;
						}

						const order: StopOrder = {
							type: 'stop', worker, task: row.task.name, run: row.run, row, plannedAt: now,
						};
						logStop(order, cause);
						orders.push(order);
					}
				}
			}

			return orders;
		},
	};
};
