/** Applies the outcome of a start request to the run, its task and its worker. */
import type {JobTable} from './jobs.js';
import type {RunRow} from './model.js';
import {RunPhase} from './model.js';
import type {Reconciler} from './reconciler.js';

/** Pause for a worker that got no run for lack of capacity or of a valid lease. It usually reports again within this time. */
const rejectionPauseMilliseconds = 250;
/** A worker that reports itself unhealthy gets no new runs for this time. */
const unhealthyPauseMilliseconds = 1500;
/** A start whose content a worker rejected as invalid is retried after this time. */
const invalidPauseMilliseconds = 500;

export type StartOutcome
	= | {readonly type: 'started'}
		| {readonly type: 'rejected'; readonly reason: 'fenced' | 'superseded' | 'late' | 'room' | 'ticket' | 'unhealthy' | 'invalid'}
		| {readonly type: 'not-sent'}
		/** Not sent, since the task no longer needs the run, or the worker is cordoned or has become too small. */
		| {readonly type: 'withdrawn'}
		| {readonly type: 'unknown'};

export const createStartOutcomeHandler = (options: {readonly jobs: JobTable; readonly reconciler: Reconciler}) => {
	const {jobs, reconciler} = options;
	return {
		record(row: RunRow, outcome: StartOutcome, now: number): void {
			const {worker, task} = row;
			switch (outcome.type) {
				case 'started': {
					row.confirmedAt ??= now;
					if (row.phase === RunPhase.Starting || row.phase === RunPhase.Unconfirmed) {
						row.phase = RunPhase.Running;
					}

					if (!task.step.job.begun) {
						task.step.job.begun = true;
						jobs.markChanged(task.step.job);
					}

					break;
				}

				case 'unknown': {
					if (row.phase === RunPhase.Starting) {
						row.phase = RunPhase.Unconfirmed;
						row.unconfirmedAt = now;
						worker.unansweredCalls += 1;
					}

					break;
				}

				case 'withdrawn': {
					reconciler.dropRun(row, 'not-run');

					break;
				}

				case 'not-sent': {
					worker.unansweredCalls += 1;
					reconciler.dropRun(row, 'not-run');

					break;
				}

				case 'rejected': {
					task.notBefore = now;
					switch (outcome.reason) {
						case 'room':
						case 'late': {
							worker.avoidUntil = Math.max(worker.avoidUntil, now + rejectionPauseMilliseconds);

							break;
						}

						case 'unhealthy': {
							worker.avoidUntil = Math.max(worker.avoidUntil, now + unhealthyPauseMilliseconds);

							break;
						}

						case 'ticket': {
							task.step.tickets.delete(worker.registration.id);

							break;
						}

						case 'invalid': {
							task.notBefore = now + invalidPauseMilliseconds;

							break;
						}

						// The task is placed again with a higher run number; the job service handles the loss of ownership.
						case 'fenced':
						case 'superseded': {
							break;
						}
					}

					reconciler.dropRun(row, 'not-run');

					break;
				}
			}
		},
	};
};
