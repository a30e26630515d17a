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

// Guards against digests that differ for equal lists: each peer would then be sent the list of 300 KB twice a second.
test('a list taken from a peer has the digest of the one read from the platform', async t => {
	const reader = createSource([record('b'), record('a')]);
	await reader.source.tick();
	const listed = reader.source.selectListForPeer({peer: undefined, newerThanMilliseconds: 1000n});
	const receiver = createSource([]);
	receiver.clock.advance(10);
	receiver.source.receiveFromPeer({
		response: create(ExchangeResponseSchema, {knowledge: create(KnowledgeSchema, {listAgeMs: 0n}), listed: [...listed ?? []], listIncluded: true}),
		requestedAtMilliseconds: 10,
	});
	t.deepEqual(receiver.directory.instances().map(({instance}) => instance), ['a', 'b']);
	t.is(receiver.source.digest(), reader.source.digest());
	t.is(reader.source.selectListForPeer({peer: create(KnowledgeSchema, {listDigest: receiver.source.digest()}), newerThanMilliseconds: 1000n}), undefined);
});

// Guards against a list whose age keeps growing although a peer has confirmed that it is current.
test('an unchanged list of a peer renews the age without its content', async t => {
	const {clock, directory, source} = createSource([record('a')]);
	await source.tick();
	clock.advance(5000);
	source.receiveFromPeer({
		response: create(ExchangeResponseSchema, {knowledge: create(KnowledgeSchema, {listAgeMs: 100n, listDigest: source.digest()})}),
		requestedAtMilliseconds: 4500,
	});
	t.is(directory.ageMilliseconds(), 600);
});

// Guards against reclaiming the units of a live daemon because the list contains the incarnation of its machine, not that of the daemon.
test('entry instances carry the incarnation of the daemon that answered', t => {
	const incarnations = createEntryIncarnations();
	const records = [record('entry-1', InstanceRole.Entry), record('upstream-1')];
	t.deepEqual(incarnations.replaceIncarnations(records).map(({incarnation}) => incarnation), ['', 'boot-1']);
	incarnations.record({instance: 'entry-1', incarnation: 'daemon-7'});
	t.deepEqual(incarnations.replaceIncarnations(records).map(({incarnation}) => incarnation), ['daemon-7', 'boot-1']);
});

// Guards against new work for an instance that the fleet ledger has taken out of service, and against
// reporting the ledger revision to peers before the routing tables reflect it.
test('the routing tables are updated before the ledger revision is reported to peers', t => {
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
	routing.update();
	routing.update();
	t.deepEqual(seen, [['invoices', InstanceState.Live, 0], ['pickups', InstanceState.Leaving, 0]]);
	t.is(routing.appliedRevision(), 4);
});
