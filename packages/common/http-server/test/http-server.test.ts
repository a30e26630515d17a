import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import test from 'ava';
import {HttpLimit} from '../src/index.js';
import {
	createRequest, readAll, start, tinyRequest, waitUntil,
} from './support/loopback.js';

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
