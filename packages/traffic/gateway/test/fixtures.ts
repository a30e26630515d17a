/** A gateway with simulated upstream servers on loopback ports. */
import {once} from 'node:events';
import {request as sendHttp} from 'node:http';
import type {IncomingHttpHeaders} from 'node:http';
import {connect, createServer} from 'node:net';
import type {Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {documentSchema} from '@turmericbay/document';
import type {ConfigurationDocument} from '@turmericbay/document';
import {
	createManualClock, InstanceRole, InstanceState,
} from '@turmericbay/types';
import type {
	ClaimDecision, ClaimPort, InstanceDirectory, InstanceRecord, ManualClock,
	Settlement,
} from '@turmericbay/types';
import {createGateway} from '../src/index.js';
import type {GatewayOptions} from '../src/index.js';

export const key = 'tbk_rugs0001_secret';

export const createDocument = (changes: {queue?: Record<string, unknown>; pool?: Record<string, unknown>} = {}): ConfigurationDocument =>
	documentSchema.parse({
		schemaVersion: 1,
		pools: {pricing: {kind: 'upstream', ...changes.pool}},
		teams: {rugs: {share: 1, limit: 4}},
		queues: {
			quotes: {pool: 'pricing', teams: ['rugs'], ...changes.queue},
			open: {pool: 'pricing', access: 'open'},
		},
	});

/** The part of ava's execution context that closes sockets at the end of a test, even if it failed. */
type Cleanup = {teardown(run: () => Promise<void>): void};

export type RawUpstream = {
	readonly port: number;
	readonly received: string[];
	/** Resolves when a connection closes. */
	readonly closed: Promise<void>;
	close(): Promise<void>;
};

/** TCP server that passes each request as text to a handler, which writes the response bytes. */
export const createRawUpstream = async (t: Cleanup, respond: (socket: Socket, request: string) => void): Promise<RawUpstream> => {
	const received: string[] = [];
	const sockets = new Set<Socket>();
	const closing: {resolve?: () => void} = {};
	const closed = new Promise<void>(resolve => {
		closing.resolve = resolve;
	});
	const server = createServer(socket => {
		sockets.add(socket);
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			const [head = '', body = ''] = text.split('\r\n\r\n');
			const length = Number(/content-length: (?<length>\d+)/iv.exec(head)?.groups?.length ?? 0);
			if (text.includes('\r\n\r\n') && body.length >= length) {
				received.push(text);
				const request = text;
				text = '';
				respond(socket, request);
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
			closing.resolve?.();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const close = async (): Promise<void> => {
		for (const socket of sockets) {
			socket.destroy();
		}

		if (server.listening) {
			server.close();
			await once(server, 'close');
		}
	};

	t.teardown(close);
	return {
		port: typeof address === 'object' && address !== null ? address.port : 0, received, closed, close,
	};
};

export const getHeader = (request: string, name: string): string | undefined =>
	new RegExp(String.raw`^${name}: (?<value>.*)$`, 'imv').exec(request)?.groups?.value?.trim();

export const respondOk = (socket: Socket, request: string, body = 'fine'): void => {
	socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\nX-Request-Id: ${getHeader(request, 'x-request-id')}\r\n\r\n${body}`);
};

export const createRecord = (port: number, changes: Partial<InstanceRecord> = {}): InstanceRecord => ({
	instance: `upstream-${port}`,
	incarnation: 'first',
	address: `127.0.0.1:${port}`,
	role: InstanceRole.Upstream,
	pool: 'pricing',
	zone: 'a',
	rack: 'rack-1',
	state: InstanceState.Live,
	...changes,
});

export type Harness = Awaited<ReturnType<typeof createHarness>>;

export const createHarness = async (t: Cleanup, options: {
	readonly document?: ConfigurationDocument;
	readonly instances: readonly InstanceRecord[];
	readonly settings?: GatewayOptions['settings'];
	readonly units?: number;
	readonly claim?: ClaimDecision;
	/** Called during the claim, to simulate a pause of the process between the authorization and sending. */
	readonly duringClaim?: (clock: ManualClock, state: {confirmationAge: number}) => void | Promise<void>;
}) => {
	const clock = createManualClock();
	const state = {
		units: options.units ?? 4,
		instances: options.instances,
		confirmationAge: 0,
		settlements: [] as Settlement[],
		claims: 0,
		isProvenGone: false,
	};
	const listeners: Array<() => void> = [];
	const instances: InstanceDirectory = {
		instances: () => state.instances,
		ageMilliseconds: () => 0,
		isProvenGone: () => state.isProvenGone,
		subscribe(listener) {
			listeners.push(listener);
		},
	};
	const claims: ClaimPort = {
		async claim() {
			state.claims++;
			await options.duringClaim?.(clock, state);
			return options.claim ?? {type: 'granted', attempt: 'attempt'};
		},
		settle({settlement}) {
			state.settlements.push(settlement);
		},
	};
	const gateway = createGateway({
		configuration: {
			current: () => ({
				version: 1, changeId: 'change', author: 'operator', submittedAt: '2026-01-01T00:00:00Z', document: options.document ?? createDocument(),
			}),
			confirmationAgeMilliseconds: () => state.confirmationAge,
			subscribe: () => undefined,
		},
		grants: {
			tryAcquire() {
				state.units--;
				if (state.units >= 0) {
					return true;
				}

				state.units++;
				return false;
			},
			release() {
				state.units++;
			},
			onAvailable: () => undefined,
		},
		claims,
		issueTicket: () => 'ticket-1',
		instances,
		clock,
		random: () => 0.25,
		zone: 'a',
		settings: {drainTimeoutMilliseconds: 0, ...options.settings},
		authenticate: presented => presented === key ? {team: 'rugs'} : undefined,
	});
	t.teardown(async () => gateway.close());
	const {port} = await gateway.listen({host: '127.0.0.1', port: 0});
	return {
		gateway,
		clock,
		state,
		port,
		setInstances(list: readonly InstanceRecord[]) {
			state.instances = list;
			for (const listener of listeners) {
				listener();
			}
		},
	};
};

/** Sends raw bytes and returns everything received until the connection closes. */
export const sendRaw = async (port: number, ...parts: readonly string[]): Promise<string> => {
	const socket = connect(port, '127.0.0.1');
	const chunks: Uint8Array[] = [];
	socket.on('data', chunk => {
		chunks.push(chunk);
	});
	socket.on('error', () => undefined);
	for (const part of parts) {
		socket.write(part, 'latin1');
	}

	await once(socket, 'close');
	return Buffer.concat(chunks).toString('latin1');
};

/** Polls until the condition holds, for states that change by events on other sockets. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await delay(1); // eslint-disable-line no-await-in-loop
	}
};

export type CallerResponse = {status: number; headers: IncomingHttpHeaders; body: string};

export type CallOptions = {path?: string; method?: string; headers?: Record<string, string>; body?: string; signal?: AbortSignal};

export const send = async (port: number, options: CallOptions = {}): Promise<CallerResponse> => new Promise((resolve, reject) => {
	const request = sendHttp({
		host: '127.0.0.1',
		port,
		path: options.path ?? '/queues/quotes/price',
		method: options.method ?? 'GET',
		headers: {authorization: `Bearer ${key}`, ...options.headers},
		agent: false,
		signal: options.signal,
	}, response => {
		const chunks: Uint8Array[] = [];
		response.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		response.on('end', () => {
			resolve({status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString()});
		});
		response.on('error', reject);
	});
	request.on('error', reject);
	request.end(options.body);
});
