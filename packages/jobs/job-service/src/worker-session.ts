/** The conversation of the owner with one worker: takes it over, extends its lease, reads its lists and acknowledges ends once they are stored. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';
import {computeLatestLeaseExpiry} from '@turmericbay/scheduler';
import type {Clock, WorkerCallError, WorkerClient} from './ports.js';
import {WorkerCallErrorKind} from './ports.js';

/** Longest wait of a worker for an end before it answers with its lists; also how old the measured figures may be. */
const busyLongPollMilliseconds = 900;
const idleLongPollMilliseconds = 1800;
/** Pause after a call that brought nothing new although ends wait to be stored, so that the worker is not asked in a tight loop. */
const unpersistedPauseMilliseconds = 150;
const firstRetryMilliseconds = 100;
const longestRetryMilliseconds = 800;
/** Longest wait for the store before the lists are read again without an acknowledgement. */
const persistWaitMilliseconds = 400;

export type WorkerSession = {
	/** End of a lease that is given now, on the worker's clock; undefined until the worker has answered once. */
	grantLease(): number | undefined;
	/** Asks for the lists at once, instead of after the pause of a retry or once the worker has an end to tell. */
	wake(): void;
	end(): void;
};

export const createWorkerSession = (options: {
	readonly worker: WorkerRow;
	readonly workerClient: WorkerClient;
	readonly scheduler: Scheduler;
	readonly clock: Clock;
	readonly epoch: number;
	readonly workerLeaseMilliseconds: number;
	/** False once the lease of the owner is too old for leases to be extended. */
	readonly mayExtendLeases: () => boolean;
	/** Resolves when all that the scheduler has changed so far is stored. */
	readonly persistChanges: () => Promise<void>;
	readonly onFenced: () => void;
	readonly onChange: () => void;
	readonly onCallFailed: (worker: WorkerRow, message: string) => void;
	readonly onRecovered: (worker: WorkerRow) => void;
	/** The life that this session spoke with has ended. */
	readonly onGone: (worker: WorkerRow) => void;
}): WorkerSession => {
	const {worker, workerClient, scheduler, clock, epoch, workerLeaseMilliseconds, mayExtendLeases, persistChanges, onFenced, onChange, onCallFailed, onRecovered, onGone} = options;
	let isEnded = false;
	/** The worker's clock as of `at`, from the newest answer. */
	let clockReading: {readonly clockMilliseconds: number; readonly at: number; readonly incarnation: number | undefined} | undefined;
	let persistedSequence = 0;
	let retryDelay = firstRetryMilliseconds;
	let cancelPause: (() => void) | undefined;
	let isLongPolling = false;
	let isPolling = false;

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

	const grantLease = (): number | undefined => {
		if (!clockReading) {
			return undefined;
		}

		const now = clock.now();
		// Entered before the call is sent: it may be carried out although its answer is lost.
		worker.latestLeaseExpiry = Math.max(worker.latestLeaseExpiry, computeLatestLeaseExpiry({now, leaseMilliseconds: workerLeaseMilliseconds}));
		return Math.round(clockReading.clockMilliseconds + (now - clockReading.at) + workerLeaseMilliseconds);
	};

	const handleFailure = async (failure: WorkerCallError): Promise<void> => {
		switch (failure.kind) {
			case WorkerCallErrorKind.Fenced: {
				isEnded = true;
				onFenced();
				return;
			}

			case WorkerCallErrorKind.Gone: {
				onGone(worker);
				return;
			}

			case WorkerCallErrorKind.NotSent:
			case WorkerCallErrorKind.Unknown:
			case WorkerCallErrorKind.Unhealthy:
			case WorkerCallErrorKind.Invalid: {
				worker.unansweredCalls += 1;
				onCallFailed(worker, failure.message);
				onChange();
				await pause(retryDelay);
				retryDelay = Math.min(longestRetryMilliseconds, retryDelay * 2);
			}
		}
	};

	const sendHeartbeat = async (): Promise<void> => {
		const sentAt = clock.now();
		// A worker that does not answer is only asked: its lease has to end before its work starts elsewhere.
		const leaseExpiresAt = mayExtendLeases() && worker.unansweredCalls === 0 ? grantLease() : undefined;
		// After a silence another life may answer, whose ends are numbered anew.
		const acknowledgedSequence = worker.unansweredCalls === 0 ? persistedSequence : 0;
		const appliedBefore = worker.lastAppliedSequence;
		isLongPolling = true;
		const responded = await workerClient.heartbeat({
			worker: {id: worker.registration.id, address: worker.registration.address},
			fencingToken: epoch,
			acknowledgedSequence,
			leaseExpiresAt,
			waitMilliseconds: clockReading === undefined || worker.unansweredCalls > 0 ? 0 : (worker.runs.size > 0 ? busyLongPollMilliseconds : idleLongPollMilliseconds),
		});
		isLongPolling = false;
		if (isEnded) {
			return;
		}

		if (responded.isErr()) {
			await handleFailure(responded.error);
			return;
		}

		const {clockMilliseconds, report, incarnation} = responded.value;
		if (clockReading && clockReading.incarnation !== incarnation) {
			persistedSequence = 0;
		}

		clockReading = {clockMilliseconds, at: clock.now(), incarnation};
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

	/** Reads the lists beside a call that waits for an end: an order went unanswered, and its task should not wait as long. */
	const poll = async (): Promise<void> => {
		isPolling = true;
		const sentAt = clock.now();
		const held = await workerClient.heartbeat({
			worker: {id: worker.registration.id, address: worker.registration.address}, fencingToken: epoch, acknowledgedSequence: 0, leaseExpiresAt: undefined, waitMilliseconds: 0,
		});
		isPolling = false;
		if (isEnded) {
			return;
		}

		if (held.isErr()) {
			// The waiting call of this session decides whether the worker is lost.
			onCallFailed(worker, held.error.message);
			return;
		}

		scheduler.applyRunReport({
			worker, report: held.value.report, sentAt, now: clock.now(),
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
			if (isLongPolling && !isPolling) {
				void poll();
			}
		},
		end() {
			isEnded = true;
			cancelPause?.();
		},
	};
};
