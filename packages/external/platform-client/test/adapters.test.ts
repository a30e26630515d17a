import type {RequestListener} from 'node:http';
import {createServer} from 'node:http';
import {once} from 'node:events';
import type {StoredEntry} from '@turmericbay/types';
import {
	createManualClock, InstanceRole, InstanceState, StoreErrorKind,
} from '@turmericbay/types';
import {
	createFaultInjector, createInstanceFleet, createKeyValueEngine, createMemoryInstanceList, createMemoryStore, startPlatformServer,
} from '@turmericbay/fakes';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {
	createCountingStore, createEtcdKeyValueStore, createHttpInstanceControl, createServiceDiscoveryInstanceList, StoreCallKind,
} from '../src/index.js';

const record = {
	instance: 'invoices-1', incarnation: 'first', address: '127.0.0.1:9000', role: InstanceRole.Upstream, pool: 'invoices', zone: 'zone-a', rack: 'rack-1', state: InstanceState.Live,
};

const startRawServer = async (t: ExecutionContext, listener: RequestListener): Promise<string> => {
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const address = server.address();
	return `http://127.0.0.1:${typeof address === 'object' ? address?.port : ''}`;
};

const clientSettings = {zone: 'zone-a', instance: 'entry-1', callTimeoutMilliseconds: 2000};

const failureResponses = [
	{
		name: 'text that is not JSON', status: 200, text: '<html>', kind: StoreErrorKind.Malformed,
	},
	{
		name: 'JSON that does not match the schema', status: 200, text: '{"kvs":[{"key":5}]}', kind: StoreErrorKind.Malformed,
	},
	{
		name: 'a revision beyond exact integers', status: 200, text: '{"header":{"revision":"9007199254740993"}}', kind: StoreErrorKind.Malformed,
	},
	{
		name: 'an error page of an intermediary', status: 404, text: 'not found', kind: StoreErrorKind.Malformed,
	},
	{
		name: 'a timeout inside the service', status: 503, text: '{"code":14,"message":"etcdserver: request timed out"}', kind: StoreErrorKind.Unknown,
	},
	{
		name: 'a rejection before the write', status: 429, text: '{"code":8,"message":"etcdserver: too many requests"}', kind: StoreErrorKind.NotApplied,
	},
	{
		name: 'a response above the maximum size', status: 200, text: 'x'.repeat(5000), kind: StoreErrorKind.Malformed,
	},
];

for (const {name, status, text, kind} of failureResponses) {
	// Guards against an exception, or a wrong outcome of the write, after such a response.
	test(`a write answered with ${name} is ${kind}`, async t => {
		const origin = await startRawServer(t, (_request, response) => {
			response.writeHead(status).end(text);
		});
		const store = createEtcdKeyValueStore({...clientSettings, origin, maximumResponseBytes: 4096});
		const outcome = await store.transact({conditions: [], operations: []});
		t.is(outcome._unsafeUnwrapErr().kind, kind);
		await store.close();
	});
}

// Guards against a watch that ends without an error, or that delivers part of a message.
test('a watch message that cannot be parsed ends the watch with an error', async t => {
	const origin = await startRawServer(t, (_request, response) => {
		response.write('{"result":{"created":true}}\n{"result":{"events":[{"kv":{"key":"L2E=","mod_re');
		response.write('vision":"5","value":"aGk="}}]}}\nnot json\n');
	});
	const store = createEtcdKeyValueStore({...clientSettings, origin});
	const seen: StoredEntry[] = [];
	const kind = await new Promise<StoreErrorKind>(resolve => {
		store.watch({
			prefix: '/',
			onChange(entries) {
				seen.push(...entries);
			},
			onEnd(error) {
				resolve(error.kind);
			},
		});
	});
	t.is(kind, StoreErrorKind.Malformed);
	t.deepEqual(seen, [{key: '/a', value: 'hi', modifiedRevision: 5}]);
	await store.close();
});

