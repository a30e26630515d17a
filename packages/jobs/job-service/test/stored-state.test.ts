/** Guards against owners that never finish reading the stored records over a slow or unreliable link. */
import type {KeyValueStore, StoredEntry} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createStoredState} from '../src/stored-state.js';
import {settle} from './support/builders.js';

type ListRequest = Parameters<KeyValueStore['list']>[0];
type ListResult = Awaited<ReturnType<KeyValueStore['list']>>;
type WatchRequest = Parameters<KeyValueStore['watch']>[0];

const createEntry = (key: string): StoredEntry => ({key, value: '', modifiedRevision: 1});
const createPage = (keys: readonly string[], more: boolean): ListResult => ok({entries: keys.map(key => createEntry(key)), revision: 1, more});
const lostResponse: ListResult = err({kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'lost'});

/** A store whose listings wait for the test to complete them. */
const createFixture = (prefixesByJob: readonly string[] = []) => {
	const lists: Array<{readonly request: ListRequest; readonly respond: (result: ListResult) => void}> = [];
	const watches: WatchRequest[] = [];
	let isCancelled = false;
	let now = 0;
	const store: Pick<KeyValueStore, 'list' | 'watch'> = {
		async list(request) {
			return new Promise(resolve => {
				lists.push({request, respond: resolve});
			});
		},
		watch(request) {
			watches.push(request);
			return {stop: () => undefined};
		},
	};
	const storedState = createStoredState({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		store: store as KeyValueStore, isCancelled: () => isCancelled, onFailure: () => undefined, wait: settle, now: () => now,
	});
	const applied: string[] = [];
	const loaded = storedState.load({
		watched: [{
			prefix: 'jobs/',
			onEntries(entries) {
				applied.push(...entries.map(({key}) => key));
			},
		}],
		prefixes: ['jobs/', 'runs/'], prefixesByJob,
	});
	return {
		storedState, lists, watches, applied, loaded,
		advance(milliseconds: number): void {
			now += milliseconds;
		},
		cancel(): void {
			isCancelled = true;
		},
	};
};

const settleAll = async (): Promise<void> => {
	for (let round = 0; round < 10; round += 1) {
		// eslint-disable-next-line no-await-in-loop -- Each round may start the next call.
		await settle();
	}
};

test('a page that could not be read is requested again, not the whole listing', async t => {
	const {lists, watches, loaded} = createFixture();
	watches[0]!.onStart?.();
	await settleAll();
	t.is(lists.length, 1);
	lists[0]!.respond(createPage(['jobs/a', 'jobs/b'], true));
	await settleAll();
	lists[1]!.respond(lostResponse);
	await settleAll();
	lists[2]!.respond(createPage(['jobs/c'], false));
	await settleAll();
	lists[3]!.respond(createPage([], false));
	const entries = await loaded;
	t.deepEqual(lists.map(({request}) => [request.prefix, request.after]), [['jobs/', undefined], ['jobs/', 'jobs/b'], ['jobs/', 'jobs/b'], ['runs/', undefined]]);
	t.deepEqual(entries?.get('jobs/')?.map(({key}) => key), ['jobs/a', 'jobs/b', 'jobs/c']);
});

test('nothing is read before the watches are open, and changes meanwhile are delivered after the entries were applied', async t => {
	const {storedState, lists, watches, applied, loaded} = createFixture();
	await settleAll();
	t.is(lists.length, 0);
	watches[0]!.onStart?.();
	watches[0]!.onChange([createEntry('jobs/new')]);
	await settleAll();
	lists[0]!.respond(createPage(['jobs/a'], false));
	await settleAll();
	lists[1]!.respond(createPage([], false));
	await loaded;
	t.deepEqual(applied, []);
	storedState.follow();
	t.deepEqual(applied, ['jobs/new']);
	watches[0]!.onChange([createEntry('jobs/newer')]);
	t.deepEqual(applied, ['jobs/new', 'jobs/newer']);
});

test('reading ends once the ownership is lost', async t => {
	const {lists, watches, loaded, cancel} = createFixture();
	watches[0]!.onStart?.();
	await settleAll();
	cancel();
	lists[0]!.respond(lostResponse);
	t.is(await loaded, undefined);
	t.is(lists.length, 1);
});

const readParts = async (partMilliseconds: number): Promise<Array<readonly [prefix: string, after: string | undefined]>> => {
	const {lists, watches, loaded, advance} = createFixture(['progress/']);
	watches[0]!.onStart?.();
	await settleAll();
	// The list grows with each response.
	for (const {request, respond} of lists) {
		advance(partMilliseconds);
		respond(createPage(request.prefix === 'progress/0' ? ['progress/01'] : [], false));
		// eslint-disable-next-line no-await-in-loop -- Each part follows the previous one.
		await settleAll();
	}

	await loaded;
	return lists.filter(({request}) => request.prefix.startsWith('progress/')).map(({request}) => [request.prefix, request.after]);
};

// Guards against an owner that loses its lease because one long response holds back those to its renewals.
test('over a slow link the records of jobs are read in sixteen parts, otherwise in two', async t => {
	t.deepEqual(await readParts(10), [['progress/0', undefined], ['progress/', 'progress/01']]);
	t.deepEqual(await readParts(200), [...'0123456789abcdef'].map(digit => [`progress/${digit}`, undefined]));
});
