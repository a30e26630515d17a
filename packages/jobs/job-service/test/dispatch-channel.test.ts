import {once} from 'node:events';
import type {ExecutionContext} from 'ava';
import {defaultHttpServerLimits} from '@turmericbay/http-server';
import test from 'ava';
import {createLineSplitter, openHttpDispatchChannel} from '../src/dispatch-channel.js';
import {createDispatchServer} from '../src/dispatch-server.js';
import type {Owner} from '../src/owner.js';
import {createOwnerDispatch} from '../src/owner-dispatch.js';
import {createPeerServer} from '../src/peer-server.js';
import {
	createFakeWorkerClient, heartbeatCall, startCall, succeeds,
} from './support/fake-dispatch.js';

const clock = {now: () => performance.now(), wallNow: () => Date.now()};
const unused = (): undefined => undefined;

/** A promise of a text, with the function that resolves it. */
const createSignal = () => {
	let resolve: (text: string) => void = unused;
	const promise = new Promise<string>(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve};
};

/** Serves an instance on loopback; returns its address. */
const serve = async (t: ExecutionContext, options: Pick<Parameters<typeof createPeerServer>[0], 'getLocalOwner' | 'acceptDispatchChannel'>): Promise<string> => {
	const server = createPeerServer({
		host: '127.0.0.1', port: 0, limits: defaultHttpServerLimits, onLimit: () => undefined, renderMetrics: () => '', onTransferRequested: unused, ...options,
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	await once(server, 'listening');
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
};

// Guards against a path that works only with the fakes: registration, connection, calls and the end of a connection over HTTP between two servers.
test('worker calls go through a dispatcher over HTTP, and directly once it has ended', async t => {
	const remote = createFakeWorkerClient();
	const direct = createFakeWorkerClient();
	const gained = createSignal();
	const lost = createSignal();
	const dispatchServer = createDispatchServer({workerClient: remote.client, clock, onConnectionClosed: unused});
	const owner = createOwnerDispatch({
		epoch: 7, instance: 'owner', workerClient: direct.client, openDispatchChannel: openHttpDispatchChannel, clock,
		workers: new Map(Array.from({length: 65}, (_, index) => [`w${index + 1}`, {registration: {zone: 'north'}}])),
		log: {
			dispatcherGained: gained.resolve, dispatcherLost: lost.resolve, workerCallsCounted: unused, dispatchersCounted: unused,
		},
	});
	t.teardown(() => {
		owner.end();
		dispatchServer.close();
	});
	const ownerMembers: Partial<NonNullable<Owner>> = {registerDispatcher: owner.register};
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the member that is used.
	const ownerAddress = await serve(t, {getLocalOwner: () => ownerMembers as NonNullable<Owner>, acceptDispatchChannel: unused});
	const dispatcherAddress = await serve(t, {getLocalOwner: unused, acceptDispatchChannel: dispatchServer.accept});
	const register = async (registration: unknown): Promise<number> => {
		const response = await fetch(`http://${ownerAddress}/dispatchers`, {method: 'POST', body: JSON.stringify(registration)});
		await response.text();
		return response.status;
	};

	t.is(await register({name: 'd1'}), 400);
	t.is(await register({
		name: 'd1', address: dispatcherAddress, zone: 'north', cores: 1, startedAt: 1,
	}), 200);
	t.is(await gained.promise, 'd1');
	const [started, answered] = await Promise.all([owner.workerClient.start(startCall), owner.workerClient.heartbeat(heartbeatCall)]);
	t.true(started.isOk() && answered.isOk());
	t.deepEqual([remote.calls.length, direct.calls.length], [2, 0]);
	dispatchServer.close();
	await lost.promise;
	t.true(await succeeds(owner.workerClient.start({...startCall, run: 2})));
	t.deepEqual([remote.calls.length, direct.calls.length], [2, 1]);
});

// Guards against an owner that waits for an instance that refuses it.
test('a refused channel is reported as closed', async t => {
	const address = await serve(t, {getLocalOwner: unused, acceptDispatchChannel: unused});
	const closed = createSignal();
	openHttpDispatchChannel({
		address, epoch: 7, onLine: unused, onClosed: closed.resolve,
	});
	t.is(await closed.promise, 'status 421');
});

// Guards against lines that are cut where the network cuts the stream.
test('lines are joined from chunks', t => {
	const lines: string[] = [];
	const split = createLineSplitter(line => {
		lines.push(line);
	});
	t.true(split('{"a"'));
	t.true(split(':1}\n{"b":2}\n{'));
	t.deepEqual(lines, ['{"a":1}', '{"b":2}']);
	t.false(split('x'.repeat(9_000_000)));
});
