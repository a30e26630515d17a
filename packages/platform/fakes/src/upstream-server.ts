/**
 * An upstream: an HTTP server that runs a bounded number of requests at a time
 * and lets the others wait. A run goes on after its caller's connection broke.
 *
 * Query parameters: `run` (run time in milliseconds), `size` (bytes of padding
 * in the answer), `label` (kept in the run record). The answer is JSON with
 * `instance`, `requestId`, `idempotencyKey`, `method`, `path`, `body` and `padding`.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	closeServer, listen, readBody, readHeader,
} from './http.js';
import type {RunLedger, RunRecord} from './run-ledger.js';
import {createRunLedger} from './run-ledger.js';

export enum UpstreamFault {
	None = 'none',
	/** Runs the request and never answers. */
	Hang = 'hang',
	/** Runs the request and answers after a delay. */
	Late = 'late',
	/** Runs the request and breaks the connection in the middle of the answer. */
	CutAnswer = 'cut-answer',
	/** Answers 503 without running the request. */
	Refuse = 'refuse',
	/** Runs the request and answers 500. */
	Fail = 'fail',
	/** Runs the request and answers with another request's identifier. */
	WrongRequestId = 'wrong-request-id',
}

export type UpstreamFaultSetting = {
	readonly mode: UpstreamFault;
	/** Number of requests affected; all if left out. */
	readonly count?: number;
	readonly delayMilliseconds?: number;
};

export type UpstreamServer = {
	readonly port: number;
	readonly ledger: RunLedger;
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
/** Longer request bodies are answered with their SHA-256 hash only. */
const maximumEchoedBytes = 4096;

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

type Received = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly requestId: string;
	readonly idempotencyKey: string;
	readonly body: Uint8Array;
};

const receive = async (request: IncomingMessage): Promise<Received> => {
	const url = new URL(request.url ?? '/', 'http://upstream');
	return {
		method: request.method ?? '',
		path: url.pathname,
		query: url.searchParams,
		requestId: readHeader(request, 'x-request-id') ?? '',
		idempotencyKey: readHeader(request, 'idempotency-key') ?? '',
		body: await readBody(request),
	};
};

const createAnswerBody = (instance: string, received: Received): string => {
	const {
		method, path, query, requestId, idempotencyKey, body,
	} = received;
	return JSON.stringify({
		instance,
		requestId,
		idempotencyKey,
		method,
		path,
		body: body.length <= maximumEchoedBytes ? new TextDecoder().decode(body) : undefined,
		bodyHash: createHash('sha256').update(body).digest('hex'),
		padding: 'x'.repeat(Number(query.get('size') ?? 0)),
	});
};

const answer = (response: ServerResponse, options: {
	readonly received: Received;
	readonly text: string;
	readonly mode: UpstreamFault;
}): void => {
	const {received, text, mode} = options;
	response.writeHead(mode === UpstreamFault.Fail ? 500 : 200, {
		'Content-Type': 'application/json',
		'Content-Length': Buffer.byteLength(text),
		'X-Request-Id': mode === UpstreamFault.WrongRequestId ? `${received.requestId}-other` : received.requestId,
	});
	if (mode !== UpstreamFault.CutAnswer) {
		response.end(text);
		return;
	}

	response.write(text.slice(0, Math.ceil(text.length / 2)), () => {
		response.destroy();
	});
};

const refuse = (response: ServerResponse, received: Received): void => {
	response.writeHead(503, {'Content-Length': 0, 'X-Request-Id': received.requestId});
	response.end();
};

/** Starts an upstream on a loopback port. */
export const startUpstreamServer = async (options: {
	readonly instance: string;
	readonly port?: number;
	readonly slots?: number;
	readonly runMilliseconds?: number;
	readonly onRunStart?: (run: RunRecord) => void;
}): Promise<UpstreamServer> => {
	const ledger = createRunLedger({onStart: options.onRunStart});
	const slots = createSlots(options.slots ?? defaultSlots);
	const faults = createFaultSource();
	let runMilliseconds = options.runMilliseconds ?? 0;
	let received = 0;
	let isDraining = false;

	const run = async (incoming: Received): Promise<RunRecord> => {
		await slots.acquire();
		const record = ledger.start({
			requestId: incoming.requestId, idempotencyKey: incoming.idempotencyKey, label: incoming.query.get('label') ?? '',
		});
		await sleep(Number(incoming.query.get('run') ?? runMilliseconds));
		ledger.end(record);
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
		answer(response, {received: incoming, text: createAnswerBody(options.instance, incoming), mode: fault.mode});
	};

	const {port, server, close} = await listen({
		port: options.port,
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
		ledger,
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
