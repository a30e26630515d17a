/** Sends the scheduler's orders to workers and to the advice service, and records the outcomes in the scheduler. */
import type {
	AdviceOrder, Order, RunRow, Scheduler, StartOrder, StopOrder, ThrottleOrder, Ticket, WorkerRow,
} from '@turmericbay/scheduler';
import {
	formatRunKey, isActive, isEarlierIncarnation, isWithinCapacity, RunPhase,
} from '@turmericbay/scheduler';
import type {Result} from 'neverthrow';
import type {FencingTokens} from './fencing-tokens.js';
import type {
	AdviceClient, Clock, WorkerCallError, WorkerClient, WorkerResponse,
} from './ports.js';
import {WorkerCallErrorKind} from './ports.js';
import type {WorkerSession} from './worker-session.js';
import {describeTarget} from './worker-target.js';

/** Delay before advice is requested again after a failure; the service rejects requests while too many are waiting. */
const adviceRetryMilliseconds = 200;

/** False if the run was dropped, its task no longer needs it, its worker has restarted since it was planned, its worker is about to end, or the zone of the worker has been evacuated. */
const isWanted = (row: RunRow, scheduler: Scheduler): boolean => {
	const {worker, task} = row;
	return worker.runs.get(formatRunKey(task.name, row.run)) === row && row.phase === RunPhase.Starting && isActive(task.step.job) && !task.done && !worker.isCordoned
		&& !scheduler.isEvacuated(worker.registration.zone);
};

/** Undefined if the current process of the worker acknowledged the stop. One that has ended since cannot reject a delayed start for the current one. */
const describeStopFailure = (stopped: Result<WorkerResponse, WorkerCallError>, worker: WorkerRow): string | undefined => {
	if (stopped.isErr()) {
		return stopped.error.kind;
	}

	return isEarlierIncarnation(stopped.value.incarnation, worker) ? 'earlier-incarnation' : undefined;
};

