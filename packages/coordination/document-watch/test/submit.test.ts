import test from 'ava';
import {parseEnvelope} from '@turmericbay/document';
import {createManualClock} from '@turmericbay/types';
import {createDocumentWatch} from '../src/index.js';
import {maximumKeptVersions} from '../src/history.js';
import {currentKey, historyKey, historyPrefix} from '../src/store-keys.js';
import {createMemory, createMemoryStore} from './memory-store.js';
import type {Memory} from './memory-store.js';

const documentText = (limit: number, padding = 0): string => JSON.stringify({
	schemaVersion: 1, pools: {}, teams: {booking: {share: 1, limit}}, queues: {},
}) + ' '.repeat(padding);

const createWatch = (memory: Memory) => createDocumentWatch({
	self: {instance: 'a1', zone: 'zone-a'},
	store: createMemoryStore(memory),
	peers: {
		known: () => [],
		async query() {
			throw new Error('there are no peers');
		},
		async fetchDocument() {
			throw new Error('there are no peers');
		},
		async pushDocument() {
			throw new Error('there are no peers');
		},
	},
	live: () => [],
	clock: createManualClock(),
	random: () => 0.5,
	wait: async () => undefined,
	report: () => undefined,
});

const change = (reviewedVersion: number, changeId = `change-${reviewedVersion + 1}`) => ({reviewedVersion, changeId, author: 'anna'});

const submitVersions = async (memory: Memory, count: number) => {
	const watch = createWatch(memory);
	await watch.start();
	for (let version = 0; version < count; version++) {
		// eslint-disable-next-line no-await-in-loop -- each version is based on the previous one
		await watch.submitDocument({...change(version), text: documentText(version)});
	}

	return watch;
};

const put = (memory: Memory, value: string): void => {
	memory.transact({conditions: [], operations: [{type: 'put', key: currentKey, value}]});
};

const storedVersion = (memory: Memory): number => parseEnvelope({text: memory.read(currentKey)?.value ?? ''}).map(({version}) => version).unwrapOr(0);

// Guards against a change that was not reviewed against the newest version, or that is applied twice.
test('a submit must be based on the newest version and is idempotent', async t => {
	const memory = createMemory();
	const watch = await submitVersions(memory, 2);
	const outdated = await watch.submitDocument({...change(1, 'late'), text: documentText(7)});
	t.deepEqual(outdated, {type: 'conflict', version: 2, message: 'version 2 is in force, the change was reviewed against version 1'});
	const repeated = await watch.submitDocument({...change(0), text: documentText(0)});
	t.deepEqual(repeated, {
		type: 'accepted', version: 1, confirmed: ['a1'], unconfirmed: [],
	});
	const reused = await watch.submitDocument({...change(0), text: documentText(9)});
	t.like(reused, {type: 'conflict', version: 2});
	t.is(storedVersion(memory), 2);
});

// Guards against a version number that decreases when earlier content is restored.
test('a withdrawal writes the previous content as a new version', async t => {
	const memory = createMemory();
	const watch = await submitVersions(memory, 2);
	t.like(await watch.withdrawDocument(change(2)), {type: 'accepted', version: 3});
	t.like(watch.current(), {version: 3, restoredVersion: 1});
	t.is(watch.current()?.document.teams.booking?.limit, 0);
	t.like(await watch.withdrawDocument(change(2)), {type: 'accepted', version: 3});
	t.like(await watch.withdrawDocument(change(0, 'too-early')), {type: 'not-applied', message: 'the previous version cannot be restored (version -1 is not in the history)'});
});

// Guards against a store that no submit can repair after a restore from a backup or a corruption.
test('a submit repairs an older, missing or unreadable stored document', async t => {
	const damages: ReadonlyArray<(memory: Memory) => void> = [
		memory => {
			put(memory, memory.read(historyKey(1))?.value ?? '');
			memory.transact({conditions: [], operations: [{type: 'delete', key: historyKey(2)}]});
		},
		memory => {
			memory.transact({conditions: [], operations: [{type: 'delete', key: currentKey}]});
		},
		memory => {
			put(memory, 'not JSON');
		},
	];
	const repairs = await Promise.all(damages.map(async damage => {
		const memory = createMemory();
		const watch = await submitVersions(memory, 2);
		damage(memory);
		await watch.start();
		const {fault, version} = watch.status();
		const outcome = await watch.submitDocument({...change(2), text: documentText(5)});
		return {
			fault, version, outcome: outcome.type, stored: storedVersion(memory), faultAfterwards: watch.status().fault,
		};
	}));
	t.snapshot(repairs);
});

// Guards against an older program version that overwrites the document of a newer one.
test('a stored document of a newer format is a conflict', async t => {
	const memory = createMemory();
	const watch = await submitVersions(memory, 2);
	put(memory, JSON.stringify({version: 5, document: {schemaVersion: 2}}));
	t.like(await watch.submitDocument({...change(2), text: documentText(5)}), {type: 'conflict', version: 5});
	t.is(watch.current()?.version, 2);
	t.regex(watch.status().fault, /schemaVersion 1, the document has 2/v);
});

// Guards against documents that the platform cannot store, and against empty or overlong identifiers.
test('submits that cannot be stored are invalid', async t => {
	const memory = createMemory();
	const watch = await submitVersions(memory, 1);
	const outcomes = await Promise.all([
		watch.submitDocument({...change(1), text: documentText(1, 1_100_000)}),
		watch.submitDocument({...change(1, ''), text: documentText(1)}),
		watch.submitDocument({...change(1, 'x'.repeat(65)), text: documentText(1)}),
		watch.withdrawDocument({...change(1), author: 'x'.repeat(201)}),
	]);
	t.snapshot(outcomes);
	t.is(storedVersion(memory), 1);
});

// Guards against a history that grows without bound, is truncated after its first page or is out of order.
test('the history contains the newest versions in order', async t => {
	const memory = createMemory();
	const watch = await submitVersions(memory, maximumKeptVersions + 3);
	const history = await watch.listHistory();
	t.deepEqual(history._unsafeUnwrap().map(({version}) => version), Array.from({length: maximumKeptVersions}, (_, index) => index + 4));
	t.is(memory.list({prefix: historyPrefix, limit: 1000}).entries.length, maximumKeptVersions);
	const missing = await watch.readVersion({version: 3});
	t.is(missing._unsafeUnwrapErr().code, 'VERSION_NOT_FOUND');
});
