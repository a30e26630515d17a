import test from 'ava';
import {InstanceState, ProblemCode, Settlement} from '@turmericbay/types';
import {
	createHarness, createRawUpstream, createRecord, getHeader, respondOk, send, waitUntil,
} from './fixtures.js';

const claimedRequest = {method: 'POST', headers: {'idempotency-key': 'key'}};

// Guards against new requests to a leaving upstream, and against idle connections that delay its stop.
test('a leaving upstream gets no new requests and its idle connections are closed', async t => {
	const [leaving, staying] = await Promise.all([createRawUpstream(t, respondOk), createRawUpstream(t, respondOk)]);
	const {port, setInstances} = await createHarness(t, {instances: [createRecord(leaving.port)], settings: {upstreamKeepAliveMilliseconds: 600_000}});
	const before = await send(port);
	t.is(before.status, 200);
	setInstances([createRecord(leaving.port, {state: InstanceState.Leaving}), createRecord(staying.port)]);
	await leaving.closed;
	const after = await send(port);
	t.is(after.status, 200);
	t.is(leaving.received.length, 1);
	t.is(staying.received.length, 1);
});

// Guards against aborting the requests in flight at an upstream that begins to leave.
test('a request in flight at a leaving upstream finishes', async t => {
	const waiting: Array<() => void> = [];
	const upstream = await createRawUpstream(t, (socket, request) => {
		waiting.push(() => {
			respondOk(socket, request);
		});
	});
	const {gateway, port, setInstances} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	const response = send(port);
	await waitUntil(() => waiting.length === 1);
	setInstances([]);
	t.deepEqual(gateway.status().upstreams, [{instance: `upstream-${upstream.port}`, inFlight: 1, isEjected: false}]);
	waiting[0]!();
	const {status} = await response;
	t.is(status, 200);
	t.deepEqual(gateway.status().upstreams, []);
});

// Guards against sending after a pause of the process that made the authorization obsolete.
const pauses = [
	{name: 'the confirmation has become too old', pause: {age: 5001, milliseconds: 0}, code: ProblemCode.ConfigurationUnconfirmed},
	{name: 'the deadline has passed', pause: {age: 0, milliseconds: 10_001}, code: ProblemCode.DeadlineExceeded},
];

for (const {name, pause, code} of pauses) {
	test(`nothing is sent if ${name} between authorization and sending`, async t => {
		const upstream = await createRawUpstream(t, respondOk);
		const {port, state} = await createHarness(t, {
			instances: [createRecord(upstream.port)],
			duringClaim(clock, mutable) {
				clock.advance(pause.milliseconds);
				mutable.confirmationAge = pause.age;
			},
		});
		const response = await send(port, claimedRequest);
		t.like(JSON.parse(response.body), {code, outcome: 'not-run'});
		t.is(upstream.received.length, 0);
		t.deepEqual(state.settlements, [Settlement.NotRun]);
		t.is(state.units, 4);
	});
}

// Guards against sending a request whose claim was refused.
test('the problem of a refused claim is returned to the caller', async t => {
	const upstream = await createRawUpstream(t, respondOk);
	const {port, state} = await createHarness(t, {
		instances: [createRecord(upstream.port)], claim: {type: 'refused', problem: {code: ProblemCode.AlreadyRun, detail: 'It has run.'}},
	});
	const response = await send(port, claimedRequest);
	t.is(response.status, 409);
	t.like(JSON.parse(response.body), {code: ProblemCode.AlreadyRun, outcome: 'run'});
	t.deepEqual(state.settlements, []);
	t.is(upstream.received.length, 0);
});

// Guards against a unit that stays in use after the upstream process has terminated.
test('the unit of an abandoned run is released once its upstream process is known to have terminated', async t => {
	const upstream = await createRawUpstream(t, socket => {
		socket.resetAndDestroy();
	});
	const {port, state, setInstances} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	await send(port, claimedRequest);
	t.is(state.units, 3);
	state.isProvenGone = true;
	setInstances([]);
	t.is(state.units, 4);
});

// Guards against forwarding hop-by-hop headers, and against an upstream that does not learn the deadline.
test('only end-to-end headers are forwarded, with the remaining time', async t => {
	const upstream = await createRawUpstream(t, respondOk);
	const {port} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	const response = await send(port, {
		headers: {
			connection: 'X-Hop', 'x-hop': '1', te: 'trailers', 'x-kept': '2', 'x-request-id': 'mine', 'x-request-timeout-ms': '700',
		},
	});
	t.is(response.headers['x-request-id'], 'mine');
	const [request = ''] = upstream.received;
	t.deepEqual(['x-hop', 'te', 'authorization', 'x-kept', 'x-request-timeout-ms'].map(name => getHeader(request, name)), [undefined, undefined, undefined, '2', '700']);
	t.not(getHeader(request, 'x-request-id'), 'mine');
});

// Guards against a planned stop that aborts requests.
test('draining closes connections after their responses and finishes running and queued requests', async t => {
	const waiting: Array<() => void> = [];
	const upstream = await createRawUpstream(t, (socket, request) => {
		waiting.push(() => {
			respondOk(socket, request);
		});
	});
	const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)], units: 1, settings: {drainTimeoutMilliseconds: 60_000}});
	const [running, queued] = [send(port), send(port)];
	await waitUntil(() => waiting.length === 1 && gateway.status().pools[0]!.queued === 1);
	gateway.beginDrain();
	const closed = gateway.close();
	await t.throwsAsync(send(port), {code: 'ECONNREFUSED'});
	waiting[0]!();
	await waitUntil(() => waiting.length === 2);
	waiting[1]!();
	for (const response of await Promise.all([running, queued])) {
		t.is(response.status, 200);
		t.is(response.headers.connection, 'close');
	}

	await closed;
});

// Guards against callers that reuse a connection until the gateway destroys it.
test('while draining, keep-alive connections close after their next response', async t => {
	const upstream = await createRawUpstream(t, respondOk);
	const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	const before = await send(port, {headers: {connection: 'keep-alive'}});
	gateway.beginDrain();
	const after = await send(port, {headers: {connection: 'keep-alive'}});
	t.deepEqual([before, after].map(({headers}) => headers.connection), ['keep-alive', 'close']);
});

// Guards against queued requests that are aborted instead of refused at the drain timeout.
test('queued requests are refused at the drain timeout', async t => {
	const upstream = await createRawUpstream(t, () => undefined);
	const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)], units: 1});
	const running = t.throwsAsync(send(port));
	await waitUntil(() => upstream.received.length === 1);
	const queued = send(port);
	await waitUntil(() => gateway.status().pools[0]!.queued === 1);
	await gateway.close();
	await running;
	const response = await queued;
	t.like(JSON.parse(response.body), {code: ProblemCode.Draining, outcome: 'not-run'});
});
