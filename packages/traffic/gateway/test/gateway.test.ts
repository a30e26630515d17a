import test from 'ava';
import {
	createHarness, createRawUpstream, createRecord, getHeader, key, respondOk, send,
} from './fixtures.js';

// Guards against lost responses, and against forwarding the team's key to an upstream.
test('forwards a request to an upstream and returns its whole response', async t => {
	const upstream = await createRawUpstream(t, respondOk);
	const {gateway, port, state} = await createHarness(t, {instances: [createRecord(upstream.port)]});
	const response = await send(port, {path: '/queues/quotes/price?rug=7', headers: {traceparent: '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'}});
	t.is(response.status, 200);
	t.is(response.body, 'fine');
	const [request = ''] = upstream.received;
	t.true(request.startsWith('GET /price?rug=7 HTTP/1.1'));
	t.false(request.includes(key));
	t.regex(getHeader(request, 'traceparent') ?? '', /^00-0af7651916cd43dd8448eb211c80319c-(?!b7ad6b7169203331)[\da-f]{16}-01$/v);
	t.is(state.units, 4);
	t.deepEqual(gateway.status().pools, [{pool: 'pricing', queued: 0, inFlight: 0}]);
});

// Guards against callers without UUIDv7 being unable to send requests that need an idempotency key.
test('POST /tickets returns an idempotency key', async t => {
	const {port} = await createHarness(t, {instances: []});
	const response = await send(port, {method: 'POST', path: '/tickets'});
	t.is(response.status, 201);
	t.deepEqual(JSON.parse(response.body), {idempotencyKey: 'ticket-1'});
});
