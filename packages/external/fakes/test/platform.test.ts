import {createManualClock, InstanceRole, InstanceState} from '@turmericbay/types';
import test from 'ava';
import fc from 'fast-check';
import {
	createFaultInjector, createKeyValueEngine, PlatformService, getPrefixRangeEnd, startPlatformControl, startPlatformServer,
} from '../src/index.js';

const caller = {service: PlatformService.KeyValue, isWrite: true};

// Guards against a fault for one zone or service that affects others.
test('faults affect only the zone and service they were set for', t => {
	const faults = createFaultInjector();
	faults.set({scope: {zone: 'a'}, faults: {cut: true}});
	faults.set({scope: {service: PlatformService.InstanceList}, faults: {down: true, delayMilliseconds: 9}});
	t.is(faults.decide({...caller, zone: 'a'}).type, 'hang');
	t.is(faults.decide({...caller, zone: 'b'}).type, 'pass');
	t.like(faults.decide({zone: 'b', service: PlatformService.InstanceList, isWrite: false}), {type: 'drop', delayMilliseconds: 9});
	faults.clear();
	t.is(faults.decide({...caller, zone: 'a'}).type, 'pass');
});

// Guards against a read that consumes the lost response injected for a write.
test('only writes consume lost responses', t => {
	const faults = createFaultInjector();
	faults.set({faults: {lostAnswers: 1}});
	const decide = (isWrite: boolean) => faults.decide({...caller, zone: 'a', isWrite}).isResponseLost;
	t.deepEqual([decide(false), decide(true), decide(true)], [false, true, false]);
});

const byteString = fc.string({unit: fc.constantFrom('a', 'b', '\u0000', '\u00FE', '\u00FF'), maxLength: 4});

// Guards against a prefix range that misses keys or includes others, also at the highest byte value.
test('the range of a prefix holds exactly the keys with the prefix', t => {
	fc.assert(fc.property(fc.uniqueArray(byteString.filter(key => key !== ''), {maxLength: 8}), byteString, (keys, prefix) => {
		const engine = createKeyValueEngine({clock: createManualClock()});
		engine.transact({
			compares: [], failure: [], success: keys.map(key => ({
				type: 'put', key, value: '', leaseId: '0',
			})),
		});
		const found = engine.range({range: {key: prefix, rangeEnd: getPrefixRangeEnd(prefix)}, limit: 0});
		t.deepEqual(found.entries.map(({key}) => key), keys.filter(key => key.startsWith(prefix)).toSorted((a, b) => a < b ? -1 : 1));
	}), {seed: 71_001});
});

// Guards against control routes that accept invalid commands or have no effect.
test('the control port sets faults, records and counters, and rejects malformed commands', async t => {
	const server = await startPlatformServer();
	const control = await startPlatformControl({state: server});
	const post = async (path: string, body: unknown) => {
		const response = await fetch(`http://127.0.0.1:${control.port}${path}`, {method: 'POST', body: JSON.stringify(body)});
		return response.status;
	};

	const record = {
		instance: 'x', incarnation: 'i', address: '127.0.0.1:1', role: InstanceRole.Entry, pool: '', zone: 'a', rack: 'r', state: InstanceState.Live,
	};
	t.is(await post('/instances', record), 200);
	t.is(await post('/instances', {...record, state: 'gone'}), 400);
	t.is(await post('/faults', {faults: {down: 'yes'}}), 400);
	t.is(await post('/faults', {scope: {zone: 'a'}, faults: {cut: true}}), 200);
	t.is(server.faults.inspect({zone: 'a', service: PlatformService.InstanceList}), 'hang');
	await post('/faults/clear', {});
	const headers = {'x-availability-zone': 'a', 'x-instance': 'entry-1'};
	const list = await fetch(`http://127.0.0.1:${server.port}/instances`, {headers});
	const {address, ...labels} = record;
	t.deepEqual(await list.json(), [{targets: [address], labels}]);
	t.deepEqual(server.counters.read(), {'entry-1': {instances: 1}});
	await Promise.all([server.close(), control.close()]);
});