export const createOrderExecutor = (options: {
	readonly scheduler: Scheduler;
	readonly workerClient: WorkerClient;
	readonly adviceClient: AdviceClient | undefined;
	readonly clock: Clock;
	readonly fencingTokens: FencingTokens;
	readonly getSession: (worker: WorkerRow) => WorkerSession | undefined;
	/** Resolves once the run is stored. */
	readonly recordRun: (row: RunRow) => Promise<void>;
	/** Checked directly before each start. */
	readonly mayStart: () => boolean;
	readonly onFenced: () => void;
	readonly onChange: () => void;
	readonly onStartAttempted: (order: StartOrder, outcome: string) => void;
	/** `milliseconds` is the time from the plan to the end of the call. */
	readonly onStopAttempted: (order: StopOrder, outcome: string, milliseconds: number) => void;
}) => {
	const {scheduler, workerClient, adviceClient, clock, fencingTokens, getSession, recordRun, mayStart, onFenced, onChange, onStartAttempted, onStopAttempted} = options;
	const handleFenced = (worker: WorkerRow, fencingToken: number): void => {
		if (!fencingTokens.isSuperseded(worker, fencingToken)) {
			onFenced();
		}
	};

	const start = async (order: StartOrder): Promise<void> => {
		const {row, ticket} = order;
		await recordRun(row);
		const {worker, task} = row;
		if (!isWanted(row, scheduler) || !isWithinCapacity(worker)) {
			scheduler.recordStartOutcome(row, {type: 'withdrawn'}, clock.now());
			onChange();
			return;
		}

		const lease = getSession(row.worker)?.grantLease();
		if (lease === undefined || !mayStart()) {
			// Not sent, since no lease can be granted or ownership is uncertain. Handled like a rejection, so that the task is placed again.
			scheduler.recordStartOutcome(row, {type: 'rejected', reason: 'late'}, clock.now());
			return;
		}

		const fencingToken = fencingTokens.get(worker);
		row.isSent = true;
		const started = await workerClient.start({
			worker: describeTarget(row.worker, true), task: row.task.name, run: row.run, payload: row.task.step.job.declaration.payload,
			leaseExpiresAt: lease.expiresAt, fencingToken, checkpoint: row.task.checkpoint, ticket,
		});
		const now = clock.now();
		const isConfirmed = lease.confirm(started);
		if (started.isOk()) {
			const {rejection, incarnation} = started.value;
			if (rejection === undefined && (!isConfirmed || isEarlierIncarnation(incarnation, worker))) {
				// Started by another process than the one that the owner knows. The run report of that one tells.
				scheduler.recordStartOutcome(row, {type: 'unknown'}, now);
				getSession(worker)?.wake();
			} else {
				scheduler.recordStartOutcome(row, rejection === undefined ? {type: 'started'} : {type: 'rejected', reason: rejection}, now);
			}

			onStartAttempted(order, rejection ?? 'started');
			if (rejection === 'fenced') {
				handleFenced(worker, fencingToken);
			}
		} else {
			switch (started.error.kind) {
				case WorkerCallErrorKind.NotSent: {
					scheduler.recordStartOutcome(row, {type: 'not-sent'}, now);
					break;
				}

				case WorkerCallErrorKind.Unknown: {
					scheduler.recordStartOutcome(row, {type: 'unknown'}, now);
					getSession(row.worker)?.wake();
					break;
				}

				case WorkerCallErrorKind.Gone:
				case WorkerCallErrorKind.Unhealthy: {
					scheduler.recordStartOutcome(row, {type: 'rejected', reason: 'unhealthy'}, now);
					break;
				}

				case WorkerCallErrorKind.Fenced: {
					scheduler.recordStartOutcome(row, {type: 'rejected', reason: 'fenced'}, now);
					handleFenced(worker, fencingToken);
					break;
				}

				case WorkerCallErrorKind.Invalid: {
					scheduler.recordStartOutcome(row, {type: 'rejected', reason: 'invalid'}, now);
					break;
				}
			}

			onStartAttempted(order, `${started.error.kind}: ${started.error.message}`);
		}

		onChange();
	};

	const stop = async (order: StopOrder): Promise<void> => {
		const {worker} = order;
		const fencingToken = fencingTokens.get(worker);
		const stopped = await workerClient.stop({
			worker: describeTarget(worker, true), task: order.task, run: order.run, fencingToken,
		});
		const failure = describeStopFailure(stopped, worker);
		const now = clock.now();
		onStopAttempted(order, failure ?? 'acknowledged', now - order.plannedAt);
		if (order.row) {
			scheduler.recordStopOutcome(order.row, failure === undefined, now);
			if (failure === undefined && order.row.phase === RunPhase.Unconfirmed) {
				getSession(worker)?.wake();
			}
		}

		if (stopped.isErr() && stopped.error.kind === WorkerCallErrorKind.Fenced) {
			handleFenced(worker, fencingToken);
		}
	};

	const throttle = async (order: ThrottleOrder): Promise<void> => {
		const {row, percent} = order;
		const throttled = await workerClient.throttle({
			worker: describeTarget(row.worker, true), task: row.task.name, run: row.run, percent, fencingToken: fencingTokens.get(row.worker),
		});
		scheduler.recordThrottleOutcome(row, percent, throttled.isOk());
	};

	const requestAdvice = async (order: AdviceOrder): Promise<void> => {
		const {step, workers} = order;
		const sentAt = clock.now();
		const advised = await adviceClient?.advise({step: `${step.job.declaration.id}.${step.occurrence}.${step.index}`, workers});
		if (advised?.isOk()) {
			const tickets = new Map<string, Ticket>();
			for (const [worker, value] of advised.value.tickets) {
				// Counted from the request, since the response may have been delayed.
				tickets.set(worker, {value, expiresAt: sentAt + advised.value.validMilliseconds, incarnation: scheduler.workers.get(worker)?.incarnation ?? 0});
			}

			scheduler.recordAdvice(order, tickets);
			onChange();
			return;
		}

		setTimeout(() => {
			scheduler.recordAdvice(order, undefined);
			onChange();
		}, adviceRetryMilliseconds);
	};

	return {
		execute(order: Order): void {
			switch (order.type) {
				case 'start': {
					void start(order);
					break;
				}

				case 'stop': {
					void stop(order);
					break;
				}

				case 'throttle': {
					void throttle(order);
					break;
				}

				case 'advise': {
					void requestAdvice(order);
					break;
				}
			}
		},
	};
};
