import {createConnection} from 'node:net';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {UpstreamServer} from '../src/index.js';
import {startUpstreamControl, startUpstreamServer, UpstreamFault} from '../src/index.js';

const startUpstream = async (t: ExecutionContext): Promise<UpstreamServer> => {
	const upstream = await startUpstreamServer({instance: 'invoices-1', slots: 2});
	t.teardown(async () => upstream.close());
	return upstream;
};

const until = async (condition: () => boolean): Promise<void> => {
	if (!condition()) {
		await nextTurn();
		await until(condition);
	}
};

const send = async (upstream: UpstreamServer, query = '', signal?: AbortSignal): Promise<Response> =>
	fetch(`http://127.0.0.1:${upstream.port}/price${query}`, {
		method: 'POST',
		body: 'rug 7',
		headers: {'x-request-id': 'request-1', 'idempotency-key': 'key-1'},
		signal,
	});

type Seen = {readonly status?: number; readonly requestId?: string | undefined; readonly isWhole?: boolean};

/** Aborts a call that gets no answer although its run has ended. */
const abortAfterRun = async (upstream: UpstreamServer, controller: AbortController): Promise<void> => {
	await until(() => upstream.runLog.records().some(({endedAt}) => endedAt !== undefined));
	await sleep(50);
	controller.abort();
};

const observe = async (upstream: UpstreamServer, mode = UpstreamFault.None): Promise<Seen> => {
	const controller = new AbortController();
	if (mode === UpstreamFault.Hang) {
		void abortAfterRun(upstream, controller);
	}

	try {
		const response = await send(upstream, '', controller.signal);
		const {status, headers} = response;
		const isWhole = await response.text().then(() => true, () => false);
		return {status, requestId: headers.get('x-request-id') ?? undefined, isWhole};
	} catch {
		return {};
	}
};

const whole = {status: 200, requestId: 'request-1', isWhole: true};

const faultCases: ReadonlyArray<{readonly mode: UpstreamFault; readonly seen: Seen; readonly runs: number}> = [
	{mode: UpstreamFault.None, seen: whole, runs: 1},
	{mode: UpstreamFault.Hang, seen: {}, runs: 1},
	{mode: UpstreamFault.Late, seen: whole, runs: 1},
	{mode: UpstreamFault.TruncatedResponse, seen: {...whole, isWhole: false}, runs: 1},
	{mode: UpstreamFault.Refuse, seen: {...whole, status: 503}, runs: 0},
	{mode: UpstreamFault.Fail, seen: {...whole, status: 500}, runs: 1},
	{mode: UpstreamFault.WrongRequestId, seen: {...whole, requestId: 'request-1-other'}, runs: 1},
];

for (const {mode, seen, runs} of faultCases) {
	// Guards against a fault case that passes because the stand-in did not misbehave.
	test(`an upstream with the fault ${mode} misbehaves for one request and counts its runs`, async t => {
		const upstream = await startUpstream(t);
		upstream.setFault({mode, count: 1, delayMilliseconds: 1});
		t.deepEqual(await observe(upstream, mode), seen);
		t.is(upstream.runLog.counts().byIdempotencyKey['key-1'] ?? 0, runs);
		t.deepEqual(await observe(upstream), whole);
		t.is(upstream.runLog.counts().byRequestId['request-1'], runs + 1);
	});
}

// Guards against a mix-up that the stand-in only pretends to make.
test('an upstream can give the answer of the request before, and an answer twice', async t => {
	const upstream = await startUpstream(t);
	await send(upstream, '?label=first');
	upstream.setFault({mode: UpstreamFault.PreviousResponse, count: 1});
	const other = await fetch(`http://127.0.0.1:${upstream.port}/other`, {headers: {'x-request-id': 'request-2'}});
	t.is(other.headers.get('x-request-id'), 'request-1');
	t.like(await other.json(), {requestId: 'request-1', path: '/price'});

	upstream.setFault({mode: UpstreamFault.DuplicateResponse, delayMilliseconds: 1});
	const socket = createConnection(upstream.port, '127.0.0.1').setEncoding('utf8');
	socket.write('GET /twice HTTP/1.1\r\nHost: x\r\nX-Request-Id: request-3\r\n\r\n');
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	await until(() => text.split('"requestId":"request-3"').length === 3);
	socket.destroy();
	t.is(text.split('HTTP/1.1 200 OK').length, 3);
});

// Guards against a limit measured at upstreams that run more than their slots.
test('an upstream runs no more requests at a time than it has slots', async t => {
	const upstream = await startUpstream(t);
	await Promise.all(Array.from({length: 7}, async () => send(upstream, '?run=5&label=team-a')));
	t.is(upstream.runLog.maximumRunning(), 2);
	t.deepEqual(upstream.runLog.records().map(({label}) => label), Array.from({length: 7}, () => 'team-a'));
});

// Guards against a graceful stop of the stand-in that itself cuts requests.
test('a draining upstream finishes what it runs and takes no new connection', async t => {
	const upstream = await startUpstream(t);
	const control = await startUpstreamControl({upstream});
	const running = send(upstream, '?run=50');
	await until(() => upstream.runLog.running() > 0);
	const drained = upstream.drain();
	const response = await running;
	t.is(response.status, 200);
	t.is(response.headers.get('connection'), 'close');
	await drained;
	await t.throwsAsync(async () => send(upstream));
	const runs = await fetch(`http://127.0.0.1:${control.port}/runs`);
	t.deepEqual(await runs.json(), {byIdempotencyKey: {'key-1': 1}, byRequestId: {'request-1': 1}});
	await control.close();
});
