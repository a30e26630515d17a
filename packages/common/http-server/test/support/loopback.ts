/** Starts a server on loopback and sends requests to it, byte by byte as a test needs them. */
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createConnection} from 'node:net';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import type {HttpServerLimits, HttpLimit} from '../../src/index.js';
import {createHttpServer, defaultHttpServerLimits} from '../../src/index.js';

export type Handle = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

export const respond: Handle = (_, response) => {
	response.end('ok');
};

/** Returns what is received until the connection ends. */
export const readAll = async (socket: Socket): Promise<string> => {
	if (socket.destroyed) {
		return '';
	}

	let text = '';
	socket.on('data', (chunk: Uint8Array) => {
		text += new TextDecoder().decode(chunk);
	});
	return new Promise(resolve => {
		// A reset is one way in which a connection ends.
		socket.on('close', () => {
			resolve(text);
		});
	});
};

export const start = async (t: ExecutionContext, options: {readonly limits?: Partial<HttpServerLimits>; readonly handle?: Handle} = {}) => {
	const handled: string[] = [];
	const exceeded: HttpLimit[] = [];
	const httpServer = createHttpServer({
		limits: {...defaultHttpServerLimits, ...options.limits},
		async handle(request, response) {
			handled.push(request.url ?? '');
			await (options.handle ?? respond)(request, response);
		},
		refuse(_, response) {
			response.writeHead(503, {'retry-after': '1', 'content-length': 0});
			response.end();
		},
		onLimit(limit) {
			exceeded.push(limit);
		},
	});
	const {server} = httpServer;
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	const port = typeof address === 'object' && address ? address.port : 0;
	const connect = (): Socket => {
		const socket = createConnection(port, '127.0.0.1');
		socket.on('error', () => undefined);
		t.teardown(() => {
			socket.destroy();
		});
		return socket;
	};

	/** Sends one request and returns the response, for which the server has to close the connection. */
	const exchange = async (text: string): Promise<string> => {
		const socket = connect();
		socket.write(text);
		return readAll(socket);
	};

	return {
		...httpServer, exchange, handled, exceeded, connect,
	};
};

export const waitUntil = async (isReached: () => boolean): Promise<void> => {
	while (!isReached()) {
		// eslint-disable-next-line no-await-in-loop -- Waits for the server; the timeout of the test run ends it.
		await setImmediate();
	}
};

export const tinyRequest = 'GET / HTTP/1.1\r\n\r\n';
export const createRequest = (path: string, headers = ''): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n${headers}\r\n`;

export type Server = Awaited<ReturnType<typeof start>>;

/** Responds with the outcome of reading the body; `reserved` bytes are counted in addition. */
export const respondWithOutcome = (getServer: () => Server, reserved = 0): Handle => async (request, response) => {
	const {readBody, reserveBytes} = getServer();
	const body = await readBody(request, 1000).catch(() => ({type: 'failed'}));
	response.end(body.type === 'complete' && !reserveBytes(request, reserved) ? 'not-reserved' : body.type);
};

export const startReader = async (t: ExecutionContext, limits: Partial<HttpServerLimits>, reserved = 0): Promise<Server> => {
	const server: Server = await start(t, {limits, handle: respondWithOutcome(() => server, reserved)});
	return server;
};

export const createPost = (body: string, length = body.length): string => `POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${length}\r\n\r\n${body}`;

