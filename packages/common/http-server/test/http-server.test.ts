import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createConnection} from 'node:net';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {HttpServerLimits} from '../src/index.js';
import {createHttpServer, defaultHttpServerLimits, HttpLimit} from '../src/index.js';

type Handle = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

const respond: Handle = (_, response) => {
	response.end('ok');
};

/** Returns what is received until the connection ends. */
const readAll = async (socket: Socket): Promise<string> => {
	let text = '';
	socket.on('data', (chunk: Uint8Array) => {
		text += new TextDecoder().decode(chunk);
	});
	if (!socket.destroyed) {
		await once(socket, 'close');
	}

	return text;
};

const start = async (t: ExecutionContext, options: {readonly limits?: Partial<HttpServerLimits>; readonly handle?: Handle} = {}) => {
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

const waitUntil = async (isReached: () => boolean): Promise<void> => {
	while (!isReached()) {
		// eslint-disable-next-line no-await-in-loop -- Waits for the server; the timeout of the test run ends it.
		await setImmediate();
	}
};

const tinyRequest = 'GET / HTTP/1.1\r\n\r\n';
const createRequest = (path: string, headers = ''): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n${headers}\r\n`;

// Guards against a process that runs out of memory: one chunk of requests without Host made thousands of objects before any handler ran.
test('requests sent ahead without a Host header close their connection, and the rest of their chunk is not kept', async t => {
	const {connect, exceeded, countRequests, handled, server} = await start(t, {limits: {requestsPerConnection: 8}});
	const admitted = new Set<IncomingMessage>();
	server.prependListener('request', request => {
		admitted.add(request);
	});
	const socket = connect();
	socket.write(tinyRequest.repeat(3000));
	await readAll(socket);
	t.deepEqual([admitted.size, handled.length, countRequests()], [8, 0, 0]);
	t.deepEqual(exceeded, ['requests-per-connection']);
});

// Guards against answers that are kept for a client that reads none of them, and against requests that are handled after the connection was closed.
test('requests sent ahead that have to wait for an answer close their connection at the limit', async t => {
	let finish = (): void => undefined;
	const finished = new Promise<void>(resolve => {
		finish = resolve;
	});
	const {connect, exceeded, countRequests, handled} = await start(t, {limits: {requestsPerConnection: 8}, handle: async () => finished});
	const socket = connect();
	socket.write(createRequest('/').repeat(2000));
	await readAll(socket);
	t.is(handled.length, 8);
	t.deepEqual(exceeded, ['requests-per-connection']);
	// Handlers that are still at work count although their client is gone.
	t.is(countRequests(), 8);
	finish();
	await waitUntil(() => countRequests() === 0);
});

// Guards against a limit that ordinary callers meet: requests sent ahead up to the limit are answered in order on a connection that stays open.
test('requests sent ahead within the limit are all answered', async t => {
	const {connect, exceeded, countRequests, handled} = await start(t, {limits: {requestsPerConnection: 8}});
	const socket = connect();
	socket.write(Array.from({length: 7}, (_, index) => createRequest(`/${index}`)).join('') + createRequest('/7', 'Connection: close\r\n'));
	const text = await readAll(socket);
	t.is(text.split('HTTP/1.1 200').length - 1, 8);
	t.deepEqual(handled, Array.from({length: 8}, (_, index) => `/${index}`));
	t.deepEqual([exceeded, countRequests()], [[], 0]);
});

// Guards against many connections that together hold what none of them may hold alone, and against a refusal of a request that was begun.
test('requests over the number that is handled at a time are refused without being begun', async t => {
	const {connect, exceeded, handled, countRequests} = await start(t, {limits: {requests: 2}, handle: () => undefined});
	const waiting = connect();
	waiting.write(createRequest('/1') + createRequest('/2'));
	await once(waiting, 'connect');
	await waitUntil(() => countRequests() === 2);

	const refused = connect();
	refused.write(createRequest('/3'));
	t.regex(await readAll(refused), /^HTTP\/1\.1 503 .*connection: close.*retry-after: 1/isv);
	t.deepEqual(handled, ['/1', '/2']);
	const ahead = connect();
	ahead.write(createRequest('/4').repeat(3));
	await readAll(ahead);
	t.is(handled.length, 2);
	t.true(exceeded.every(limit => limit === HttpLimit.Requests));
});

// Guards against a crowd that holds all connections: ordinary callers are answered, and those that wait for an answer keep their connection.
test('new connections take the place of those that have sent no request, then of idle ones', async t => {
	const {connect, exceeded, countConnections, countRequests} = await start(t, {
		limits: {connections: 3},
		handle(request, response) {
			if (request.url !== '/wait') {
				response.end('ok');
			}
		},
	});
	const ask = async (socket: Socket): Promise<void> => {
		socket.write(createRequest('/'));
		await once(socket, 'data');
	};

	const busy = connect();
	busy.write(createRequest('/wait'));
	await waitUntil(() => countRequests() === 1);
	const idle = connect();
	await ask(idle);
	const silent = connect();
	silent.write('GET / HTTP/1.1\r\nHo');
	await waitUntil(() => countConnections() === 3);

	const caller = connect();
	await ask(caller);
	await readAll(silent);
	t.deepEqual([busy.destroyed, idle.destroyed, caller.destroyed], [false, false, false]);

	const nextCaller = connect();
	await ask(nextCaller);
	await readAll(idle);
	t.deepEqual([busy.destroyed, caller.destroyed, countConnections()], [false, false, 3]);
	t.deepEqual(exceeded, ['connections', 'connections']);
});

// Guards against callers that lose their answer to a crowd: if all connections wait for an answer, the newest is closed.
test('a connection that waits for its answer is not closed in favour of a new one', async t => {
	const {connect, countRequests, countConnections} = await start(t, {limits: {connections: 2}, handle: () => undefined});
	const waiting = [connect(), connect()];
	for (const socket of waiting) {
		socket.write(createRequest('/'));
	}

	await waitUntil(() => countRequests() === 2);
	await readAll(connect());
	t.deepEqual([waiting.map(({destroyed}) => destroyed), countConnections(), countRequests()], [[false, false], 2, 2]);
});

// Guards against a refusal of ordinary requests that differ from the most common form, and against any form that is counted for good.
test('a request without Host is rejected, one of HTTP/1.0 or with an offer of another protocol is served', async t => {
	const {exchange, exceeded, countRequests} = await start(t);

	t.regex(await exchange(tinyRequest), /^HTTP\/1\.1 400 /v);
	t.regex(await exchange('GET / HTTP/1.0\r\n\r\n'), /^HTTP\/1\.1 200 /v);
	t.regex(await exchange(createRequest('/', 'Connection: Upgrade, close\r\nUpgrade: h2c\r\n')), /^HTTP\/1\.1 200 /v);
	t.regex(await exchange(createRequest('/', 'Expect: something\r\n')), /^HTTP\/1\.1 417 /v);
	t.is(await exchange('CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n'), '');
	t.deepEqual(exceeded, []);
	await waitUntil(() => countRequests() === 0);
});

type Server = Awaited<ReturnType<typeof start>>;

/** Responds with the outcome of reading the body; `reserved` bytes are counted in addition. */
const respondWithOutcome = (getServer: () => Server, reserved = 0): Handle => async (request, response) => {
	const {readBody, reserveBytes} = getServer();
	const body = await readBody(request, 1000).catch(() => ({type: 'failed'}));
	response.end(body.type === 'complete' && !reserveBytes(request, reserved) ? 'not-reserved' : body.type);
};

const startReader = async (t: ExecutionContext, limits: Partial<HttpServerLimits>, reserved = 0): Promise<Server> => {
	const server: Server = await start(t, {limits, handle: respondWithOutcome(() => server, reserved)});
	return server;
};

const createPost = (body: string, length = body.length): string => `POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${length}\r\n\r\n${body}`;

// Guards against a process that reads an endless body: the caller got no answer, and what it sent was read for as long as it sent.
test('a body that is too large is answered before it has ended', async t => {
	const {exchange, countRequests} = await startReader(t, {});
	t.regex(await exchange(`POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n${'x'.repeat(1001)}\r\n`), /too-large$/v);
	t.regex(await exchange(createPost('x', 1001)), /too-large$/v);
	t.regex(await exchange(createPost('x'.repeat(1000))), /complete$/v);
	await waitUntil(() => countRequests() === 0);
});

// Guards against slow senders that together hold more memory than the process has, and against ordinary callers that are refused in their place.
test('if bodies exceed their limit, the oldest incomplete ones are refused', async t => {
	const {connect, exchange, exceeded, countRequests} = await startReader(t, {bodyBytes: 2000});
	const slow = [connect(), connect()];
	for (const [index, socket] of slow.entries()) {
		socket.write(createPost('x'.repeat(900), 1000));
		// eslint-disable-next-line no-await-in-loop -- The order of the requests matters.
		await waitUntil(() => countRequests() === index + 1);
	}

	t.regex(await exchange(createPost('x'.repeat(500))), /complete$/v);
	t.regex(await readAll(slow[0]!), /refused$/v);
	slow[1]!.write('x'.repeat(100));
	t.regex(await readAll(slow[1]!), /complete$/v);
	t.deepEqual(exceeded, ['body-bytes']);
	// What the bodies took is free again.
	t.regex(await exchange(createPost('x'.repeat(1000))), /complete$/v);
});

// Guards against small bodies that take much more memory than they have bytes, and against a limit that a single request meets.
test('bytes that a request takes beyond its body count, and a single request is always served', async t => {
	const {connect, exchange, countRequests, exceeded} = await startReader(t, {bodyBytes: 2000}, 5000);
	t.regex(await exchange(createPost('x')), /complete$/v);
	const other = connect();
	other.write(createPost('x', 2));
	await waitUntil(() => countRequests() === 1);
	t.regex(await exchange(createPost('x')), /not-reserved$/v);
	t.deepEqual(exceeded, ['body-bytes']);
});

// Guards against bytes that stay counted for callers that have gone, until all others are refused.
test('a body whose caller leaves is not counted any more', async t => {
	const {connect, exchange, countRequests, exceeded} = await startReader(t, {bodyBytes: 2000});
	for (let index = 0; index < 5; index += 1) {
		const socket = connect();
		socket.write(createPost('x'.repeat(900), 1000));
		// eslint-disable-next-line no-await-in-loop -- One caller after the other.
		await waitUntil(() => countRequests() === 1);
		socket.destroy();
		// eslint-disable-next-line no-await-in-loop -- As above.
		await waitUntil(() => countRequests() === 0);
	}

	t.regex(await exchange(createPost('x'.repeat(1000))), /complete$/v);
	t.deepEqual(exceeded, []);
});

// Guards against a response to what follows a request that the caller takes as the response to the request, whose job may be stored.
test('a malformed request after an unfinished one closes the connection without a response', async t => {
	const {connect, exchange, countRequests} = await start(t, {handle: () => undefined});
	const socket = connect();
	socket.write(createRequest('/'));
	await waitUntil(() => countRequests() === 1);
	socket.write('nonsense\r\n\r\n');
	t.is(await readAll(socket), '');
	t.regex(await exchange('nonsense\r\n\r\n'), /^HTTP\/1\.1 400 .*content-length: 0/isv);
});

// Guards against heads that fill the memory: long ones, and short ones of thousands of fields, of which Node.js would drop some without notice.
test('a head with too many bytes or fields is rejected', async t => {
	const {exchange, exceeded, handled, countRequests} = await start(t, {limits: {headBytes: 2000, headerFields: 50}});
	t.regex(await exchange(createRequest('/', `x: ${'x'.repeat(2000)}\r\n`)), /^HTTP\/1\.1 431 /v);
	t.regex(await exchange(createRequest('/', 'x: y\r\n'.repeat(50))), /^HTTP\/1\.1 431 /v);
	t.deepEqual(handled, []);
	t.regex(await exchange(createRequest('/', 'x: y\r\n'.repeat(48) + 'Connection: close\r\n')), /^HTTP\/1\.1 200 /v);
	t.deepEqual(exceeded, ['head-size', 'head-size']);
	await waitUntil(() => countRequests() === 0);
});
