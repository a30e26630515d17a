import type {Socket} from 'node:net';
import test from 'ava';
import type {ExecutionContext} from 'ava';
import {ProblemCode, Settlement} from '@turmericbay/types';
import {
	createDocument, createHarness, createRawUpstream, createRecord, getHeader, respondOk, send,
} from './fixtures.js';

type Behaviour = (socket: Socket, request: string, count: number) => void;

const createWriter = (text: string): Behaviour => (socket, request) => {
	socket.end(text.replace('{id}', getHeader(request, 'x-request-id') ?? ''));
};

const refusalResponse = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n';
const behaviours = {
	truncatedResponse: createWriter('HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort'),
	truncatedChunks: createWriter('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n'),
	unframedResponse: createWriter('HTTP/1.1 200 OK\r\n\r\nno length'),
	mismatchedResponse: createWriter('HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-Id: another\r\n\r\nfine'),
	malformedResponse: createWriter('nonsense\r\n\r\n'),
	resetAfterSend(socket: Socket) {
		socket.resetAndDestroy();
	},
	refuse: createWriter(refusalResponse),
	neverRespond() {
		// The caller's deadline ends the request.
	},
	resetOnce(socket: Socket, request: string, count: number) {
		if (count === 1) {
			socket.resetAndDestroy();
		} else {
			respondOk(socket, request);
		}
	},
	refuseOnce(socket: Socket, request: string, count: number) {
		if (count === 1) {
			socket.write(refusalResponse);
		} else {
			respondOk(socket, request);
		}
	},
} satisfies Record<string, Behaviour>;

/** `freeUnits` is the number of units that are free afterwards, of 4. */
type Expected = readonly [statusOrCode: number | ProblemCode, outcome: 'unknown' | 'not-run' | undefined, settlement: Settlement | undefined, received: number, freeUnits: number];
type Row = readonly [name: string, behaviour: Behaviour, expected: Expected, pool?: Record<string, unknown>];

const refusing = {notRunStatuses: [503]};
const {Unknown: unknown, NotRun: notRun, Run: run} = Settlement;
const {AnswerIncomplete: incomplete, UpstreamFailed: failed, UpstreamTimeout: timeout, NoUpstream: noUpstream} = ProblemCode;

/** GET requests may be repeated, and the retry budget allows one retry; POST requests reach an upstream at most once. */
const rows: readonly Row[] = [
	['POST: truncated response', behaviours.truncatedResponse, [incomplete, 'unknown', unknown, 1, 3]],
	['POST: truncated chunked response', behaviours.truncatedChunks, [incomplete, 'unknown', unknown, 1, 3]],
	['GET: truncated response', behaviours.truncatedResponse, [incomplete, 'unknown', undefined, 2, 2]],
	['POST: response without a length', behaviours.unframedResponse, [incomplete, 'unknown', unknown, 1, 3]],
	['POST: response to another request', behaviours.mismatchedResponse, [failed, 'unknown', unknown, 1, 3]],
	['POST: malformed response', behaviours.malformedResponse, [failed, 'unknown', unknown, 1, 3]],
	['POST: no response before the deadline', behaviours.neverRespond, [timeout, 'unknown', unknown, 1, 3]],
	['POST: reset after send', behaviours.resetAfterSend, [failed, 'unknown', unknown, 1, 3]],
	['GET: one reset', behaviours.resetOnce, [200, undefined, undefined, 2, 3]],
	['POST: refusal with a status in notRunStatuses', behaviours.refuse, [noUpstream, 'not-run', notRun, 1, 4], refusing],
	['GET: one refusal with a status in notRunStatuses', behaviours.refuseOnce, [200, undefined, undefined, 2, 4], refusing],
	['POST: refusal with another status', behaviours.refuse, [503, undefined, run, 1, 4]],
];

// Each row guards against a wrong outcome, a second send of a request that must not be repeated, an unsettled claim, and units released while the upstream may still be running the request.
for (const [name, behaviour, [expected, outcome, settlement, received, freeUnits], pool] of rows) {
	test(`${name}: ${expected}, requests at the upstream: ${received}`, async t => {
		let count = 0;
		const upstream = await createRawUpstream(t, (socket, request) => {
			behaviour(socket, request, ++count);
		});
		const {port, state} = await createHarness(t, {
			document: createDocument({pool}), instances: [createRecord(upstream.port)],
		});
		const response = await send(port, {
			method: name.split(':', 1)[0],
			headers: {'idempotency-key': 'key', ...(behaviour === behaviours.neverRespond && {'x-request-timeout-ms': '1000'})},
			body: name.startsWith('POST') ? 'rug' : undefined,
		});
		if (typeof expected === 'number') {
			t.is(response.status, expected);
		} else {
			t.like(JSON.parse(response.body), {code: expected, outcome});
		}

		t.deepEqual(state.settlements, settlement === undefined ? [] : [settlement]);
		t.is(upstream.received.length, received);
		t.is(state.units, freeUnits);
		if (freeUnits < 4) {
			await upstream.closed;
		}
	});
}

const createClosedPort = async (t: ExecutionContext): Promise<number> => {
	const upstream = await createRawUpstream(t, respondOk);
	await upstream.close();
	return upstream.port;
};

// Guards against reporting a request as run, or leaking its unit, when no connection was made.
test('connection refused by all upstreams: the outcome is not-run', async t => {
	const {port, state} = await createHarness(t, {instances: [createRecord(await createClosedPort(t))]});
	const response = await send(port, {method: 'POST', headers: {'idempotency-key': 'key'}});
	t.like(JSON.parse(response.body), {code: ProblemCode.NoUpstream, outcome: 'not-run'});
	t.is(response.headers['retry-after'], '1');
	t.deepEqual(state.settlements, [notRun]);
	t.is(state.units, 4);
});

// Guards against failing a request that another upstream can accept under the same claim.
test('connection refused by one upstream: another one gets the request once', async t => {
	const upstream = await createRawUpstream(t, respondOk);
	const {port, state} = await createHarness(t, {instances: [createRecord(await createClosedPort(t)), createRecord(upstream.port, {zone: 'b'})]});
	const response = await send(port, {method: 'POST', headers: {'idempotency-key': 'key'}});
	t.is(response.status, 200);
	t.is(state.claims, 1);
	t.deepEqual(state.settlements, [run]);
	t.is(upstream.received.length, 1);
});

// Guards against reporting `not-run` when a retry is refused but the first attempt may have run.
test('a refused retry after a lost response keeps the unknown outcome', async t => {
	const callbacks: {onRequest?: () => void} = {};
	const upstream = await createRawUpstream(t, socket => {
		callbacks.onRequest?.();
		socket.resetAndDestroy();
	});
	const {port, setInstances} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	callbacks.onRequest = () => {
		setInstances([]);
	};

	const response = await send(port, {headers: {'x-request-timeout-ms': '500'}});
	t.like(JSON.parse(response.body), {code: ProblemCode.UpstreamFailed, outcome: 'unknown'});
});

// Guards against a truncated response that looks complete.
test('long responses are streamed, and a truncated one destroys the connection to the caller', async t => {
	const size = 3_000_000;
	const upstream = await createRawUpstream(t, (socket, request) => {
		if (request.includes('/whole')) {
			respondOk(socket, request, 'x'.repeat(size));
		} else {
			socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`);
		}
	});
	const {port} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	const response = await send(port, {path: '/queues/quotes/whole'});
	t.is(response.body.length, size);
	await t.throwsAsync(send(port, {path: '/queues/quotes/cut'}));
});
