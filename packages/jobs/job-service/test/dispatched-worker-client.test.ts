import test from 'ava';
import {WorkerCallErrorKind} from '../src/index.js';
import {
	createFakeDispatch, heartbeatCall, startCall, succeeds,
} from './support/fake-dispatch.js';

// Guards against the cost and the delay of dispatchers in small fleets, whose owner has the processor time to call all workers.
test.serial('an owner of few workers calls them directly', async t => {
	const {connect, owner, direct, remote} = createFakeDispatch({workers: 64});
	await connect();
	t.true(await succeeds(owner.workerClient.start(startCall)));
	t.deepEqual([direct.calls, remote.calls], [['start job.0.0.0#1'], []]);
});

// Guards against an owner that spends its processor time on calls to workers although other instances are idle.
test.serial('calls of a large fleet are made by the dispatcher', async t => {
	const {connect, advance, owner, direct, remote, events} = createFakeDispatch();
	await connect();
	const outcomes = Promise.all([
		owner.workerClient.start(startCall),
		owner.workerClient.heartbeat(heartbeatCall),
		owner.workerClient.stop(startCall),
		owner.workerClient.throttle({...startCall, percent: 50}),
	]);
	await advance(10);
	const [started, answered, stopped, throttled] = await outcomes;
	t.deepEqual(started._unsafeUnwrap(), {clockMilliseconds: 5, incarnation: 1, rejection: undefined});
	t.deepEqual(answered._unsafeUnwrap().report.running, []);
	t.true(stopped.isOk() && throttled.isOk());
	t.deepEqual(remote.calls, ['start job.0.0.0#1', 'heartbeat 900', 'stop job.0.0.0#1', 'throttle 50']);
	t.deepEqual([direct.calls, events], [[], ['gained d1']]);
});

// Guards against an owner that calls all workers itself in the first seconds of a burst, because the idle machines of a large fleet were in standby.
test.serial('the dispatchers of a large fleet stay connected while most of its machines are in standby', async t => {
	const {connect, advance, register, owner, direct, remote, workerTable, events} = createFakeDispatch();
	await connect();
	for (const name of [...workerTable.keys()].slice(2)) {
		workerTable.delete(name);
	}

	for (let second = 0; second < 4; second += 1) {
		register();
		await advance(1000); // eslint-disable-line no-await-in-loop -- The registrations follow each other.
	}

	const started = owner.workerClient.start(startCall);
	await advance(10);
	t.true(await succeeds(started));
	t.deepEqual([direct.calls, remote.calls, events], [[], ['start job.0.0.0#1'], ['gained d1']]);
});

for (const direction of ['toDispatcher', 'toOwner'] as const) {
	// Guards against runs that are lost or started twice, and leases that expire, because a dispatcher hangs or its link is cut in one direction.
	test.serial(`a connection that is cut ${direction} is given up, and its workers are called directly`, async t => {
		const {connect, advance, owner, direct, cut, events} = createFakeDispatch({answersHeartbeats: false});
		await connect();
		const answered = owner.workerClient.heartbeat(heartbeatCall);
		await advance(10);
		cut[direction] = true;
		const started = owner.workerClient.start(startCall);
		await advance(1000);
		const lost = await started;
		t.is(lost._unsafeUnwrapErr().kind, WorkerCallErrorKind.Unknown);
		t.true(await succeeds(answered));
		t.deepEqual(direct.calls, ['heartbeat 0']);
		t.is(events.length, 2);
		t.true(await succeeds(owner.workerClient.start({...startCall, run: 2})));
		t.deepEqual(direct.calls, ['heartbeat 0', 'start job.0.0.0#2']);
	});
}

// Guards against an owner that uses an unstable dispatcher again and again, which delays the starts on its workers each time.
test.serial('a lost dispatcher is used again later after each loss', async t => {
	const {connect, advance, register, events, restartDispatcher} = createFakeDispatch();
	await connect();
	const measureReuse = async (): Promise<number> => {
		restartDispatcher();
		const {length} = events;
		let milliseconds = 0;
		while (events.length === length && milliseconds < 20_000) {
			register();
			// eslint-disable-next-line no-await-in-loop -- The dispatcher registers every second.
			await advance(1000);
			milliseconds += 1000;
		}

		return milliseconds;
	};

	const delays: readonly number[] = [await measureReuse(), await measureReuse(), await measureReuse(), await measureReuse(), await measureReuse()];
	t.true(delays.every((delay, index) => Math.abs(delay - [1000, 2000, 4000, 8000, 8000][index]!) <= 1000), `reused after ${delays.join(' ')} ms`);
});

