import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {ok} from 'neverthrow';
import {createInstanceDirectory} from '@turmericbay/membership';
import {ExchangeResponseSchema, KnowledgeSchema} from '@turmericbay/peer-protocol';
import {createManualClock, InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceRecord} from '@turmericbay/types';
import {createEntryIncarnations} from '../src/entry-incarnations.js';
import {createFleetRouting} from '../src/fleet-routing.js';
import {createInstanceListSource} from '../src/instance-list-source.js';

const record = (instance: string, role = InstanceRole.Upstream, incarnation = 'boot-1'): InstanceRecord => ({
	state: InstanceState.Live, rack: 'rack-1', zone: 'south', pool: 'pickups', role, address: '127.0.0.1:1', incarnation, instance,
});

const createSource = (records: readonly InstanceRecord[]) => {
	const clock = createManualClock();
	const directory = createInstanceDirectory({clock});
	const source = createInstanceListSource({
		list: {readInstances: async () => ok(records)},
		directory,
		incarnations: createEntryIncarnations(),
		isWatcher: () => true,
		clock,
		logger: {log: () => undefined},
	});
	return {clock, directory, source};
};

// Guards against sending a list of 300 KB to each peer twice a second although both sides hold the same one.
test('a list taken from a peer has the digest of the one read from the platform', async t => {
	const reader = createSource([record('b'), record('a')]);
	await reader.source.tick();
	const listed = reader.source.selectFor({peer: undefined, newerThanMilliseconds: 1000n});
	const receiver = createSource([]);
	receiver.clock.advance(10);
	receiver.source.receive({
		response: create(ExchangeResponseSchema, {knowledge: create(KnowledgeSchema, {listAgeMs: 0n}), listed: [...listed ?? []], listIncluded: true}),
		askedAtMilliseconds: 10,
	});
	t.deepEqual(receiver.directory.instances().map(({instance}) => instance), ['a', 'b']);
	t.is(receiver.source.digest(), reader.source.digest());
	t.is(reader.source.selectFor({peer: create(KnowledgeSchema, {listDigest: receiver.source.digest()}), newerThanMilliseconds: 1000n}), undefined);
});

// Guards against a list that looks old although a peer has just confirmed it.
test('an unchanged list of a peer renews the age without its content', async t => {
	const {clock, directory, source} = createSource([record('a')]);
	await source.tick();
	clock.advance(5000);
	source.receive({
		response: create(ExchangeResponseSchema, {knowledge: create(KnowledgeSchema, {listAgeMs: 100n, listDigest: source.digest()})}),
		askedAtMilliseconds: 4500,
	});
	t.is(directory.ageMilliseconds(), 600);
});

// Guards against taking the units of a live daemon because the list names the run of its machine.
test('entry instances carry the incarnation of the daemon that answered', t => {
	const incarnations = createEntryIncarnations();
	const records = [record('entry-1', InstanceRole.Entry), record('upstream-1')];
	t.deepEqual(incarnations.apply(records).map(({incarnation}) => incarnation), ['', 'boot-1']);
	incarnations.note({instance: 'entry-1', incarnation: 'daemon-7'});
	t.deepEqual(incarnations.apply(records).map(({incarnation}) => incarnation), ['daemon-7', 'boot-1']);
});

// Guards against new work for an instance that the fleet ledger has taken out of service, and against
// telling peers so before the routing tables follow.
test('routing sees the ledger before peers hear of its revision', t => {
	const clock = createManualClock();
	const directory = createInstanceDirectory({clock});
	let revision = 0;
	let pool: string | undefined = 'invoices';
	const routing = createFleetRouting({
		directory,
		ledger: () => ({effectivePool: () => pool, fleetRevision: () => revision, isReady: () => true}),
	});
	const seen: Array<[string, InstanceState, number]> = [];
	routing.subscribe(() => {
		const [instance] = routing.instances();
		seen.push([instance!.pool, instance!.state, routing.appliedRevision()]);
	});
	directory.offer({records: [record('a')], ageMilliseconds: 0});
	revision = 4;
	pool = undefined;
	routing.apply();
	routing.apply();
	t.deepEqual(seen, [['invoices', InstanceState.Live, 0], ['pickups', InstanceState.Leaving, 0]]);
	t.is(routing.appliedRevision(), 4);
});
