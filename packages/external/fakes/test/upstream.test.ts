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

const waitUntil = async (condition: () => boolean): Promise<void> => {
	if (!condition()) {
		await nextTurn();
		await waitUntil(condition);
	}
};

const send = async (upstream: UpstreamServer, query = '', signal?: AbortSignal): Promise<Response> =>
	fetch(`http://127.0.0.1:${upstream.port}/price${query}`, {
		method: 'POST',
		body: 'rug 7',
		headers: {'x-request-id': 'request-1', 'idempotency-key': 'key-1'},
		signal,
	});

type ObservedResponse = {readonly status?: number; readonly requestId?: string | undefined; readonly isComplete?: boolean};

/** Aborts a call that gets no response although its run has ended. */
const abortAfterRun = async (upstream: UpstreamServer, controller: AbortController): Promise<void> => {
	await waitUntil(() => upstream.runLog.records().some(({endedAt}) => endedAt !== undefined));
	// A response would arrive within this time.
	await sleep(50);
	controller.abort();
};

const observe = async (upstream: UpstreamServer, mode = UpstreamFault.None): Promise<ObservedResponse> => {
	const controller = new AbortController();
	if (mode === UpstreamFault.Hang) {
		void abortAfterRun(upstream, controller);
	}

	try {
		const response = await send(upstream, '', controller.signal);
		const {status, headers} = response;
		const isComplete = await response.text().then(() => true, () => false);
		return {status, requestId: headers.get('x-request-id') ?? undefined, isComplete};
	} catch {
		return {};
	}
};

const completeResponse = {status: 200, requestId: 'request-1', isComplete: true};

const faultCases: ReadonlyArray<{readonly mode: UpstreamFault; readonly expected: ObservedResponse; readonly runs: number}> = [
	{mode: UpstreamFault.None, expected: completeResponse, runs: 1},
	{mode: UpstreamFault.Hang, expected: {}, runs: 1},
	{mode: UpstreamFault.Late, expected: completeResponse, runs: 1},
	{mode: UpstreamFault.TruncatedResponse, expected: {...completeResponse, isComplete: false}, runs: 1},
	{mode: UpstreamFault.Refuse, expected: {...completeResponse, status: 503}, runs: 0},
	{mode: UpstreamFault.Fail, expected: {...completeResponse, status: 500}, runs: 1},
	{mode: UpstreamFault.WrongRequestId, expected: {...completeResponse, requestId: 'request-1-other'}, runs: 1},
];

for (const {mode, expected, runs} of faultCases) {
	// Guards against fault tests that pass because the fake upstream did not inject the fault.
	test(`the fault ${mode} affects only one request, which runs ${runs} times`, async t => {
		const upstream = await startUpstream(t);
		upstream.setFault({mode, count: 1, delayMilliseconds: 1});
		t.deepEqual(await observe(upstream, mode), expected);
		t.is(upstream.runLog.counts().byIdempotencyKey['key-1'] ?? 0, runs);
		t.deepEqual(await observe(upstream), completeResponse);
		t.is(upstream.runLog.counts().byRequestId['request-1'], runs + 1);
	});
}

// Guards against fault tests of mixed-up responses that pass because the fake upstream did not mix them up.
test('an upstream can send the response of the previous request, and a response twice', async t => {
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
	await waitUntil(() => text.split('"requestId":"request-3"').length === 3);
	socket.destroy();
	t.is(text.split('HTTP/1.1 200 OK').length, 3);
});

// Guards against limits that are measured at upstreams that run more requests than they have slots.
test('an upstream runs no more requests at a time than it has slots', async t => {
	const upstream = await startUpstream(t);
	await Promise.all(Array.from({length: 7}, async () => send(upstream, '?run=5&label=team-a')));
	t.is(upstream.runLog.maximumRunning(), 2);
	t.deepEqual(upstream.runLog.records().map(({label}) => label), Array.from({length: 7}, () => 'team-a'));
});

// Guards against a graceful shutdown of the fake upstream that aborts running requests.
test('a draining upstream finishes its running requests and accepts no new connection', async t => {
	const upstream = await startUpstream(t);
	const control = await startUpstreamControl({upstream});
	const running = send(upstream, '?run=50');
	await waitUntil(() => upstream.runLog.running() > 0);
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
