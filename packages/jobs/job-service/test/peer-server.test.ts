import {once} from 'node:events';
import {createConnection} from 'node:net';
import type {ExecutionContext} from 'ava';
import type {HttpServerLimits} from '@turmericbay/http-server';
import {defaultHttpServerLimits} from '@turmericbay/http-server';
import test from 'ava';
import type {Owner} from '../src/owner.js';
import {createPeerServer} from '../src/peer-server.js';

type ServeOptions = {readonly limits?: Partial<HttpServerLimits>; readonly renderMetrics?: () => string};

/** Serves the owner on loopback and returns the URL of the server. */
const serve = async (t: ExecutionContext, owner: Partial<NonNullable<Owner>>, options: ServeOptions = {}): Promise<string> => {
	const server = createPeerServer({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		host: '127.0.0.1', port: 0, getLocalOwner: () => owner as NonNullable<Owner>,
		limits: {...defaultHttpServerLimits, ...options.limits}, onLimit: () => undefined, renderMetrics: options.renderMetrics ?? (() => ''),
		acceptDispatchChannel: () => undefined, onTransferRequested: () => undefined,
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	await once(server, 'listening');
	const address = server.address();
	return `http://127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
};

// Guards against an owner whose process ends because another instance sent a malformed message.
test('a malformed message is rejected, and the next one is handled', async t => {
	const added: string[] = [];
	const owner: Pick<NonNullable<Owner>, 'addJob'> = {
		addJob({id}) {
			added.push(id);
		},
	};
	const url = await serve(t, owner);
	const send = async (body: string): Promise<number> => {
		const response = await fetch(`${url}/jobs?revision=1`, {method: 'POST', body});
		await response.text();
		return response.status;
	};

	t.is(await send('{'), 400);
	t.is(await send('null'), 400);
	t.is(await send('{"id":"a"}'), 400);
	t.is(await send('{"id":"b","steps":[]}'), 200);
	t.deepEqual(added, ['b']);
});

// Guards against figures that never reach the instances, and against figures with each stored job.
test('the response to a stored job carries load figures if they are requested', async t => {
	const timedFigures = {figures: {pools: {}, durations: {a: 5}}, ageMilliseconds: 3};
	const url = await serve(t, {addJob: () => undefined, getLoadFigures: () => timedFigures});
	const send = async (query: string): Promise<unknown> => {
		const response = await fetch(`${url}/jobs?${query}`, {method: 'POST', body: '{"id":"b","steps":[]}'});
		return response.json();
	};

	t.deepEqual(await send('revision=1'), {});
	t.deepEqual(await send('revision=1&figures=1'), timedFigures);
});

// Guards against an owner whose process ends because another instance sent a path that cannot be decoded.
test('a path that cannot be decoded is rejected', async t => {
	const url = await serve(t, {countPending: () => 3});
	const rejected = await fetch(`${url}/queues/%ZZ/pending`);
	t.is(rejected.status, 400);
	await rejected.text();
	const counted = await fetch(`${url}/queues/a%20b/pending`);
	t.deepEqual(await counted.json(), {pending: 3});
});

// Guards against clients that do not read the metrics, of which each has its own copy in the memory of the process.
test('unread metrics take limited memory, and other requests are served', async t => {
	const large = 'x'.repeat(33_554_432);
	const url = await serve(t, {countPending: () => 3}, {limits: {bodyBytes: 40_000_000}, renderMetrics: () => large});
	const reader = createConnection(Number(new URL(url).port), '127.0.0.1');
	t.teardown(() => {
		reader.destroy();
	});
	reader.write('GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n');
	await once(reader, 'readable');
	reader.pause();
	const refused = await fetch(`${url}/metrics`);
	t.is(refused.status, 503);
	await refused.text();
	const counted = await fetch(`${url}/queues/a/pending`);
	t.deepEqual(await counted.json(), {pending: 3});
});
