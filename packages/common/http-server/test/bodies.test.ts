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
test('if bodies exceed their limit, the oldest one that comes slowly is refused', async t => {
	const {connect, exchange, exceeded, countRequests} = await startReader(t, {bodyBytes: 2000, checkIntervalMilliseconds: 10});
	const slow = [connect(), connect()];
	for (const [index, socket] of slow.entries()) {
		socket.write(createPost('x'.repeat(900), 1000));
		// eslint-disable-next-line no-await-in-loop -- The order of the requests matters.
		await waitUntil(() => countRequests() === index + 1);
	}

	let text = '';
	while (!text.endsWith('complete')) {
		// Refused until a check has found the slow ones.
		// eslint-disable-next-line no-await-in-loop -- One request after the other.
		text = await exchange(createPost('x'.repeat(500)));
		t.regex(text, /(?:complete|refused)$/v);
	}

	t.regex(await readAll(slow[0]!), /refused$/v);
	slow[1]!.write('x'.repeat(100));
	t.regex(await readAll(slow[1]!), /complete$/v);
	t.deepEqual([...new Set(exceeded)], ['body-bytes']);
	// What the bodies took is free again.
	t.regex(await exchange(createPost('x'.repeat(1000))), /complete$/v);
});

// Guards against bodies that are read although they are refused: what is read becomes garbage faster than it is collected.
test('a body that would exceed the limit is refused before it is read', async t => {
	const {connect, exchange, countRequests} = await startReader(t, {bodyBytes: 1500});
	const other = connect();
	other.write(createPost('x', 1000));
	await waitUntil(() => countRequests() === 1);
	t.regex(await exchange(createPost('', 1000)), /refused$/v);
	other.write('x'.repeat(999));
	t.regex(await readAll(other), /complete$/v);
});

// Guards against callers that all send on after their rejection, and against a single one that loses its connection by that.
test('the rest of some rejected bodies is read, further ones close their connections', async t => {
	const {connect, countRequests} = await startReader(t, {});
	const rejected = Array.from({length: 5}, () => connect());
	for (const [index, socket] of rejected.entries()) {
		socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n');
		// eslint-disable-next-line no-await-in-loop -- The order of the requests matters.
		await waitUntil(() => socket.bytesRead > 0 || countRequests() === index + 1);
	}

	t.regex(await readAll(rejected[4]!), /connection: close[\s\S]*too-large$/v);
	rejected[0]!.write(`${'x'.repeat(1001)}${createPost('x')}`);
	t.regex(await readAll(rejected[0]!), /too-large[\s\S]*complete$/v);
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
