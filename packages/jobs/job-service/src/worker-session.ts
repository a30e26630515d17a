/** Heartbeat loop of the owner with one worker: extends its lease, applies its run reports, and acknowledges ended runs once they are stored. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';
import {computeLatestLeaseExpiry, isEarlierIncarnation} from '@turmericbay/scheduler';
import type {Result} from 'neverthrow';
import type {FencingTokens} from './fencing-tokens.js';
import {describeTarget} from './worker-target.js';
import type {
	Clock, WorkerCallError, WorkerClient, WorkerResponse,
} from './ports.js';
import {WorkerCallErrorKind} from './ports.js';

/** Longest wait of a worker for an ended run before it responds. Also bounds the age of the measurements in its run report. */
const busyLongPollMilliseconds = 900;
const idleLongPollMilliseconds = 1800;
/** Pause after a heartbeat without new ended runs while earlier ones are not stored yet. The worker responds at once then, so this prevents a busy loop. */
const unpersistedPauseMilliseconds = 150;
const firstRetryMilliseconds = 100;
const longestRetryMilliseconds = 800;
/** Longest wait for the store before the next heartbeat is sent without acknowledging the new ended runs. */
const persistWaitMilliseconds = 400;

/** A lease for the process of the worker that the owner knows. */
export type LeaseGrant = {
	/** On the clock of that process. */
	readonly expiresAt: number;
	/**
	 * Takes the outcome of the call that carried the lease. Returns false if a later process may have executed it, over a
	 * connection that has outlasted the former one: by its own clock that process may hold the longest lease that workers take.
	 */
	confirm(outcome: Result<WorkerResponse, WorkerCallError>): boolean;
};

export type WorkerSession = {
	/** Grants a lease from now on, and records it as possibly granted. Returns undefined until the current process of the worker has responded once. */
	grantLease(): LeaseGrant | undefined;
	/** Requests a run report at once, without waiting for the end of a retry delay or of a long poll. */
	wake(): void;
	end(): void;
};

type ClockReading = {readonly clockMilliseconds: number; readonly at: number; readonly incarnation: number | undefined};

