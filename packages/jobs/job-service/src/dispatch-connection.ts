/** The owner's end of the connection to one dispatcher. */
import type {RunReport} from '@turmericbay/scheduler';
import {createBatch} from './dispatch-batch.js';
import type {OpenDispatchChannel} from './dispatch-channel.js';
import type {
	CallLine, CallResult, DispatchedCall, DispatchedResponse, WorkerCall,
} from './dispatch-protocol.js';
import {checkIntervalMilliseconds, decodeResultLine, maximumBufferedBytes} from './dispatch-protocol.js';
import {createReportDecoder} from './dispatch-reports.js';
import {createSilenceMonitor} from './dispatch-silence.js';
import type {Clock, WorkerCallError, WorkerTarget} from './ports.js';

/** A start that reaches its dispatcher later than this after the owner's decision is not executed. */
export const startValidityMilliseconds = 500;
/** A result that is missing for this long, beyond the wait of a heartbeat, is given up. Exceeds the timeouts of a dispatcher's calls. */
const resultTimeoutMilliseconds = 1500;
/** Bounds the length of a line. */
const maximumPayloadLength = 262_144;

export type CallOutcome
	/** The connection ended before the call was sent. */
	= | {readonly type: 'unsent'}
		/** The call was sent; its outcome is unknown. */
		| {readonly type: 'lost'}
		| {readonly type: 'answered'; readonly response: DispatchedResponse; readonly report: RunReport | undefined}
		| {readonly type: 'failed'; readonly error: WorkerCallError; readonly isDropped: boolean};

/** `latestAt` of a start is added when it is sent. */
export type RequestedCall = WorkerCall extends infer Call ? Call extends unknown ? Omit<Call, 'latestAt'> : never : never;

type PendingCall = {
	readonly call: DispatchedCall;
	/** On the owner's clock. */
	readonly deadline: number;
	readonly resolve: (outcome: CallOutcome) => void;
	isSent: boolean;
};

export type DispatchConnection = ReturnType<typeof openDispatchConnection>;

