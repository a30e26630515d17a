import {once} from 'node:events';
import test from 'ava';
import type {Server} from './support/loopback.js';
import {
	createPost, createRequest, readAll, respondWithOutcome, start, waitUntil,
} from './support/loopback.js';

const shortTimes = {
	checkIntervalMilliseconds: 10, headMilliseconds: 50, bodyMilliseconds: 50, unreadResponseMilliseconds: 50,
};

// Guards against clients that keep a connection with a partial head for ever, and against a response to a caller that has sent nothing yet.
test('a head that does not come in time closes its connection', async t => {
	const {connect, exchange, exceeded, handled} = await start(t, {limits: shortTimes});
	t.regex(await exchange('GET / HTTP/1.1\r\nHo'), /^HTTP\/1\.1 408 /v);
	t.is(await readAll(connect()), '');
	t.deepEqual([exceeded, handled], [['head-time', 'head-time'], []]);
});

// Guards against bodies that never end, and against an end of the dispatch channel, which lasts as long as the ownership.
test('a body that does not come in time closes its connection, unless the request is kept open', async t => {
	const server: Server = await start(t, {
		limits: shortTimes,
		handle(request, response) {
			if (request.url === '/channel') {
				server.keepOpen(request);
				response.write('open');
			}

			request.resume();
		},
	});
	const {connect, exceeded, countRequests} = server;
	const createEndless = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n`;
	const channel = connect();
	channel.write(createEndless('/channel'));
	await once(channel, 'data');
	for (let index = 0; index < 2; index += 1) {
		const slow = connect();
		slow.write(createEndless('/slow'));
		// eslint-disable-next-line no-await-in-loop -- The second one takes the time in which the channel would have been closed.
		t.is(await readAll(slow), '');
	}

	t.deepEqual([exceeded, channel.destroyed], [['body-time', 'body-time'], false]);
	channel.write('1\r\nx\r\n');
	t.is(countRequests(), 1);
});

// Guards against a client whose request was rejected and that sends a body without an end, which the process has to read.
test('a client that sends on after its response is disconnected', async t => {
	const {connect, exceeded} = await start(t, {
		limits: {...shortTimes, bodyMilliseconds: 1_000_000, discardedBytes: 100_000},
		handle(request, response) {
			request.resume();
			response.end('rejected');
		},
	});
	const socket = connect();
	socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000000\r\n\r\n');
	const timer = setInterval(() => {
		socket.write('x'.repeat(10_000));
	}, 1);
	t.teardown(() => {
		clearInterval(timer);
	});
	t.regex(await readAll(socket), /rejected$/v);
	t.deepEqual(exceeded, ['discarded-body']);
});

// Guards against requests that stay counted if their body ends after their response, and against a caller that loses its connection by that.
test('a body that ends after its response leaves the connection usable', async t => {
	const {connect, countRequests, exceeded} = await start(t, {
		handle(request, response) {
			request.resume();
			response.end('rejected');
		},
	});
	const socket = connect();
	socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab');
	await once(socket, 'data');
	t.is(countRequests(), 1);
	socket.write('cd');
	await waitUntil(() => countRequests() === 0);
	socket.write(createRequest('/', 'Connection: close\r\n'));
	t.regex(await readAll(socket), /rejected$/v);
	await waitUntil(() => countRequests() === 0);
	t.deepEqual(exceeded, []);
});

// Guards against responses that are kept for a client that never reads them.
test('a client that does not read its response is disconnected', async t => {
	const {connect, exceeded, countRequests} = await start(t, {
		limits: shortTimes,
		handle(_, response) {
			response.end('x'.repeat(33_554_432));
		},
	});
	const socket = connect();
	socket.write(createRequest('/'));
	socket.pause();
	await waitUntil(() => exceeded.length > 0);
	t.deepEqual([exceeded, countRequests()], [['unread-response'], 0]);
});

// Guards against clients that hold all connections, or all requests, with bodies that they do not send.
test('clients that delay their own requests give way to new connections and requests', async t => {
	for (const limits of [{connections: 2}, {requests: 2}]) {
		// eslint-disable-next-line no-await-in-loop -- One server after the other.
		const server: Server = await start(t, {
			limits: {...limits, checkIntervalMilliseconds: 10},
			async handle(request, response) {
				if (request.method === 'POST') {
					await respondWithOutcome(() => server)(request, response);
				} else if (request.url === '/now') {
					response.end('ok');
				}
			},
		});
		const {connect, exchange, countRequests, exceeded} = server;
		const [waiting, slow] = [connect(), connect()];
		waiting.write(createRequest('/wait'));
		slow.write(createPost('x', 2));
		// eslint-disable-next-line no-await-in-loop -- As above.
		await waitUntil(() => countRequests() === 2);
		let text = '';
		while (!text.endsWith('ok')) {
			// Refused until a check has found the delay.
			// eslint-disable-next-line no-await-in-loop -- As above.
			text = await exchange(createRequest('/now', 'Connection: close\r\n'));
		}

		// eslint-disable-next-line no-await-in-loop -- As above.
		await readAll(slow);
		t.false(waiting.destroyed);
		t.is(new Set(exceeded).size, 1);
	}
});
