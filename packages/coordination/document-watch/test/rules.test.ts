import test from 'ava';
import {parseDocument} from '@turmericbay/document';
import type {DocumentEnvelope} from '@turmericbay/document';
import {createManualClock, StoreErrorKind} from '@turmericbay/types';
import {
	chooseWatchers, findOutageConfirmationTime, findPeerConfirmationTime, createDocumentState, decideAdoption,
} from '../src/index.js';
import type {DocumentWatchEvent, PeerAnswer} from '../src/index.js';
import {createPlatformReader} from '../src/platform-reader.js';
import {currentKey} from '../src/store-keys.js';
import {resolvePending} from '../src/submit.js';
import {createMemory, createMemoryStore, storeError} from './memory-store.js';

const document = parseDocument({
	text: JSON.stringify({
		schemaVersion: 1, pools: {}, teams: {}, queues: {},
	}),
})._unsafeUnwrap();
const envelope = (version: number, changeId = `change-${version}`): DocumentEnvelope => ({
	version, changeId, author: 'operator', submittedAt: '2026-12-04T00:00:00.000Z', document,
});

const createState = (events: DocumentWatchEvent[] = []) => createDocumentState({
	instance: 'a1', startedAt: 0, listKnownPeers: () => ['b1'], report(event) {
		events.push(event);
	},
});

const put = (memory: ReturnType<typeof createMemory>, value: string): void => {
	memory.transact({conditions: [], operations: [{type: 'put', key: currentKey, value}]});
};

// Guards against an older version, or different content of the same version, coming into force.
test('only a higher version is adopted', t => {
	const inForce = envelope(5);
	const cases: ReadonlyArray<readonly [DocumentEnvelope | undefined, DocumentEnvelope]> = [
		[undefined, envelope(1)],
		[inForce, envelope(6)],
		[inForce, envelope(9)],
		[inForce, structuredClone(inForce)],
		[inForce, envelope(4)],
		[inForce, envelope(5, 'another-change')],
	];
	t.deepEqual(cases.map(([current, candidate]) => decideAdoption({inForce: current, candidate})), ['adopt', 'adopt', 'adopt', 'same', 'older', 'conflict']);
});

const idlePeer: PeerAnswer = {
	instance: 'b1', documentVersion: 5, platformReachable: false, pendingSubmits: 0,
};

type TimedFields = Partial<PeerAnswer> & {readonly startedAt: number};

// Guards against a confirmation from peers that have a newer version or did not answer, or one that counts from the wrong time.
test('confirmation from peers counts from the start of the query', t => {
	const answers = (list: readonly TimedFields[]) => new Map(list.map(({startedAt, ...answer}, index) => [
		`b${index + 1}`, {startedAt, answer: {...idlePeer, ...answer}},
	]));
	const peers = (...list: readonly TimedFields[]) => findPeerConfirmationTime({version: 5, answers: answers(list)});
	t.deepEqual([
		peers({startedAt: 100}),
		peers({startedAt: 100, confirmationAgeMilliseconds: 30}, {startedAt: 90, confirmationAgeMilliseconds: 5}),
		peers({startedAt: 100, confirmationAgeMilliseconds: 30, documentVersion: 6}),
		peers({startedAt: 100, confirmationAgeMilliseconds: 30, documentVersion: 4}),
	], [undefined, 85, undefined, 70]);

	const outage = (list: readonly TimedFields[], own = {}) => findOutageConfirmationTime({
		version: 5, answers: answers(list), now: 200, knownPeers: ['b1', 'b2'], ownPlatformReachable: false, ownPendingSubmits: 0, ...own,
	});
	t.deepEqual([
		outage([{startedAt: 100}, {startedAt: 50}]),
		outage([{startedAt: 100}]),
		outage([{startedAt: 100}, {startedAt: 50, platformReachable: true}]),
		outage([{startedAt: 100}, {startedAt: 50, pendingSubmits: 1}]),
		outage([{startedAt: 100}, {startedAt: 50, documentVersion: 6}]),
		outage([{startedAt: 100}, {startedAt: 50}], {ownPlatformReachable: true}),
		outage([{startedAt: 100}, {startedAt: 50}], {ownPendingSubmits: 1}),
	], [50, undefined, undefined, undefined, undefined, undefined, undefined]);
});

