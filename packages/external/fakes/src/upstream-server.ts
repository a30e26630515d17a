/**
 * Fake upstream: an HTTP server that runs a limited number of requests at a time
 * and queues the others. A run continues after its caller's connection is lost.
 *
 * Query parameters: `run` (run time in milliseconds), `size` (bytes of padding
 * in the response), `label` (kept in the run record). The response is JSON with
 * `instance`, `requestId`, `idempotencyKey`, `method`, `path`, `body`, `bodyHash` and
 * `padding`; `body` is left out if it is large.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeServer, listen} from './http.js';
import type {RunLog, RunRecord} from './run-log.js';
import {createRunLog} from './run-log.js';
import type {ReceivedRequest, UpstreamFaultSetting} from './upstream-response.js';
import {
	createResponseWriter, readRequest, sendRefusal, UpstreamFault,
} from './upstream-response.js';

export type UpstreamServer = {
	readonly port: number;
	readonly runLog: RunLog;
	setFault(setting: UpstreamFaultSetting): void;
	setRunTime(milliseconds: number): void;
	/** Number of requests received, whether run or rejected. */
	received(): number;
	/** Stops listening, finishes the running requests and closes idle connections. */
	drain(): Promise<void>;
	/** Stops listening and closes all connections. */
	close(): Promise<void>;
};

export const defaultSlots = 8;
const defaultLateResponseDelayMilliseconds = 500;
/** Limits concurrent holders to `slots`; the others wait in order of arrival. */
const createSemaphore = (slots: number) => {
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

const createActiveFault = () => {
	let setting: UpstreamFaultSetting = {mode: UpstreamFault.None};
	return {
		set(next: UpstreamFaultSetting): void {
			setting = next;
		},
		consume(): UpstreamFaultSetting {
			const current = setting;
			if (current.count !== undefined) {
				setting = current.count > 1 ? {...current, count: current.count - 1} : {mode: UpstreamFault.None};
			}

			return current;
		},
	};
};

/** Starts a fake upstream, by default on a free loopback port. */
export const startUpstreamServer = async (options: {
	readonly instance: string;
	readonly port?: number;
	readonly host?: string;
	readonly slots?: number;
	readonly runMilliseconds?: number;
	readonly onRunStart?: (run: RunRecord) => void;
}): Promise<UpstreamServer> => {
	const runLog = createRunLog({onStart: options.onRunStart});
	const slots = createSemaphore(options.slots ?? defaultSlots);
	const faults = createActiveFault();
	const writeResponse = createResponseWriter(options.instance);
	let runMilliseconds = options.runMilliseconds ?? 0;
	let received = 0;
	let isDraining = false;

	const run = async (incoming: ReceivedRequest): Promise<RunRecord> => {
		await slots.acquire();
		const record = runLog.start({
			requestId: incoming.requestId, idempotencyKey: incoming.idempotencyKey, label: incoming.query.get('label') ?? '',
		});
		await sleep(Number(incoming.query.get('run') ?? runMilliseconds));
		runLog.end(record);
		slots.release();
		return record;
	};

	const setConnectionHeader = (response: ServerResponse): void => {
		if (isDraining) {
			response.setHeader('Connection', 'close');
		}
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		received++;
		const incoming = await readRequest(request);
		const fault = faults.consume();
		if (fault.mode === UpstreamFault.Refuse) {
			setConnectionHeader(response);
			sendRefusal(response, incoming);
			return;
		}

		await run(incoming);
		if (fault.mode === UpstreamFault.Hang) {
			return;
		}

		if (fault.mode === UpstreamFault.Late) {
			await sleep(fault.delayMilliseconds ?? defaultLateResponseDelayMilliseconds);
		}

		setConnectionHeader(response);
		writeResponse(response, incoming, fault);
	};

	const {port, server, close} = await listen({
		port: options.port,
		host: options.host,
		listener(request, response) {
			handle(request, response).catch(() => {
				// The caller's connection was lost while it was sending; nothing was run.
				response.destroy();
			});
		},
	});
	// Callers reuse connections; closing idle ones early would race with their next request.
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