export const createWorkerSession = (options: {
	readonly worker: WorkerRow;
	readonly workerClient: WorkerClient;
	readonly scheduler: Scheduler;
	readonly clock: Clock;
	readonly fencingTokens: FencingTokens;
	readonly workerLeaseMilliseconds: number;
	/** The worker shortens longer leases to this. */
	readonly maximumLeaseMilliseconds: number;
	/** False once the owner's own lease is too old for leases of workers to be extended. */
	readonly mayExtendLeases: () => boolean;
	/** Resolves once all changes that the scheduler has made so far are stored. */
	readonly persistChanges: () => Promise<void>;
	readonly onFenced: () => void;
	readonly onChange: () => void;
	readonly onCallFailed: (worker: WorkerRow, message: string) => void;
	readonly onRecovered: (worker: WorkerRow) => void;
	/** Called when the worker process of this session has ended. */
	readonly onGone: (worker: WorkerRow) => void;
}): WorkerSession => {
	const {worker, workerClient, scheduler, clock, fencingTokens, workerLeaseMilliseconds, maximumLeaseMilliseconds, mayExtendLeases, persistChanges, onFenced, onChange, onCallFailed, onRecovered, onGone} = options;
	let isEnded = false;
	/** The worker's clock at the local time `at`, from the newest response. */
	let clockReading: ClockReading | undefined;
	/** Sequence number of the last stored ended run of the process that `clockReading` is from. */
	let persistedSequence = 0;
	let retryDelay = firstRetryMilliseconds;
	let cancelPause: (() => void) | undefined;
	let isLongPolling = false;
	let isReportRequested = false;
	/** The newest response was one of an earlier process of the worker. */
	let hasEarlierResponse = false;

	const pause = async (milliseconds: number): Promise<void> => {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, milliseconds);
			cancelPause = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		cancelPause = undefined;
	};

	const pauseBeforeRetry = async (): Promise<void> => {
		await pause(retryDelay);
		retryDelay = Math.min(longestRetryMilliseconds, retryDelay * 2);
	};

	/** False until the current process of the worker has responded. Its clock and the numbers of its ended runs start anew. */
	const hasCurrentReading = (): boolean => clockReading !== undefined && clockReading.incarnation === worker.incarnation;

	/** Returns false if the response is from a process that has ended since. */
	const applyResponse = ({clockMilliseconds, incarnation = worker.incarnation}: WorkerResponse): boolean => {
		if (isEarlierIncarnation(incarnation, worker)) {
			return false;
		}

		if (clockReading?.incarnation !== incarnation) {
			persistedSequence = 0;
		}

		clockReading = {clockMilliseconds, at: clock.now(), incarnation};
		return true;
	};

	const recordLease = (now: number, leaseMilliseconds: number): void => {
		worker.latestLeaseExpiry = Math.max(worker.latestLeaseExpiry, computeLatestLeaseExpiry({now, leaseMilliseconds}));
	};

	/** True unless a later process than that of the reading may have executed a call. */
	const isFromProcess = (outcome: Result<WorkerResponse, WorkerCallError>, {incarnation, clockMilliseconds}: ClockReading): boolean => {
		if (outcome.isOk()) {
			// Responses to starts need not name the process, but the clock of the next one starts anew.
			return (outcome.value.incarnation ?? incarnation) === incarnation && outcome.value.clockMilliseconds >= clockMilliseconds;
		}

		// A call that ends with its connection does so before the owner learns of the next process.
		return outcome.error.kind === WorkerCallErrorKind.NotSent || worker.incarnation === incarnation;
	};

	const grantLease = (): LeaseGrant | undefined => {
		const reading = clockReading;
		if (!reading || !hasCurrentReading()) {
			return undefined;
		}

		const now = clock.now();
		// Recorded before the call is sent: it may be executed although its response is lost.
		worker.leaseGrantedAt = now;
		recordLease(now, workerLeaseMilliseconds);
		return {
			expiresAt: Math.round(reading.clockMilliseconds + (now - reading.at) + workerLeaseMilliseconds),
			confirm(outcome) {
				const isConfirmed = isFromProcess(outcome, reading);
				if (!isConfirmed) {
					recordLease(clock.now(), maximumLeaseMilliseconds);
				}

				return isConfirmed;
			},
		};
	};

	const handleFailure = async (failure: WorkerCallError, fencingToken: number): Promise<void> => {
		switch (failure.kind) {
			case WorkerCallErrorKind.Fenced: {
				if (fencingTokens.isSuperseded(worker, fencingToken)) {
					return;
				}

				isEnded = true;
				onFenced();
				return;
			}

			case WorkerCallErrorKind.Gone: {
				// The next process may be at another address, where this call did not go.
				if (!fencingTokens.isSuperseded(worker, fencingToken)) {
					onGone(worker);
				}

				return;
			}

			case WorkerCallErrorKind.NotSent:
			case WorkerCallErrorKind.Unknown:
			case WorkerCallErrorKind.Unhealthy:
			case WorkerCallErrorKind.Invalid: {
				worker.unansweredCalls += 1;
				onCallFailed(worker, failure.message);
				onChange();
				await pauseBeforeRetry();
			}
		}
	};

	const sendHeartbeat = async (): Promise<void> => {
		const sentAt = clock.now();
		// After unanswered calls any process of the worker may respond. Its lease is not extended: it has to expire before its tasks can start elsewhere.
		const isBound = worker.unansweredCalls === 0 && hasCurrentReading();
		const lease = isBound && mayExtendLeases() ? grantLease() : undefined;
		const acknowledgedSequence = isBound ? persistedSequence : 0;
		const fencingToken = fencingTokens.get(worker);
		const appliedBefore = worker.lastAppliedSequence;
		isLongPolling = true;
		const response = await workerClient.heartbeat({
			worker: describeTarget(worker, isBound),
			fencingToken,
			acknowledgedSequence,
			leaseExpiresAt: lease?.expiresAt,
			waitMilliseconds: isBound ? (worker.runs.size > 0 ? busyLongPollMilliseconds : idleLongPollMilliseconds) : 0,
		});
		isLongPolling = false;
		if (isEnded) {
			return;
		}

		lease?.confirm(response);
		if (response.isErr()) {
			await handleFailure(response.error, fencingToken);
			return;
		}

		if (!applyResponse(response.value)) {
			// The first such response may have been on its way when the worker was replaced.
			if (hasEarlierResponse) {
				await pauseBeforeRetry();
			}

			hasEarlierResponse = true;
			return;
		}

		hasEarlierResponse = false;

		const {report} = response.value;
		retryDelay = firstRetryMilliseconds;
		if (worker.unansweredCalls > 0) {
			onRecovered(worker);
		}

		scheduler.applyRunReport({
			worker, report, sentAt, now: clock.now(),
		});
		onChange();
		if (worker.lastAppliedSequence > persistedSequence) {
			const sequence = worker.lastAppliedSequence;
			const appliedIncarnation = worker.incarnation;
			const stored = persistChanges().then(() => {
				if (worker.incarnation === appliedIncarnation) {
					persistedSequence = Math.max(persistedSequence, sequence);
				}
			});
			await Promise.race([stored, pause(persistWaitMilliseconds)]);
			if (persistedSequence < sequence && worker.lastAppliedSequence === appliedBefore) {
				await pause(unpersistedPauseMilliseconds);
			}
		}
	};

	/** Reads the run report during a pending long poll, so that a task whose order had an unknown outcome need not wait for the poll to end. */
	const requestReport = async (): Promise<void> => {
		isReportRequested = true;
		const sentAt = clock.now();
		const response = await workerClient.heartbeat({
			worker: describeTarget(worker, false), fencingToken: fencingTokens.get(worker),
			acknowledgedSequence: 0, leaseExpiresAt: undefined, waitMilliseconds: 0,
		});
		isReportRequested = false;
		if (isEnded) {
			return;
		}

		if (response.isErr()) {
			// Whether the worker is unreachable is decided by the long poll.
			onCallFailed(worker, response.error.message);
			return;
		}

		if (!applyResponse(response.value)) {
			return;
		}

		scheduler.applyRunReport({
			worker, report: response.value.report, sentAt, now: clock.now(),
		});
		onChange();
	};

	const run = async (): Promise<void> => {
		// eslint-disable-next-line no-unmodified-loop-condition -- Set by the method that ends the session.
		while (!isEnded) {
			// eslint-disable-next-line no-await-in-loop -- One call at a time.
			await sendHeartbeat();
		}
	};

	void run();
	return {
		grantLease,
		wake() {
			cancelPause?.();
			if (isLongPolling && !isReportRequested) {
				void requestReport();
			}
		},
		end() {
			isEnded = true;
			cancelPause?.();
		},
	};
};
