/** Decides which runs to stop. */
import {isActive} from './jobs.js';
import type {RunRow, WorkerRow} from './model.js';
import {RunPhase} from './model.js';
import type {Reconciler} from './reconciler.js';
import type {WorkerTable} from './workers.js';

/** An unanswered stop request is sent again after this time. */
const stopRetryMilliseconds = 500;

export type StopOrder = {readonly type: 'stop'; readonly worker: WorkerRow; readonly task: string; readonly run: number; readonly row: RunRow | undefined};

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

export const createStopPlanner = (options: {readonly reconciler: Reconciler; readonly workers: WorkerTable}) => {
	const {reconciler, workers} = options;
	return {
		plan(now: number): StopOrder[] {
			const orders: StopOrder[] = reconciler.unwantedRuns.splice(0).map(({worker, task, run}) => ({
				type: 'stop', worker, task, run, row: undefined,
			}));
			for (const worker of workers.workers.values()) {
				for (const row of worker.runs.values()) {
					if (needsStop(row, now)) {
						row.stopInFlight = true;
						row.stopSentAt = now;
						if (row.phase === RunPhase.Running) {
							row.phase = RunPhase.Stopping;
						}

						orders.push({
							type: 'stop', worker, task: row.task.name, run: row.run, row,
						});
					}
				}
			}

			return orders;
		},
	};
};
