import test from 'ava';
import {InstanceState, ProblemCode, Settlement} from '@turmericbay/types';
import {
	respondOk, createHarness, createRawUpstream, getHeader, createRecord, send, waitUntil,
} from './fixtures.js';

const claimedRequest = {method: 'POST', headers: {'idempotency-key': 'key'}};

// Guards against new work for a leaving upstream, and against idle connections that keep it from stopping.
test('a leaving upstream gets no new work and its idle connections close', async t => {
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

// Guards against cutting requests that run at an upstream when it begins to leave.
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

// Guards against sending on a decision that a pause of the process has made stale.
const pauses = [
	{name: 'the confirmation has become too old', pause: {age: 5001, milliseconds: 0}, code: ProblemCode.ConfigurationUnconfirmed},
	{name: 'the deadline has passed', pause: {age: 0, milliseconds: 10_001}, code: ProblemCode.DeadlineExceeded},
];

for (const {name, pause, code} of pauses) {
	test(`nothing is sent if ${name} between decision and sending`, async t => {
		const upstream = await createRawUpstream(t, respondOk);
		const {gateway, port, state} = await createHarness(t, {
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
test('a refused claim is answered as it is', async t => {
	const upstream = await createRawUpstream(t, respondOk);
	const {gateway, port, state} = await createHarness(t, {
		instances: [createRecord(upstream.port)], claim: {type: 'refused', problem: {code: ProblemCode.AlreadyRun, detail: 'It has run.'}},
	});
	const response = await send(port, claimedRequest);
	t.is(response.status, 409);
	t.like(JSON.parse(response.body), {code: ProblemCode.AlreadyRun, outcome: 'run'});
	t.deepEqual(state.settlements, []);
	t.is(upstream.received.length, 0);
});

// Guards against a unit that stays taken after the process that used it is gone.
test('a lost run gives its unit back once its upstream is proven gone', async t => {
	const upstream = await createRawUpstream(t, socket => {
		socket.resetAndDestroy();
	});
	const {gateway, port, state, setInstances} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	await send(port, claimedRequest);
	t.is(state.units, 3);
	state.isProvenGone = true;
	setInstances([]);
	t.is(state.units, 4);
});

// Guards against headers that belong to one hop passing through, and against a missing deadline at the upstream.
test('only end-to-end headers pass, with the remaining time', async t => {
	const upstream = await createRawUpstream(t, respondOk);
	const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)]});
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

// Guards against a planned stop that cuts requests.
test('draining asks callers to close and finishes what runs', async t => {
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

// Guards against callers that keep a connection until it is cut.
test('while draining, kept-alive connections end with their next answer', async t => {
	const upstream = await createRawUpstream(t, respondOk);
	const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	const before = await send(port, {headers: {connection: 'keep-alive'}});
	gateway.beginDrain();
	const after = await send(port, {headers: {connection: 'keep-alive'}});
	t.deepEqual([before, after].map(({headers}) => headers.connection), ['keep-alive', 'close']);
});

// Guards against queued requests that are cut instead of refused when the bound of a planned stop is reached.
test('at the bound of a planned stop queued requests are refused', async t => {
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