export const openDispatchConnection = (options: {
	readonly address: string;
	readonly epoch: number;
	readonly openChannel: OpenDispatchChannel;
	readonly clock: Clock;
	/** Called once the dispatcher has sent its first clock reading; calls can be sent from then on. */
	readonly onReady: () => void;
	/** Called once the dispatcher is stopping; it still answers outstanding calls. */
	readonly onLeaving: () => void;
	/** Called once, unless the connection was closed from this side. */
	readonly onLost: (reason: string) => void;
}) => {
	const {address, epoch, openChannel, clock, onReady, onLeaving, onLost} = options;
	const silence = createSilenceMonitor(clock.now());
	const decoder = createReportDecoder();
	const pending = new Map<number, PendingCall>();
	let isOpen = true;
	let isLeaving = false;
	let nextId = 1;
	let lastSentAt = clock.now();
	/** The dispatcher's clock, received at the local time `at`. */
	let reading: {readonly clock: number; readonly at: number} | undefined;
	let forgotten: WorkerTarget[] = [];
	let payloadLength = 0;

	const end = (): void => {
		isOpen = false;
		batch.take();
		channel.close();
		const calls = [...pending.values()];
		pending.clear();
		for (const {isSent, resolve} of calls) {
			resolve({type: isSent ? 'lost' : 'unsent'});
		}
	};

	const lose = (reason: string): void => {
		if (isOpen) {
			// The routes change first, since the calls that are given up are sent again at once.
			isOpen = false;
			onLost(reason);
			end();
		}
	};

	const flush = (): void => {
		const batched = batch.take();
		for (const entry of batched) {
			entry.isSent = true;
		}

		const line: CallLine = {answeredClock: reading?.clock ?? -1, calls: batched.map(({call}) => call), ...(forgotten.length > 0 && {forgotten})};
		forgotten = [];
		payloadLength = 0;
		lastSentAt = clock.now();
		channel.send(JSON.stringify(line));
		if (channel.bufferedBytes() > maximumBufferedBytes) {
			lose('the dispatcher does not read the calls');
		}
	};

	const batch = createBatch<PendingCall>(flush);

	/** Returns false if the result is not usable. */
	const settle = (result: CallResult): boolean => {
		const entry = pending.get(result.id);
		// The report is decoded even if the call was given up, since the next one refers to it.
		const worker = entry?.call.options.worker.id ?? abandoned.get(result.id);
		pending.delete(result.id);
		abandoned.delete(result.id);
		if (worker === undefined) {
			return false;
		}

		if ('error' in result) {
			entry?.resolve({type: 'failed', error: result.error, isDropped: result.isDropped === true});
			return true;
		}

		const isHeartbeat = entry ? entry.call.method === 'heartbeat' : result.response.report !== undefined;
		const report = isHeartbeat ? decoder.decode(worker, result.response.report) : undefined;
		if (isHeartbeat && !report) {
			entry?.resolve({type: 'lost'});
			return false;
		}

		entry?.resolve({type: 'answered', response: result.response, report});
		return true;
	};

	/** Workers of the calls that were given up, by call. */
	const abandoned = new Map<number, string>();

	const receive = (text: string): void => {
		const line = decodeResultLine(text);
		if (!line) {
			lose('a line of the dispatcher is malformed');
			return;
		}

		const isFirst = reading === undefined;
		silence.recordLine();
		reading = {clock: line.clock, at: clock.now()};
		if (isFirst) {
			onReady();
		}

		if (line.isLeaving && !isLeaving) {
			isLeaving = true;
			onLeaving();
		}

		for (const result of line.results) {
			if (!settle(result)) {
				lose('a result of the dispatcher is not usable');
				return;
			}
		}

		// The results of the line were encoded before the dispatcher deleted these reports.
		for (const worker of line.forgotten ?? []) {
			decoder.forget(worker);
		}
	};

	const channel = openChannel({
		address, epoch, onLine: receive, onClosed: lose,
	});
	channel.send(JSON.stringify({answeredClock: -1, calls: []} satisfies CallLine));

	const giveUpLateCalls = (now: number): void => {
		for (const [id, {call, deadline, resolve}] of pending) {
			if (now >= deadline) {
				pending.delete(id);
				abandoned.set(id, call.options.worker.id);
				resolve({type: 'lost'});
			}
		}
	};

	const toDispatchedCall = (requested: RequestedCall, now: number): DispatchedCall => {
		const id = nextId;
		nextId += 1;
		if (requested.method === 'start') {
			payloadLength += requested.options.payload.length;
			return {...requested, id, latestAt: (reading ? reading.clock + now - reading.at : 0) + startValidityMilliseconds};
		}

		return {...requested, id};
	};

	return {
		address,
		isReady: (): boolean => isOpen && !isLeaving && reading !== undefined,
		/** Also true after the connection has ended. */
		wasReady: (): boolean => reading !== undefined,
		pendingCalls: (): number => pending.size,
		async call(requested: RequestedCall): Promise<CallOutcome> {
			if (!isOpen) {
				return {type: 'unsent'};
			}

			const now = clock.now();
			const call = toDispatchedCall(requested, now);
			const waitMilliseconds = requested.method === 'heartbeat' ? requested.options.waitMilliseconds : 0;
			return new Promise(resolve => {
				const entry: PendingCall = {
					call, resolve, isSent: false, deadline: now + waitMilliseconds + resultTimeoutMilliseconds,
				};
				pending.set(call.id, entry);
				batch.add(entry);
				if (payloadLength > maximumPayloadLength) {
					flush();
				}
			});
		},
		/** Deletes what both ends keep about a worker that is not called any more. */
		forget(worker: WorkerTarget): void {
			forgotten.push(worker);
		},
		/** Called every `checkIntervalMilliseconds`. */
		check(now: number): void {
			if (!isOpen) {
				return;
			}

			if (silence.check(now)) {
				lose('the dispatcher is silent');
				return;
			}

			giveUpLateCalls(now);
			if (now - lastSentAt >= checkIntervalMilliseconds) {
				flush();
			}
		},
		close(): void {
			if (isOpen) {
				end();
			}
		},
	};
};
