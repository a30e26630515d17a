import {once} from 'node:events';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {err, ok, ResultAsync} from 'neverthrow';
import type {HttpConnection, PooledConnection} from '../src/index.js';
import {createConnectionPool, createHttpClient, HttpFailureKind} from '../src/index.js';

const deadlineMilliseconds = 20_000;

/** A server whose process has a number, and records the paths of its calls. Calls of `/wait` are not answered, those of `/held` once `answerHeld` has been called. */
const startProcess = async (t: ExecutionContext, number: number, port = 0, closesConnections = false) => {
	const calls: string[] = [];
	let answerHeld: () => void = () => undefined;
	const mayAnswerHeld = new Promise<void>(resolve => {
		answerHeld = resolve;
	});
	const server: Server = createServer((request, response) => {
		calls.push(request.url ?? '');
		if (closesConnections) {
			response.setHeader('connection', 'close');
		}

		if (request.url === '/held') {
			void mayAnswerHeld.then(() => response.end(JSON.stringify({number})));
		} else if (request.url !== '/wait') {
			response.end(JSON.stringify({number}));
		}
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const end = async (): Promise<void> => {
		server.closeAllConnections();
		if (server.listening) {
			server.close();
			await once(server, 'close');
		}
	};

	t.teardown(end);
	return {
		port: typeof address === 'object' && address ? address.port : 0, calls, answerHeld, end,
	};
};

const identify = async (connection: HttpConnection, timeoutMilliseconds: number, path = '/identify') => {
	const answered = await connection.call({method: 'GET', path, timeoutMilliseconds});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Sent by the server above.
	return answered.map(({text}) => (JSON.parse(text) as {number: number}).number);
};

const createPool = (t: ExecutionContext, port: number, maximumConnections = 2) => {
	const client = createHttpClient({connections: 1, connectTimeoutMilliseconds: 5000, keepAliveMilliseconds: 30_000});
	t.teardown(client.close);
	const pool = createConnectionPool({
		open: onClosed => client.openConnection({address: `127.0.0.1:${port}`, onClosed}), maximumConnections, identificationTimeoutMilliseconds: deadlineMilliseconds, now: () => performance.now(),
	});
	return {
		pool,
		async acquire(process?: number): Promise<PooledConnection> {
			const acquired = await pool.acquire({process, timeoutMilliseconds: deadlineMilliseconds, identify});
			return acquired._unsafeUnwrap();
		},
		async fail(process: number, timeoutMilliseconds = deadlineMilliseconds): Promise<HttpFailureKind> {
			const acquired = await pool.acquire({process, timeoutMilliseconds, identify});
			return acquired._unsafeUnwrapErr().kind;
		},
	};
};

const call = async ({connection}: PooledConnection, path: string, timeoutMilliseconds = deadlineMilliseconds) => connection.call({method: 'GET', path, timeoutMilliseconds});

// Guards against calls that reach the next process of a server because the library replaced a closed connection.
test('a connection is not replaced once it has closed', async t => {
	const first = await startProcess(t, 1);
	const {acquire} = createPool(t, first.port);
	const pooled = await acquire(1);
	const answered = await call(pooled, '/a');
	t.true(answered.isOk());
	await first.end();
	const next = await startProcess(t, 2, first.port);
	const failed = await call(pooled, '/b');
	t.true(failed.isErr());
	t.deepEqual([first.calls, next.calls], [['/identify', '/a'], []]);
});

// Guards against a worker that executes a call that was meant for its previous process.
test('a call for a process that has ended is not sent to the next one', async t => {
	const first = await startProcess(t, 1);
	const {pool, acquire} = createPool(t, first.port);
	const known = await acquire(1);
	known.release();
	await first.end();
	const next = await startProcess(t, 2, first.port);
	// The end of the first connection may not have been noticed before the first of these calls.
	for (const _ of [1, 2]) {
		// eslint-disable-next-line no-await-in-loop -- One call at a time.
		const acquired = await pool.acquire({process: 1, timeoutMilliseconds: deadlineMilliseconds, identify});
		// eslint-disable-next-line no-await-in-loop -- One call at a time.
		const answered = await acquired.asyncAndThen(pooled => new ResultAsync(call(pooled, '/a')));
		t.true(answered.isErr());
	}

	t.deepEqual(next.calls, ['/identify']);
	const current = await acquire(2);
	t.is(current.process(), 2);
});

// Guards against calls that fail for want of a connection after another process has answered on all of them.
test('connections to an earlier process make room for one to the current process', async t => {
	const {port} = await startProcess(t, 2);
	const {acquire} = createPool(t, port, 1);
	const other = await acquire();
	other.setProcess(1);
	other.release();
	const current = await acquire(2);
	t.is(current.process(), 2);
});

// Guards against a call that never ends because all connections of the pool are in use.
test('a call waits for a free connection until its deadline', async t => {
	const {port, calls} = await startProcess(t, 1);
	const {acquire, fail} = createPool(t, port, 1);
	const pooled = await acquire(1);
	t.is(await fail(1, 1), HttpFailureKind.NotSent);
	const waiting = acquire(1);
	pooled.release();
	await t.notThrowsAsync(waiting);
	t.deepEqual(calls, ['/identify']);
});

// Guards against a pool that stays full of connections that have closed.
test('a closed connection makes room for a waiting call', async t => {
	const {port} = await startProcess(t, 1);
	const {acquire} = createPool(t, port, 1);
	const pooled = await acquire(1);
	const waiting = acquire(1);
	pooled.connection.close();
	await t.notThrowsAsync(waiting);
});

// Guards against a call to a process that nobody has identified.
test('no connection is handed out if the process behind it cannot be identified', async t => {
	const {port} = await startProcess(t, 1);
	const {pool} = createPool(t, port, 1);
	const refused = await pool.acquire({process: 1, timeoutMilliseconds: deadlineMilliseconds, identify: async () => err({kind: HttpFailureKind.Timeout, message: 'no answer'})});
	t.is(refused._unsafeUnwrapErr().kind, HttpFailureKind.NotSent);
	const identified = await pool.acquire({process: 1, timeoutMilliseconds: deadlineMilliseconds, identify: async () => ok(1)});
	t.true(identified.isOk());
});

// Guards against a call that fails because the call before it on the same connection has reached its deadline.
test('a connection whose call has reached its deadline is not handed out again', async t => {
	const {port} = await startProcess(t, 1);
	const {acquire} = createPool(t, port, 1);
	const pooled = await acquire(1);
	const waiting = acquire(1);
	const late = await call(pooled, '/wait', 1);
	t.true(late.isErr());
	pooled.release();
	const answered = await call(await waiting, '/a');
	t.is(answered.isErr() ? answered.error.message : 'answered', 'answered');
});

// Guards against calls to a server that is not used any more, and against a connection that nothing closes.
test('a call that waits for a connection fails once the pool has closed', async t => {
	const {port, calls} = await startProcess(t, 1);
	const {pool, acquire} = createPool(t, port, 1);
	await acquire(1);
	const waiting = [1, 1].map(async process => {
		const acquired = await pool.acquire({process, timeoutMilliseconds: deadlineMilliseconds, identify});
		return acquired.isErr() ? acquired.error.kind : 'acquired';
	});
	pool.close();
	t.deepEqual(await Promise.all(waiting), [HttpFailureKind.NotSent, HttpFailureKind.NotSent]);
	t.deepEqual(calls, ['/identify']);
});

// Guards against a worker whose calls never succeed: each identification took the time of the call, and its connection was closed.
test('a connection whose process answers after the deadline of the call serves the next one', async t => {
	const {port, calls, answerHeld} = await startProcess(t, 1);
	const {pool, acquire} = createPool(t, port, 1);
	const late = await pool.acquire({process: 1, timeoutMilliseconds: 1, identify: async (connection, timeoutMilliseconds) => identify(connection, timeoutMilliseconds, '/held')});
	t.is(late._unsafeUnwrapErr().kind, HttpFailureKind.NotSent);
	answerHeld();
	const next = await acquire(1);
	t.is(next.process(), 1);
	t.deepEqual(calls, ['/held']);
});

/** Acquires a connection that is stale, and then the one for the call itself. */
const acquireFresh = async (acquire: (process: number) => Promise<PooledConnection>): Promise<PooledConnection> => {
	const stale = await acquire(1);
	const failed = await stale.call({method: 'GET', path: '/stale', timeoutMilliseconds: deadlineMilliseconds});
	stale.release();
	return failed.isErr() && stale.isStale() ? acquire(1) : stale;
};

// Guards against a worker that gets no calls: it closes each connection after a response, and the identification took the only one.
test('a call reaches a server that closes each connection after a response', async t => {
	const {port, calls} = await startProcess(t, 1, 0, true);
	const {acquire} = createPool(t, port);
	const first = await acquireFresh(acquire);
	const answered = await first.call({method: 'GET', path: '/a', timeoutMilliseconds: deadlineMilliseconds});
	t.true(answered.isOk());
	first.release();
	const second = await acquire(1);
	const answeredAgain = await second.call({method: 'GET', path: '/b', timeoutMilliseconds: deadlineMilliseconds});
	t.true(answeredAgain.isOk());
	t.deepEqual(calls, ['/identify', '/identify', '/a', '/identify', '/b']);
});

// Guards against a worker that executes a call for its previous process, which closed each connection after a response.
test('a call for a process that has ended is not sent to the next one if they close each connection after a response', async t => {
	const first = await startProcess(t, 1, 0, true);
	const {acquire, fail} = createPool(t, first.port);
	const pooled = await acquireFresh(acquire);
	await first.end();
	const next = await startProcess(t, 2, first.port, true);
	const failed = await pooled.call({method: 'GET', path: '/a', timeoutMilliseconds: deadlineMilliseconds});
	t.true(failed.isErr());
	pooled.release();
	t.is(await fail(1), HttpFailureKind.NotSent);
	t.deepEqual([first.calls, next.calls], [['/identify', '/identify'], ['/identify']]);
});

// Guards against twice as many connections to each worker as are needed: one of them was closed once while it was idle.
test('a server that keeps connections again is not asked beside them any more', async t => {
	const closing = await startProcess(t, 1, 0, true);
	const {acquire} = createPool(t, closing.port);
	const pooled = await acquireFresh(acquire);
	pooled.connection.close();
	await closing.end();
	const keeping = await startProcess(t, 1, closing.port);
	for (const path of ['/a', '/b', '/c']) {
		// eslint-disable-next-line no-await-in-loop -- One call at a time.
		const acquired = await acquire(1);
		// eslint-disable-next-line no-await-in-loop -- One call at a time.
		await acquired.call({method: 'GET', path, timeoutMilliseconds: deadlineMilliseconds});
		acquired.release();
	}

	t.deepEqual(keeping.calls, ['/identify', '/a', '/b', '/c']);
});
