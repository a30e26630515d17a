import type {StoredEntry, StoreError} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createConfigurationSource} from '../src/configuration-source.js';
import type {Configuration, JobStore, PlatformRecordCodec} from '../src/ports.js';
import {settle} from './support/builders.js';

const configurationKey = 'operator/configuration';
const historyGone: StoreError = {kind: StoreErrorKind.NotApplied, code: 'STORE_HISTORY_GONE', message: 'gone'};
const createEntry = (version: string, modifiedRevision: number): StoredEntry => ({key: configurationKey, value: version, modifiedRevision});

const createFixture = (t: {teardown(implementation: () => void): void}) => {
	let now = 0;
	let isHistoryGone = false;
	let newest = createEntry('1', 5);
	const calls: string[] = [];
	const store: Pick<JobStore, 'list' | 'readChanges' | 'watch'> = {
		async list() {
			calls.push('list');
			return ok({entries: [newest], revision: newest.modifiedRevision, more: false});
		},
		async readChanges({after}) {
			calls.push(`changes after ${after}`);
			return isHistoryGone ? err(historyGone) : ok({entries: newest.modifiedRevision > after ? [newest] : [], deletedKeys: [], revision: newest.modifiedRevision + 1});
		},
		watch: () => ({stop: () => undefined}),
	};
	const decode = (value: string): Configuration => ({
		version: Number(value), queuesByHost: new Map(), workspaceByApiKey: new Map(), maximumBodyBytes: 0, queues: new Map(), pools: new Map(), workspaces: new Map(),
	});
	const recordCodec: Pick<PlatformRecordCodec, 'configurationKey' | 'decodeConfiguration'> = {
		configurationKey,
		decodeConfiguration: ({value}) => value === 'malformed' ? undefined : decode(value),
	};
	const source = createConfigurationSource({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		store: store as JobStore, recordCodec: recordCodec as PlatformRecordCodec,
		clock: {now: () => now, wallNow: () => now}, onRevision: () => undefined, onChange: () => undefined, onUnreadable: () => undefined, onFailure: () => undefined,
	});
	t.teardown(source.stop);
	return {
		source, calls,
		setNewest(version: string, revision: number): void {
			newest = createEntry(version, revision);
		},
		dropHistory(): void {
			isHistoryGone = true;
		},
		async confirm(): Promise<void> {
			now += 1000;
			await source.confirm();
			await settle();
		},
	};
};

// Guards against instances that read a large configuration about once a second over a slow link.
test('the configuration is read once, and then confirmed by the changes since', async t => {
	const {source, calls, confirm, setNewest} = createFixture(t);
	await settle();
	t.is(source.age(), 0);
	await confirm();
	t.deepEqual(calls, ['list', 'changes after 5']);
	t.is(source.age(), 0);
	setNewest('2', 9);
	await confirm();
	t.is(source.current()?.version, 2);
	await confirm();
	t.deepEqual(calls, ['list', 'changes after 5', 'changes after 6', 'changes after 10']);
});

test('the configuration is read again if the store has discarded the changes', async t => {
	const {source, calls, confirm, dropHistory} = createFixture(t);
	await settle();
	dropHistory();
	await confirm();
	t.deepEqual(calls, ['list', 'changes after 5', 'list']);
	t.is(source.age(), 0);
});

// Guards against withdrawn keys that stay in use because the version without them cannot be decoded.
test('a malformed version leaves the configuration unconfirmed until a valid one is stored', async t => {
	const {source, confirm, setNewest} = createFixture(t);
	await settle();
	setNewest('malformed', 9);
	await confirm();
	await confirm();
	t.is(source.age(), 2000);
	setNewest('2', 12);
	await confirm();
	t.is(source.age(), 0);
});