// Guards against a slow response that makes the confirmation appear more recent than it is.
test('a confirmation by a platform read counts from the start of the read', async t => {
	const clock = createManualClock();
	const memory = createMemory();
	put(memory, JSON.stringify(envelope(1)));
	const state = createState();
	const store = createMemoryStore(memory, () => {
		clock.advance(700);
	});
	const reader = createPlatformReader({
		store, state, clock, report: () => undefined,
	});
	await reader.read();
	t.is(state.confirmationAge(clock.monotonicMilliseconds()), 700);
	clock.advance(1000);
	await reader.read();
	t.is(state.confirmationAge(clock.monotonicMilliseconds()), 700);
});

// Guards against a watch that is reopened at every tick during a platform outage.
test('a watch that ended is reopened after a delay, and only while reads succeed', async t => {
	const clock = createManualClock();
	const memory = createMemory();
	put(memory, JSON.stringify(envelope(1)));
	const state = createState();
	let starts = 0;
	let end: () => void = () => undefined;
	const store = {
		...createMemoryStore(memory),
		watch({onEnd}: Parameters<ReturnType<typeof createMemoryStore>['watch']>[0]) {
			starts++;
			end = () => {
				onEnd(storeError(StoreErrorKind.NotApplied));
			};

			return {stop: () => undefined};
		},
	};
	const reader = createPlatformReader({
		store, state, clock, report: () => undefined,
	});
	const observe = (): number => {
		reader.setWatching(true);
		return starts;
	};

	const seen = [observe()];
	await reader.read();
	seen.push(observe(), observe());
	end();
	seen.push(observe());
	clock.advance(1000);
	seen.push(observe());
	end();
	clock.advance(1000);
	state.recordPlatformFailure('connection refused', 2000);
	seen.push(observe());
	await reader.read();
	const refusing = createPlatformReader({
		store: {
			...store,
			watch(options: Parameters<typeof store.watch>[0]) {
				const handle = store.watch(options);
				end();
				return handle;
			},
		},
		state,
		clock,
		report: () => undefined,
	});
	refusing.setWatching(true);
	clock.advance(1000);
	refusing.setWatching(true);
	t.deepEqual([...seen, starts], [0, 1, 1, 1, 2, 2, 4]);
});

// Guards against a pending write that takes effect after its submit was reported as resolved.
test('a pending write is fenced before it is resolved', async t => {
	const memory = createMemory();
	put(memory, JSON.stringify(envelope(1)));
	const revision = memory.read(currentKey)?.modifiedRevision ?? 0;
	const state = createState();
	state.markPending('change-2', revision);
	t.true(await resolvePending({
		store: createMemoryStore(memory), state, changeId: 'change-2', revision,
	}));
	const late = memory.transact({conditions: [{key: currentKey, modifiedRevision: revision}], operations: [{type: 'put', key: currentKey, value: '{}'}]});
	t.is(late._unsafeUnwrap().type, 'condition-failed');
	t.is(memory.read(currentKey)?.value, JSON.stringify(envelope(1)));
	t.deepEqual(state.status(0).pendingChanges, []);
});

// Guards against invalid stored values that stop an instance, replace its valid document or count as a confirmation.
test('an invalid value leaves the last valid document in force and is reported in the status', t => {
	const newer = {...envelope(3), document: {...document, schemaVersion: 2, shapes: []}};
	const values = ['not JSON', '{"version": 3}', JSON.stringify(newer), JSON.stringify(envelope(2, 'another-change')), JSON.stringify(envelope(1))];
	const seen = values.map(value => {
		const events: DocumentWatchEvent[] = [];
		const state = createState(events);
		state.recordPlatformRead(0, {key: currentKey, value: JSON.stringify(envelope(2)), modifiedRevision: 7});
		state.recordPlatformRead(1000, {key: currentKey, value, modifiedRevision: 8});
		state.recordPlatformRead(2000, {key: currentKey, value, modifiedRevision: 8});
		return {events: events.slice(2), status: state.status(2000)};
	});
	t.snapshot(seen);
});

// Guards against zones without a watcher, and against instances that choose different watchers.
test('each zone has two watchers regardless of the order of the list', t => {
	const live = Array.from({length: 9}, (_, index) => ({instance: `entry-${index}`, zone: `zone-${index % 4}`}));
	const zones = ['zone-0', 'zone-1', 'zone-2', 'zone-3', 'zone-4'];
	const chosen = zones.map(zone => chooseWatchers({zone, live}));
	t.deepEqual(chosen.map(({length}) => length), [2, 2, 2, 2, 0]);
	t.deepEqual(zones.map(zone => chooseWatchers({zone, live: live.toReversed()})), chosen);
});
