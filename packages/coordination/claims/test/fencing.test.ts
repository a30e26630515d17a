import test from 'ava';
import {Settlement} from '@turmericbay/types';
import {sessionKey} from '@turmericbay/membership';
import {
	beginRecording, ClaimState, createEntry, evaluateClaim, settleEntry,
} from '../src/claim-table.js';
import {Verdict} from '../src/messages.js';
import {createOwnedClaims} from '../src/owned-claims.js';
import {createFirstRecord, decodeRecord, partitionKey} from '../src/partition-record.js';
import type {PartitionRecord} from '../src/partition-record.js';
import {createPartitionWrites} from '../src/partition-writes.js';
import {parseKey} from '../src/key.js';
import {createCluster} from './support/cluster.js';

const complete = {incompleteBefore: 0, refusedAt: 0};

const requestAt = (startedAt: number, keyTime = startedAt) => ({
	team: 'team', queue: 'queue', key: 'key', keyTime, fingerprint: 'f', attempt: `attempt ${startedAt}`, startedAt,
});

// Guards against granting an attempt that began before the key was refused as not run.
test('after a not-run settlement, attempts that began before it get unknown', t => {
	const entry = createEntry(0, requestAt(1000));
	beginRecording(entry, requestAt(1000));
	entry.state = ClaimState.Running;
	t.true(settleEntry({
		entry, attempt: 'attempt 1000', settlement: Settlement.NotRun, now: 20_000,
	}));
	t.is(evaluateClaim({entry, request: requestAt(19_000), gaps: complete}), Verdict.Unknown);
	t.is(evaluateClaim({entry, request: requestAt(27_999), gaps: complete}), Verdict.Unknown);
	t.is(evaluateClaim({entry, request: requestAt(28_001), gaps: complete}), undefined);
});

// Guards against granting an attempt that began before the key was refused by an owner that failed afterwards.
test('after a takeover, attempts that began before it get unknown', t => {
	const partition = {incompleteBefore: 0, refusedAt: 20_000};
	t.is(evaluateClaim({entry: undefined, request: requestAt(19_000), gaps: partition}), Verdict.Unknown);
	t.is(evaluateClaim({entry: undefined, request: requestAt(26_000), gaps: partition}), undefined);
	t.is(evaluateClaim({entry: undefined, request: requestAt(28_001, 19_000), gaps: partition}), undefined);
});

const takeOver = (record: PartitionRecord, activeSession: string | undefined) => {
	const writes = createPartitionWrites({
		self: {instance: 'new', incarnation: 'n'},
		claims: createOwnedClaims({maximumClaims: 1}),
		records: {
			byPartition: new Map([[0, {record, revision: 7}]]), ownerOf: () => record.owner, set() {
				// Not used.
			}, async read() {
				throw new Error('not used');
			},
		},
		onFinished() {
			// Not used.
		},
		isProvenGone: () => true,
	});
	const write = writes.takeOver({
		from: record.owner,
		partitions: [0],
		sessionEntry: activeSession === undefined
			? undefined
			: {key: sessionKey('old'), value: JSON.stringify({incarnation: 'o', session: activeSession}), modifiedRevision: 5},
	}, 'own', 50_000);
	const [operation] = write.operations;
	return {conditions: write.conditions, next: decodeRecord(operation?.type === 'put' ? operation.value : '')};
};

// Guards against treating the records as complete although claims granted from memory are lost.
test('records are complete only if the session they name is active, and the takeover depends on that session', t => {
	const record = createFirstRecord({owner: {instance: 'old', incarnation: 'o'}, session: 'first', now: 1000});
	const trusted = takeOver(record, 'first');
	t.true(trusted.next?.complete);
	t.deepEqual(trusted.conditions.map(({key}) => key), [partitionKey(0), sessionKey('old')]);
	for (const session of [undefined, 'second']) {
		const {next} = takeOver(record, session);
		t.false(next?.complete);
		t.is(next?.incompleteBefore, 55_000);
	}
});

// Guards against an earlier owner that continues to grant claims.
test('an owner grants nothing after another process has changed its partition record', async t => {
	const cluster = createCluster({seed: 9, count: 3, zones: ['a', 'b', 'c']});
	await cluster.simulation.run(30_000);
	const key = cluster.newKey();
	const recordKey = partitionKey(parseKey(key)!.partition);
	const record = decodeRecord(cluster.fleet.store.entries.get(recordKey)!.value)!;
	const position = cluster.fleet.members.findIndex(({identity}) => identity.instance === record.owner.instance);
	const taken = {...record, owner: {instance: 'other', incarnation: 'x'}, epoch: record.epoch + 1};
	await cluster.fleet.store.direct.transact({conditions: [], operations: [{type: 'put', key: recordKey, value: JSON.stringify(taken)}]});
	cluster.attempt(position, key);
	await cluster.simulation.run(5000);
	t.is(cluster.sent.size, 0);
	t.deepEqual(cluster.responses.map(({outcome}) => outcome), ['unknown']);
});
