import test from 'ava';
import {ProblemCode} from '@turmericbay/types';
import {
	createHarness, createRawUpstream, createRecord, key, respondOk, send, sendRaw, waitUntil,
} from './fixtures.js';

const head = `GET /queues/quotes/price HTTP/1.1\r\nHost: bay\r\nAuthorization: Bearer ${key}\r\n`;
const post = head.replace('GET', 'POST').replace('\r\nHost', '\r\nIdempotency-Key: key\r\nHost');
const settings = {maximumHeaderBytes: 2048, maximumBodyBytes: 1000, timeoutCheckIntervalMilliseconds: 10};
const shortTimeouts = {...settings, headersTimeoutMilliseconds: 40, requestTimeoutMilliseconds: 60};
const closeHeader = 'Connection: close\r\n';

const rows: ReadonlyArray<[string, string, number, ProblemCode]> = [
	['malformed request line', 'nonsense\r\n\r\n', 400, ProblemCode.MalformedRequest],
	['no host', `GET /queues/quotes/ HTTP/1.1\r\n${closeHeader}\r\n`, 400, ProblemCode.MalformedRequest],
	['two lengths', `${post}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n`, 400, ProblemCode.MalformedRequest],
	['malformed chunk', `${post}Transfer-Encoding: chunked\r\n\r\nxyz\r\n`, 400, ProblemCode.MalformedRequest],
	['malformed timeout', `${head}X-Request-Timeout-Ms: soon\r\n${closeHeader}\r\n`, 400, ProblemCode.MalformedRequest],
	['oversized headers', `${head}X-Long: ${'x'.repeat(3000)}\r\n\r\n`, 431, ProblemCode.HeadersTooLarge],
	['declared oversized body', `${post}Content-Length: 1001\r\n\r\n${'x'.repeat(1001)}`, 413, ProblemCode.BodyTooLarge],
	['endless body', `${post}Transfer-Encoding: chunked\r\n\r\n2000\r\n${'x'.repeat(5000)}`, 413, ProblemCode.BodyTooLarge],
	['slow headers', head, 408, ProblemCode.RequestTimeout],
	['slow body', `${post}Content-Length: 10\r\n\r\nhalf`, 408, ProblemCode.RequestTimeout],
	['missing idempotency key', `${head.replace('GET', 'POST')}${closeHeader}Content-Length: 0\r\n\r\n`, 400, ProblemCode.IdempotencyKeyMissing],
	['missing team key', `GET /queues/quotes/ HTTP/1.1\r\nHost: bay\r\n${closeHeader}\r\n`, 401, ProblemCode.KeyMissing],
	['wrong team key', `${head.replace(key, 'tbk_wrong')}${closeHeader}\r\n`, 401, ProblemCode.KeyRejected],
	['unknown queue', `${head.replace('quotes', 'absent')}${closeHeader}\r\n`, 404, ProblemCode.QueueUnknown],
	['path outside the queues', `${head.replace('/queues', '/other')}${closeHeader}\r\n`, 404, ProblemCode.QueueUnknown],
];

// Each row guards against a response without problem details, more than one response, and forwarding an invalid request.
for (const [name, bytes, status, code] of rows) {
	test(`an invalid request gets one problem response: ${name}`, async t => {
		const upstream = await createRawUpstream(t, respondOk);
		const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)], settings: name.startsWith('slow') ? shortTimeouts : settings});
		const response = await sendRaw(port, bytes);
		const [responseHead = '', body = ''] = response.split('\r\n\r\n');
		t.is(responseHead.slice(0, 12), `HTTP/1.1 ${status}`);
		t.true(responseHead.toLowerCase().includes('application/problem+json'));
		t.like(JSON.parse(body), {code, outcome: 'not-run'});
		t.is(upstream.received.length, 0);
	});
}

// Guards against an error response that the caller would take as the response to its pending request.
test('malformed bytes after a pending request close the connection without a response', async t => {
	const upstream = await createRawUpstream(t, () => undefined);
	const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)], settings});
	t.is(await sendRaw(port, `${head}\r\n`, 'garbage\r\n\r\n'), '');
});

// Guards against running requests of disconnected callers, and against their entries staying in the queue.
test('a request whose caller disconnects leaves the queue', async t => {
	const waiting: Array<() => void> = [];
	const upstream = await createRawUpstream(t, (socket, request) => {
		waiting.push(() => {
			respondOk(socket, request);
		});
	});
	const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)], units: 1});
	const queued = (): number => gateway.status().pools[0]?.queued ?? 0;
	const first = send(port);
	await waitUntil(() => waiting.length === 1);
	const disconnect = new AbortController();
	const second = t.throwsAsync(send(port, {signal: disconnect.signal}));
	await waitUntil(() => queued() === 1);
	t.like(gateway.status().teams[0], {team: 'rugs', running: 1, queued: 1});
	disconnect.abort();
	await second;
	await waitUntil(() => queued() === 0);
	waiting[0]!();
	const response = await first;
	t.is(response.status, 200);
	t.is(upstream.received.length, 1);
});

// Guards against exceeding a team's limit, and against the wrong problem code when the deadline passes.
test('a request of a team at its limit waits and is then refused with TEAM_AT_LIMIT', async t => {
	const upstream = await createRawUpstream(t, () => undefined);
	const {gateway, port} = await createHarness(t, {instances: [createRecord(upstream.port)], units: 1});
	const first = t.throwsAsync(send(port));
	await waitUntil(() => upstream.received.length === 1);
	const response = await send(port, {headers: {'x-request-timeout-ms': '30'}});
	t.is(response.status, 429);
	t.like(JSON.parse(response.body), {code: ProblemCode.TeamAtLimit, outcome: 'not-run'});
	await gateway.close();
	await first;
});

// Guards against reporting `not-run` while an earlier attempt with the same key may be running through another entry instance.
test('a refusal before the claim is decided reports an unknown outcome', async t => {
	const {port, state} = await createHarness(t, {instances: []});
	const headers = {'x-request-timeout-ms': '30', 'idempotency-key': '0193a2b4-0000-7000-8000-000000000001'};
	state.confirmationAge = 6000;
	const unconfirmed = await send(port, {method: 'POST', body: 'rug 7', headers});
	t.like(JSON.parse(unconfirmed.body), {code: ProblemCode.ConfigurationUnconfirmed, outcome: 'unknown'});
	state.confirmationAge = 0;
	state.units = 0;
	const limited = await send(port, {method: 'POST', body: 'rug 7', headers});
	t.like(JSON.parse(limited.body), {outcome: 'unknown'});
	t.is(state.claims, 0);
	const withoutKey = await send(port, {headers: {'x-request-timeout-ms': '30'}});
	t.like(JSON.parse(withoutKey.body), {outcome: 'not-run'});
});
