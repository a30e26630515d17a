import test from 'ava';
import {
	createPost, readAll, startReader, waitUntil,
} from './support/loopback.js';

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