// Guards against different records from the adapter and the in-memory list for the same fleet.
test('the adapter and the in-memory list show the same records after the lag and the same outage', async t => {
	const clock = createManualClock();
	const server = await startPlatformServer({clock, lagMilliseconds: 1000});
	const adapter = createServiceDiscoveryInstanceList({...clientSettings, origin: `http://127.0.0.1:${server.port}`});
	const memory = createMemoryInstanceList({fleet: server.fleet, faults: server.faults, zone: clientSettings.zone});
	const lists = [adapter, memory];
	const readAll = async () => {
		const results = await Promise.all(lists.map(async list => list.readInstances()));
		return results.map(result => result.match(records => records, ({code}) => code));
	};

	server.fleet.set(record);
	t.deepEqual(await readAll(), [[], []]);
	clock.advance(1000);
	t.deepEqual(await readAll(), [[record], [record]]);
	server.faults.set({faults: {down: true}});
	t.deepEqual(await readAll(), ['INSTANCE_LIST_UNAVAILABLE', 'INSTANCE_LIST_UNAVAILABLE']);
	await adapter.close();
	await server.close();
});

// Guards against a malformed record being skipped, so that the fleet looks smaller than it is.
test('a list with one malformed record is rejected as a whole', async t => {
	const origin = await startRawServer(t, (_request, response) => {
		response.end(JSON.stringify([{targets: ['127.0.0.1:1'], labels: {...record, state: 'gone'}}]));
	});
	const list = createServiceDiscoveryInstanceList({...clientSettings, origin});
	const outcome = await list.readInstances();
	t.is(outcome._unsafeUnwrapErr().code, 'INSTANCE_LIST_MALFORMED');
	await list.close();
});

// Guards against a repeated call rebooting an instance twice.
test('instance control is idempotent and distinguishes a rejection from an outage', async t => {
	const clock = createManualClock();
	const server = await startPlatformServer({clock, rebootMilliseconds: 5000});
	server.fleet.set(record);
	const control = createHttpInstanceControl({...clientSettings, origin: `http://127.0.0.1:${server.port}`});
	const {instance} = record;
	await control.requestDrain({instance});
	await control.requestReboot({instance});
	await control.requestReboot({instance});
	await control.assignPool({instance, pool: 'royalties'});
	t.deepEqual(server.fleet.orders().map(({type}) => type), ['drain', 'reboot', 'assign-pool']);
	t.like(server.fleet.current()[0], {state: InstanceState.Leaving, pool: 'royalties', incarnation: 'first'});
	clock.advance(5000);
	t.like(server.fleet.current()[0], {state: InstanceState.Live, pool: 'royalties', incarnation: 'reboot-1'});
	const refused = await control.requestDrain({instance: 'nobody'});
	t.is(refused._unsafeUnwrapErr().code, 'INSTANCE_CONTROL_REFUSED');
	server.faults.set({faults: {down: true}});
	const unavailable = await control.requestDrain({instance});
	t.is(unavailable._unsafeUnwrapErr().code, 'INSTANCE_CONTROL_UNAVAILABLE');
	await control.close();
	await server.close();
});

// Guards against a rate that leaves out open watches or counts calls outside of its window.
test('the counting store reports calls per second and open watches', async t => {
	const clock = createManualClock();
	const store = createCountingStore({
		clock,
		store: createMemoryStore({engine: createKeyValueEngine({clock}), faults: createFaultInjector(), zone: 'zone-a'}),
	});
	await Promise.all(Array.from({length: 50}, async () => store.read({key: '/a'})));
	await store.transact({conditions: [], operations: []});
	const watch = store.watch({prefix: '/', onChange: () => undefined, onEnd: () => undefined});
	t.is(store.countOpenWatches(), 1);
	clock.advance(1000);
	t.is(store.measureCallsPerSecond(StoreCallKind.Read), 5.1);
	t.is(store.measureCallsPerSecond(StoreCallKind.Write), 0.1);
	watch.stop();
	watch.stop();
	t.is(store.countOpenWatches(), 0);
	clock.advance(10_000);
	t.is(store.measureCallsPerSecond(StoreCallKind.Read), 0);
	t.is(store.countCalls(StoreCallKind.Read), 51);
});
