/**
 * An upstream: an HTTP server that runs a bounded number of requests at a time
 * and lets the others wait. A run goes on after its caller's connection broke.
 *
 * Query parameters: `run` (run time in milliseconds), `size` (bytes of padding
 * in the answer), `label` (kept in the run record). The answer is JSON with
 * `instance`, `requestId`, `idempotencyKey`, `method`, `path`, `body` and `padding`.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeServer, listen} from './http.js';
import type {RunLog, RunRecord} from './run-log.js';
import {createRunLog} from './run-log.js';
import type {Received, UpstreamFaultSetting} from './upstream-response.js';
import {
	createAnswerWriter, receive, refuse, UpstreamFault,
} from './upstream-response.js';

export type UpstreamServer = {
	readonly port: number;
	readonly runLog: RunLog;
	setFault(setting: UpstreamFaultSetting): void;
	setRunTime(milliseconds: number): void;
	/** Requests that arrived, whether run or refused. */
	received(): number;
	/** Stops listening, finishes what runs and closes idle connections. */
	drain(): Promise<void>;
	/** Breaks all connections. */
	close(): Promise<void>;
};

export const defaultSlots = 8;
const defaultLateMilliseconds = 500;
/** Lets at most `slots` holders in; the others wait in order of arrival. */
const createSlots = (slots: number) => {
	const waiting: Array<() => void> = [];
	let free = slots;
	return {
		async acquire(): Promise<void> {
			if (free > 0) {
				free--;
				return;
			}

			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		},
		release(): void {
			const next = waiting.shift();
			if (next === undefined) {
				free++;
			} else {
				next();
			}
		},
	};
};

const createFaultSource = () => {
	let setting: UpstreamFaultSetting = {mode: UpstreamFault.None};
	return {
		set(next: UpstreamFaultSetting): void {
			setting = next;
		},
		take(): UpstreamFaultSetting {
			const taken = setting;
			if (taken.count !== undefined) {
				setting = taken.count > 1 ? {...taken, count: taken.count - 1} : {mode: UpstreamFault.None};
			}

			return taken;
		},
	};
};

/** Starts an upstream on a loopback port. */
export const startUpstreamServer = async (options: {
	readonly instance: string;
	readonly port?: number;
	readonly host?: string;
	readonly slots?: number;
	readonly runMilliseconds?: number;
	readonly onRunStart?: (run: RunRecord) => void;
}): Promise<UpstreamServer> => {
	const runLog = createRunLog({onStart: options.onRunStart});
	const slots = createSlots(options.slots ?? defaultSlots);
	const faults = createFaultSource();
	const answer = createAnswerWriter(options.instance);
	let runMilliseconds = options.runMilliseconds ?? 0;
	let received = 0;
	let isDraining = false;

	const run = async (incoming: Received): Promise<RunRecord> => {
		await slots.acquire();
		const record = runLog.start({
			requestId: incoming.requestId, idempotencyKey: incoming.idempotencyKey, label: incoming.query.get('label') ?? '',
		});
		await sleep(Number(incoming.query.get('run') ?? runMilliseconds));
		runLog.end(record);
		slots.release();
		return record;
	};

	const prepareAnswer = (response: ServerResponse): void => {
		if (isDraining) {
			response.setHeader('Connection', 'close');
		}
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		received++;
		const incoming = await receive(request);
		const fault = faults.take();
		if (fault.mode === UpstreamFault.Refuse) {
			prepareAnswer(response);
			refuse(response, incoming);
			return;
		}

		await run(incoming);
		if (fault.mode === UpstreamFault.Hang) {
			return;
		}

		if (fault.mode === UpstreamFault.Late) {
			await sleep(fault.delayMilliseconds ?? defaultLateMilliseconds);
		}

		prepareAnswer(response);
		answer(response, incoming, fault);
	};

	const {port, server, close} = await listen({
		port: options.port,
		host: options.host,
		listener(request, response) {
			handle(request, response).catch(() => {
				// The caller broke the connection while sending; nothing was run.
				response.destroy();
			});
		},
	});
	// Callers keep connections for reuse; an upstream that closes idle ones early would race with their next request.
	server.keepAliveTimeout = 60_000;
	return {
		port,
		runLog,
		setFault: faults.set,
		setRunTime(milliseconds) {
			runMilliseconds = milliseconds;
		},
		received: () => received,
		async drain() {
			isDraining = true;
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
			await closeServer(server);
		},
		close,
	};
};