// Guards against calls that wait for a process that has ended, when it registers again under its name before the connection is seen to end.
test.serial('a dispatcher that has restarted under its name loses its connection at once', async t => {
	const {connect, advance, owner, direct, register, cut} = createFakeDispatch({answersHeartbeats: false});
	await connect();
	const answered = owner.workerClient.heartbeat(heartbeatCall);
	await advance(10);
	cut.toOwner = true;
	register(2);
	t.true(await succeeds(answered));
	t.deepEqual(direct.calls, ['heartbeat 0']);
});

// Guards against an owner whose process ends, or that waits forever, because a dispatcher sends something else than results.
test.serial('a malformed line of a dispatcher ends its connection', async t => {
	for (const line of ['{', 'null', '{"clock":1}', '{"clock":1,"results":[{"id":1,"response":{}}]}', '{"clock":1,"results":[{"id":999,"error":{"kind":"unknown","message":""}}]}']) {
		const {connect, advance, owner, direct, sendToOwner, events} = createFakeDispatch({answersHeartbeats: false});
		// eslint-disable-next-line no-await-in-loop -- The fake clock is shared.
		await connect();
		const answered = owner.workerClient.heartbeat(heartbeatCall);
		// eslint-disable-next-line no-await-in-loop -- The fake clock is shared.
		await advance(10);
		sendToOwner(line);
		// eslint-disable-next-line no-await-in-loop -- The fake clock is shared.
		t.true(await succeeds(answered), `line ${line}`);
		t.is(direct.calls.length, 1);
		t.is(events.length, 2);
	}
});

// Guards against a previous owner that goes on to start tasks through a dispatcher after another owner has taken over.
test.serial('a previous owner loses its connection and gets no other one', async t => {
	const {connect, advance, owner, register, events, remote, direct, observeEpoch} = createFakeDispatch();
	await connect();
	observeEpoch(8);
	await advance(1);
	t.is(events.length, 2);
	for (let seconds = 0; seconds < 3; seconds += 1) {
		register();
		// eslint-disable-next-line no-await-in-loop -- One second after the other.
		await advance(1000);
	}

	t.true(await succeeds(owner.workerClient.heartbeat(heartbeatCall)));
	t.deepEqual([remote.calls, direct.calls], [[], ['heartbeat 900']]);
	t.false(events.slice(1).some(event => event.startsWith('gained')));
});

// Guards against workers without a caller when the last dispatcher stops registering, as an instance that is stopping does.
test.serial('workers are called directly once no dispatcher is registered', async t => {
	const {connect, advance, owner, direct, remote} = createFakeDispatch();
	await connect();
	await advance(4100);
	t.true(await succeeds(owner.workerClient.start(startCall)));
	t.deepEqual([direct.calls.length, remote.calls.length], [1, 0]);
});

// Guards against starts with an unknown outcome each time an instance is stopped for an upgrade.
test.serial('a dispatcher that is stopping gets no further calls', async t => {
	const {connect, advance, owner, direct, remote, stopDispatcher, events} = createFakeDispatch();
	await connect();
	const started = owner.workerClient.start(startCall);
	await advance(4);
	stopDispatcher();
	await advance(1);
	t.true(await succeeds(owner.workerClient.start({...startCall, run: 2})));
	await advance(10);
	t.true(await succeeds(started));
	t.deepEqual([remote.calls, direct.calls, events], [['start job.0.0.0#1'], ['start job.0.0.0#2'], ['gained d1']]);
});

// Guards against calls of an owner that has ended.
test.serial('an ended owner makes no direct call for an outstanding heartbeat', async t => {
	const {connect, advance, owner, direct} = createFakeDispatch({answersHeartbeats: false});
	await connect();
	const answered = owner.workerClient.heartbeat(heartbeatCall);
	await advance(10);
	owner.end();
	t.false(await succeeds(answered));
	t.deepEqual(direct.calls, []);
});
