import type {KeyValueStore, StoredEntry} from '@turmericbay/types';
import test from 'ava';
import {ok} from 'neverthrow';
import {watchPrefix} from '../src/watch-prefix.js';

type Watch = Parameters<KeyValueStore['watch']>[0];

const settle = async (): Promise<void> => {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
};

const createEntry = (value: string, modifiedRevision: number): StoredEntry => ({key: 'owner', value, modifiedRevision});

/** A watch whose list of all keys is answered when the returned function is called. */
const createFixture = () => {
	const seen: string[] = [];
	const lists: Array<(entries: readonly StoredEntry[]) => void> = [];
	let opened: Watch | undefined;
	const store: Pick<KeyValueStore, 'list' | 'watch'> = {
		list: async () => new Promise(resolve => {
			lists.push(entries => {
				resolve(ok({entries: [...entries], revision: 1, more: false}));
			});
		}),
		watch(watch) {
			opened = watch;
			return {stop: () => undefined};
		},
	};
	const handle = watchPrefix({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		store: store as KeyValueStore, prefix: 'owner',
		onSnapshot(entries) {
			seen.push(`all: ${entries.map(({value}) => value).join(' ')}`);
		},
		onChange(entries) {
			seen.push(`changed: ${entries.map(({value}) => value).join(' ')}`);
		},
		onDelete(keys) {
			seen.push(`deleted: ${keys.join(' ')}`);
		},
		onFailure: () => undefined,
	});
	return {
		handle, seen,
		watch: () => opened!,
		async answerList(entries: readonly StoredEntry[]): Promise<void> {
			lists.shift()!(entries);
			await settle();
		},
	};
};

// Guards against instances that take an owner for present that has gone: the list was read before the deletion and arrived after it, and no other change followed.
test('changes that arrive before the list of all keys are reported after it', async t => {
	const {handle, seen, watch, answerList} = createFixture();
	t.teardown(handle.stop);
	watch().onStart?.();
	watch().onDelete?.(['owner']);
	watch().onChange([createEntry('second', 3)]);
	await answerList([createEntry('first', 1)]);
	watch().onDelete?.(['owner']);
	t.deepEqual(seen, ['all: first', 'deleted: owner', 'changed: second', 'deleted: owner']);
});
