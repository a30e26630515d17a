/** The dispatcher's end: executes the worker calls of the owner and returns the results. Keeps no state beyond a connection. */
import {createBatch} from './dispatch-batch.js';
import type {AcceptDispatchChannel, DispatchChannel} from './dispatch-channel.js';
import type {
	CallResult, DispatchedCall, DispatchedResponse, ResultLine,
} from './dispatch-protocol.js';
import {checkIntervalMilliseconds, decodeCallLine, maximumBufferedBytes} from './dispatch-protocol.js';
import {createReportEncoder} from './dispatch-reports.js';
import {createSilenceMonitor} from './dispatch-silence.js';
import {maximumClockGapMilliseconds} from './ownership.js';
import type {Clock, WorkerClient} from './ports.js';
import {WorkerCallErrorKind} from './ports.js';

/** An owner has one connection; one that is lost ends after its silence. */
const maximumSessions = 4;

export type DispatchServer = ReturnType<typeof createDispatchServer>;

const dropped = (id: number, message: string): CallResult => ({id, error: {kind: WorkerCallErrorKind.NotSent, message}, isDropped: true});

/** Executes the calls of one connection. */
const createCallExecutor = (options: {
	readonly workerClient: WorkerClient;
	readonly clock: Clock;
	readonly onResult: (result: CallResult) => void;
}) => {
	const {workerClient, clock, onResult} = options;
	const encoder = createReportEncoder();

	const call = async (request: DispatchedCall): Promise<CallResult> => {
		const {id} = request;
		switch (request.method) {
			case 'start': {
				const started = await workerClient.start({...request.options, ticket: request.options.ticket});
				return started.isOk() ? {id, response: started.value} : {id, error: started.error};
			}

			case 'stop': {
				const stopped = await workerClient.stop(request.options);
				return stopped.isOk() ? {id, response: stopped.value} : {id, error: stopped.error};
			}

			case 'throttle': {
				const throttled = await workerClient.throttle(request.options);
				return throttled.isOk() ? {id, response: throttled.value} : {id, error: throttled.error};
			}

			case 'heartbeat': {
				const answered = await workerClient.heartbeat({...request.options, leaseExpiresAt: request.options.leaseExpiresAt});
				if (answered.isErr()) {
					return {id, error: answered.error};
				}

				const {report, clockMilliseconds, incarnation} = answered.value;
				const response: DispatchedResponse = {clockMilliseconds, incarnation, report: encoder.encode(request.options.worker.id, report)};
				return {id, response};
			}
		}
	};

	const execute = async (request: DispatchedCall): Promise<void> => {
		onResult(await call(request));
	};

	return {
		/** `mayStart` is false if the latest time of a start may be wrong. */
		execute(request: DispatchedCall, mayStart: boolean): void {
			if (request.method === 'start' && !mayStart) {
				onResult(dropped(request.id, 'the dispatcher was suspended'));
			} else if (request.method === 'start' && clock.now() > request.latestAt) {
				onResult(dropped(request.id, 'the start is too late'));
			} else {
				void execute(request);
			}
		},
		forget: encoder.forget,
	};
};

export const createDispatchServer = (options: {
	readonly workerClient: WorkerClient;
	readonly clock: Clock;
	readonly onConnectionClosed: (reason: string) => void;
}) => {
	const {workerClient, clock, onConnectionClosed} = options;
	const sessions = new Set<ReturnType<typeof openSession>>();
	let highestEpoch = 0;
	let isLeaving = false;
	let timer: NodeJS.Timeout | undefined;
	let lastReading = {monotonic: clock.now(), wall: clock.wallNow()};
	/** Starts are executed only on lines whose sender has received this clock reading or a later one. */
	let requiredReading = Number.NEGATIVE_INFINITY;

	/** The monotonic clock does not count the time of a suspension of the machine, so the latest times of starts are wrong after one. */
	const detectSuspension = (): boolean => {
		const reading = {monotonic: clock.now(), wall: clock.wallNow()};
		const gap = Math.abs((reading.wall - lastReading.wall) - (reading.monotonic - lastReading.monotonic));
		lastReading = reading;
		if (gap > maximumClockGapMilliseconds) {
			requiredReading = reading.monotonic;
			return true;
		}

		return false;
	};

	const openSession = (epoch: number, channel: DispatchChannel) => {
		const silence = createSilenceMonitor(clock.now());
		let isOpen = true;
		let lastSentAt = Number.NEGATIVE_INFINITY;
		let forgotten: string[] = [];

		const end = (reason: string): void => {
			if (isOpen) {
				isOpen = false;
				results.take();
				channel.close();
				removeSession(session);
				onConnectionClosed(reason);
			}
		};

		const send = (): void => {
			const line: ResultLine = {
				clock: clock.now(), results: results.take(), ...(isLeaving && {isLeaving}), ...(forgotten.length > 0 && {forgotten}),
			};
			forgotten = [];
			channel.send(JSON.stringify(line));
			lastSentAt = line.clock;
			if (channel.bufferedBytes() > maximumBufferedBytes) {
				end('the owner does not read the results');
			}
		};

		const results = createBatch<CallResult>(send);
		const executor = createCallExecutor({
			workerClient, clock,
			onResult(result) {
				if (isOpen) {
					results.add(result);
				}
			},
		});

		const receive = (text: string): void => {
			if (!isOpen) {
				return;
			}

			const isSuspended = detectSuspension();
			const line = decodeCallLine(text);
			if (!line) {
				end('a line of the owner is malformed');
				return;
			}

			silence.recordLine();
			for (const worker of line.forgotten ?? []) {
				workerClient.disconnect(worker);
				executor.forget(worker.id);
				forgotten.push(worker.id);
			}

			for (const call of line.calls) {
				executor.execute(call, line.answeredClock >= requiredReading);
			}

			if (isSuspended || line.answeredClock < 0 || forgotten.length > 0) {
				send();
			}
		};

		const session = {
			epoch, end, receive, send,
			check(now: number): void {
				if (silence.check(now)) {
					end('the owner is silent');
				} else if (now - lastSentAt >= checkIntervalMilliseconds) {
					send();
				}
			},
		};
		return session;
	};

	const removeSession = (session: ReturnType<typeof openSession>): void => {
		sessions.delete(session);
		if (sessions.size === 0) {
			clearInterval(timer);
			timer = undefined;
		}
	};

	const check = (): void => {
		detectSuspension();
		const now = clock.now();
		for (const session of sessions) {
			session.check(now);
		}
	};

	/** Closes the connections of previous owners. Called for each owner that becomes known. */
	const observeEpoch = (epoch: number): void => {
		highestEpoch = Math.max(highestEpoch, epoch);
		for (const session of sessions) {
			if (session.epoch < highestEpoch) {
				session.end('there is a newer owner');
			}
		}
	};

	const accept: AcceptDispatchChannel = (epoch, channel) => {
		// Also false for a malformed number.
		if (isLeaving || !(epoch >= highestEpoch)) {
			return undefined;
		}

		observeEpoch(epoch);
		if (sessions.size >= maximumSessions) {
			return undefined;
		}

		detectSuspension();
		const session = openSession(epoch, channel);
		sessions.add(session);
		timer ??= setInterval(check, checkIntervalMilliseconds);
		return {onLine: session.receive, onClosed: session.end};
	};

	return {
		accept,
		observeEpoch,
		/** Asks the owner to send no further calls. Outstanding ones are answered. */
		leave(): void {
			isLeaving = true;
			for (const session of sessions) {
				session.send();
			}
		},
		close(): void {
			for (const session of sessions) {
				session.end('the instance is stopping');
			}
		},
	};
};
