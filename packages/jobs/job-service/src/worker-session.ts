/** The conversation of the owner with one worker: takes it over, extends its lease, reads its lists and acknowledges ends once they are stored. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';
import {computeLatestLeaseExpiry} from '@turmericbay/scheduler';
import type {Clock, WorkerCallError, WorkerClient} from './ports.js';
import {WorkerCallErrorKind} from './ports.js';

/** Longest wait of a worker for an end before it answers with its lists; also how old the measured figures may be. */
const busyWaitMilliseconds = 900;
const idleWaitMilliseconds = 1800;
/** Pause after a call that brought nothing new although ends wait to be stored, so that the worker is not asked in a tight loop. */
const unstoredPauseMilliseconds = 150;
const firstRetryMilliseconds = 100;
const longestRetryMilliseconds = 800;
/** Longest wait for the store before the lists are read again without an acknowledgement. */
const storeWaitMilliseconds = 400;

export type WorkerSession = {
	/** End of a lease that is given now, on the worker's clock; undefined until the worker has answered once. */
	leaseUntil(): number | undefined;
	/** Asks for the lists at once, instead of after the pause of a retry or once the worker has an end to tell. */
	wake(): void;
	end(): void;
};

export const createWorkerSession = (options: {
	readonly worker: WorkerRow;
	readonly client: WorkerClient;
	readonly scheduler: Scheduler;
	readonly clock: Clock;
	readonly epoch: number;
	readonly leaseMilliseconds: number;
	/** False once the lease of the owner is too old for leases to be extended. */
	readonly mayExtend: () => boolean;
	/** Resolves when all that the scheduler has changed so far is stored. */
	readonly store: () => Promise<void>;
	readonly onFenced: () => void;
	readonly onChange: () => void;
	readonly onTrouble: (worker: WorkerRow, message: string) => void;
	readonly onAnswer: (worker: WorkerRow) => void;
	/** The life that this session spoke with has ended. */
	readonly onGone: (worker: WorkerRow) => void;
}): WorkerSession => {
	const {worker, client, scheduler, clock, epoch, leaseMilliseconds, mayExtend, store, onFenced, onChange, onTrouble, onAnswer, onGone} = options;
	let isEnded = false;
	/** The worker's clock as of `at`, from the newest answer. */
	let reading: {readonly clockMilliseconds: number; readonly at: number; readonly bornAt: number | undefined} | undefined;
	let storedEnd = 0;
	let retryDelay = firstRetryMilliseconds;
	let wakeUp: (() => void) | undefined;
	let isWaiting = false;
	let isAsking = false;

	const pause = async (milliseconds: number): Promise<void> => {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, milliseconds);
			wakeUp = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		wakeUp = undefined;
	};

	const leaseUntil = (): number | undefined => {
		if (!reading) {
			return undefined;
		}

		const now = clock.now();
		// Entered before the call is sent: it may be carried out although its answer is lost.
		worker.latestLeaseExpiry = Math.max(worker.latestLeaseExpiry, computeLatestLeaseExpiry({now, leaseMilliseconds}));
		return Math.round(reading.clockMilliseconds + (now - reading.at) + leaseMilliseconds);
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
				onTrouble(worker, failure.message);
				onChange();
				await pause(retryDelay);
				retryDelay = Math.min(longestRetryMilliseconds, retryDelay * 2);
			}
		}
	};

	const hold = async (): Promise<void> => {
		const sentAt = clock.now();
		// A worker that does not answer is only asked: its lease has to end before its work starts elsewhere.
		const until = mayExtend() && worker.unansweredCalls === 0 ? leaseUntil() : undefined;
		// After a silence another life may answer, whose ends are numbered anew.
		const acknowledgedEnd = worker.unansweredCalls === 0 ? storedEnd : 0;
		const appliedBefore = worker.lastAppliedEnd;
		isWaiting = true;
		const held = await client.heartbeat({
			worker: {id: worker.registration.id, address: worker.registration.address},
			fencingToken: epoch,
			acknowledgedSequence: acknowledgedEnd,
			leaseExpiresAt: until,
			waitMilliseconds: reading === undefined || worker.unansweredCalls > 0 ? 0 : (worker.runs.size > 0 ? busyWaitMilliseconds : idleWaitMilliseconds),
		});
		isWaiting = false;
		if (isEnded) {
			return;
		}

		if (held.isErr()) {
			await handleFailure(held.error);
			return;
		}

		const {clockMilliseconds, report: lists, incarnation: bornAt} = held.value;
		if (reading && reading.bornAt !== bornAt) {
			storedEnd = 0;
		}

		reading = {clockMilliseconds, at: clock.now(), bornAt};
		retryDelay = firstRetryMilliseconds;
		if (worker.unansweredCalls > 0) {
			onAnswer(worker);
		}

		scheduler.applyRunReport({
			worker, report: lists, sentAt, now: clock.now(),
		});
		onChange();
		if (worker.lastAppliedEnd > storedEnd) {
			const end = worker.lastAppliedEnd;
			const life = worker.incarnation;
			const stored = store().then(() => {
				if (worker.incarnation === life) {
					storedEnd = Math.max(storedEnd, end);
				}
			});
			await Promise.race([stored, pause(storeWaitMilliseconds)]);
			if (storedEnd < end && worker.lastAppliedEnd === appliedBefore) {
				await pause(unstoredPauseMilliseconds);
			}
		}
	};

	/** Reads the lists beside a call that waits for an end: an order went unanswered, and its task should not wait as long. */
	const ask = async (): Promise<void> => {
		isAsking = true;
		const sentAt = clock.now();
		const held = await client.heartbeat({
			worker: {id: worker.registration.id, address: worker.registration.address}, fencingToken: epoch, acknowledgedSequence: 0, leaseExpiresAt: undefined, waitMilliseconds: 0,
		});
		isAsking = false;
		if (isEnded) {
			return;
		}

		if (held.isErr()) {
			// The waiting call of this session decides whether the worker is lost.
			onTrouble(worker, held.error.message);
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
			await hold();
		}
	};

	void run();
	return {
		leaseUntil,
		wake() {
			wakeUp?.();
			if (isWaiting && !isAsking) {
				void ask();
			}
		},
		end() {
			isEnded = true;
			wakeUp?.();
		},
	};
};
