import test from 'ava';
import type {DispatchChannel} from '../src/dispatch-channel.js';
import {createDispatchServer} from '../src/dispatch-server.js';
import {createFakeClock, createFakeWorkerClient, startCall} from './support/fake-dispatch.js';

const createFixture = () => {
	const fakeClock = createFakeClock();
	const worker = createFakeWorkerClient();
	const closed: string[] = [];
	const sent: string[] = [];
	let buffered = 0;
	const server = createDispatchServer({
		workerClient: worker.client, clock: fakeClock.clock, onConnectionClosed(reason) {
			closed.push(reason);
		},
	});
	const channel: DispatchChannel = {
		send(line) {
			sent.push(line);
		},
		bufferedBytes: () => buffered, close: () => undefined,
	};
	return {
		...fakeClock, worker, closed, sent, server, channel,
		/** Sends a start with the answered clock reading and the latest time. */
		createStart: (answeredClock: number, latestAt: number): string => JSON.stringify({
			answeredClock, calls: [{
				id: 1, method: 'start', options: startCall, latestAt,
			}],
		}),
		leaveUnread(bytes: number) {
			buffered = bytes;
		},
	};
};

// Guards against tasks that start after the owner could no longer know of it, because a dispatcher or its link was slow.
test.serial('a start that is too late is not sent', async t => {
	const {server, channel, advance, worker, sent, createStart, clock} = createFixture();
	const handlers = server.accept(7, channel)!;
	handlers.onLine(createStart(1, clock.now() - 1));
	await advance(10);
	t.deepEqual(worker.calls, []);
	t.regex(sent.join('\n'), /"kind":"not-sent".*"isDropped":true/v);
	handlers.onLine(createStart(1, clock.now()));
	await advance(10);
	t.is(worker.calls.length, 1);
});

// Guards against late starts after a suspension of the machine, which the monotonic clock does not count.
test.serial('after a suspension, starts are dropped until the next clock reading is answered', async t => {
	const {server, channel, advance, suspend, worker, createStart, clock} = createFixture();
	const handlers = server.accept(7, channel)!;
	const readingBefore = clock.now();
	await advance(60);
	suspend(10_000);
	handlers.onLine(createStart(readingBefore, clock.now() + 500));
	const readingAfter = clock.now();
	await advance(60);
	handlers.onLine(createStart(readingBefore, clock.now() + 500));
	await advance(10);
	t.deepEqual(worker.calls, []);
	handlers.onLine(createStart(readingAfter, clock.now() + 500));
	await advance(10);
	t.is(worker.calls.length, 1);
});

// Guards against two owners that use one dispatcher, and against late calls of the earlier one.
test.serial('a lower epoch is refused, and a higher one closes the connection', async t => {
	const {server, channel, advance, worker, closed, createStart, clock} = createFixture();
	const previous = server.accept(7, channel)!;
	t.truthy(server.accept(8, channel));
	t.deepEqual(closed, ['there is a newer owner']);
	t.is(server.accept(7, channel), undefined);
	t.is(server.accept(Number.NaN, channel), undefined);
	previous.onLine(createStart(clock.now(), clock.now() + 500));
	await advance(10);
	t.deepEqual(worker.calls, []);
});

// Guards against a dispatcher whose process ends because of a malformed line.
test.serial('a malformed line closes the connection', t => {
	const {server, channel, closed, worker} = createFixture();
	for (const line of [
		'{',
		'{}',
		'{"answeredClock":1,"calls":[{"id":1,"method":"start","options":{}}]}',
		'{"answeredClock":1,"calls":[{"id":1,"method":"kill","options":{"worker":{"id":"w1","address":""},"fencingToken":1}}]}',
		'{"answeredClock":1,"calls":[{"id":1,"method":"stop","options":{"worker":{"id":"w1","address":"","incarnation":"1"},"task":"job.0.0.0","run":1,"fencingToken":1}}]}',
	]) {
		server.accept(7, channel)!.onLine(line);
	}

	t.deepEqual([closed.length, worker.calls], [5, []]);
});

// Guards against a dispatcher that runs out of memory because the owner does not read the results.
test.serial('a connection whose results are not read is closed', async t => {
	const {server, channel, advance, closed, leaveUnread} = createFixture();
	server.accept(7, channel);
	leaveUnread(1_100_000);
	await advance(60);
	t.deepEqual(closed, ['the owner does not read the results']);
});

// Guards against connections that together buffer more than the process has memory: each may hold the begin of a long line.
test.serial('connections over the limit are refused until another one ends', async t => {
	const {server, channel, advance, closed} = createFixture();
	for (let index = 0; index < 4; index += 1) {
		t.truthy(server.accept(7, channel));
	}

	t.is(server.accept(7, channel), undefined);
	await advance(450);
	t.is(closed.length, 4);
	t.truthy(server.accept(7, channel));
	t.truthy(server.accept(8, channel));
});

// Guards against connections of owners that have ended without closing them.
test.serial('a silent owner loses the connection', async t => {
	const {server, channel, advance, closed} = createFixture();
	server.accept(7, channel);
	await advance(450);
	t.deepEqual(closed, ['the owner is silent']);
});
