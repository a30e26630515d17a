/** Guards against tasks that start in an evacuated zone because the owner did not hear of the evacuation. */
import type {KeyValueStore, StoredEntry} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createEvacuationSource} from '../src/evacuation-source.js';
import {settle} from './support/builders.js';

type ListResult = Awaited<ReturnType<KeyValueStore['list']>>;
type WatchRequest = Parameters<KeyValueStore['watch']>[0];

const createEntry = (zone: string, modifiedRevision: number, value = '{}'): StoredEntry => ({key: `evacuations/${zone}`, value, modifiedRevision});
const createPage = (entries: readonly StoredEntry[], revision: number, more = false): ListResult => ok({entries, revision, more});
const lost: ListResult = err({kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'lost'});

/** A store whose listings wait for the test to complete them. */
const createFixture = () => {
	const lists: Array<(result: ListResult) => void> = [];
	const watches: WatchRequest[] = [];
	const unreadable: string[] = [];
	let zones: readonly string[] = [];
	let now = 0;
	let wallOffset = 0;
	const store: Pick<KeyValueStore, 'list' | 'watch'> = {
		async list() {
			return new Promise(resolve => {
				lists.push(resolve);
			});
		},
		watch(request) {
			watches.push(request);
			return {stop: () => undefined};
		},
	};
	const source = createEvacuationSource({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		store: store as KeyValueStore, evacuationMilliseconds: 5000, clock: {now: () => now, wallNow: () => now + wallOffset},
		recordCodec: {evacuationPrefix: 'evacuations/', decodeEvacuation: ({key, value}) => value === '{}' ? key.slice('evacuations/'.length) : undefined},
		onChange(next) {
			zones = [...next].toSorted((left, right) => left.localeCompare(right));
		},
		onMeasure: () => undefined, onFailure: () => undefined,
		onUnreadable(key) {
			unreadable.push(key);
		},
	});
	return {
		source, lists, watches, unreadable,
		zones: () => zones,
		advance(milliseconds: number): void {
			now += milliseconds;
			source.tick();
		},
		suspend(milliseconds: number): void {
			wallOffset += milliseconds;
		},
		async respond(index: number, result: ListResult): Promise<void> {
			lists[index]!(result);
			await settle();
		},
	};
};

// Guards against a new owner that starts tasks in a zone that was evacuated under the previous one.
test('after a change of the owner nothing is confirmed until the list has been read once', async t => {
	const {source, watches, respond, zones} = createFixture();
	t.false(source.isConfirmed());
	watches[0]!.onStart?.();
	t.false(source.isConfirmed());
	await respond(0, createPage([createEntry('north', 3)], 9));
	t.true(source.isConfirmed());
	t.deepEqual(zones(), ['north']);
	source.stop();
});

test('a change that the watch reports applies at once', async t => {
	const {source, watches, respond, zones} = createFixture();
	watches[0]!.onStart?.();
	await respond(0, createPage([], 1));
	watches[0]!.onChange([createEntry('north', 2)]);
	t.deepEqual(zones(), ['north']);
	watches[0]!.onDelete?.(['evacuations/north']);
	t.deepEqual(zones(), []);
	source.stop();
});

// Guards against a watch that stays silent for good without an error.
test('with a silent watch a later read tells of an evacuation and of its end', async t => {
	const {source, lists, respond, advance, zones} = createFixture();
	advance(0);
	await respond(0, createPage([], 1));
	advance(900);
	t.is(lists.length, 2);
	await respond(1, createPage([createEntry('north', 2)], 2));
	t.deepEqual(zones(), ['north']);
	advance(900);
	await respond(2, createPage([], 3));
	t.deepEqual(zones(), []);
	source.stop();
});

// Guards against starts in a zone whose evacuation the store has acknowledged while this instance could not read it.
test('while the store is down the list is no longer confirmed 1 s before the evacuation has to be in force', async t => {
	const {source, lists, respond, advance} = createFixture();
	advance(0);
	await respond(0, createPage([], 1));
	for (let elapsed = 0; elapsed < 3900; elapsed += 300) {
		advance(300);
		lists.at(-1)!(lost);
		// eslint-disable-next-line no-await-in-loop -- Each read follows the previous one.
		await settle();
	}

	t.true(source.isConfirmed());
	advance(101);
	t.false(source.isConfirmed());
	t.true(lists.length > 4);
	advance(900);
	await respond(lists.length - 1, createPage([], 1));
	t.true(source.isConfirmed());
	source.stop();
});

// Guards against an owner that waits for a response that never comes, and against a confirmation counted from a late response.
test('a read without a response does not hold back the next, and confirmations count from the request', async t => {
	const {source, lists, respond, advance} = createFixture();
	advance(0);
	advance(1000);
	t.is(lists.length, 2);
	advance(3100);
	t.is(lists.length, 3);
	await respond(0, createPage([], 1));
	t.false(source.isConfirmed());
	await respond(1, createPage([], 1));
	t.true(source.isConfirmed());
	source.stop();
});

// Guards against starts after a suspension, during which the monotonic clock stands still.
test('the list is not confirmed after a suspension', async t => {
	const {source, respond, advance, suspend} = createFixture();
	advance(0);
	await respond(0, createPage([], 1));
	suspend(4000);
	t.false(source.isConfirmed());
	source.stop();
});

// Guards against a response from before a change that undoes the change.
test('a late response neither removes a newer evacuation nor restores a cancelled one', async t => {
	const {source, watches, respond, advance, zones} = createFixture();
	watches[0]!.onStart?.();
	watches[0]!.onChange([createEntry('north', 5)]);
	await respond(0, createPage([], 4));
	t.deepEqual(zones(), ['north']);
	advance(900);
	watches[0]!.onDelete?.(['evacuations/north']);
	await respond(1, createPage([createEntry('north', 5)], 5));
	t.deepEqual(zones(), []);
	source.stop();
});

// Guards against an evacuation that is ignored: the watch reports the deletion of an earlier entry after a read has shown its successor.
test('a deletion that is reported late removes a newer evacuation only until the next read', async t => {
	const {source, watches, respond, advance, zones} = createFixture();
	watches[0]!.onStart?.();
	await respond(0, createPage([createEntry('north', 7)], 7));
	watches[0]!.onDelete?.(['evacuations/north']);
	watches[0]!.onChange([createEntry('north', 7)]);
	t.deepEqual(zones(), ['north']);
	watches[0]!.onDelete?.(['evacuations/north']);
	advance(900);
	await respond(1, createPage([createEntry('north', 7)], 7));
	t.deepEqual(zones(), ['north']);
	source.stop();
});

// Guards against an unreadable entry that evacuates a zone, hides others, ends an evacuation, or is logged at each read.
test('an unreadable entry is logged once and has no effect', async t => {
	const {source, respond, advance, zones, unreadable} = createFixture();
	advance(0);
	await respond(0, createPage([createEntry('north', 2, 'x'), createEntry('south', 3)], 3));
	t.deepEqual(zones(), ['south']);
	advance(900);
	await respond(1, createPage([createEntry('north', 2, 'x'), createEntry('south', 4, 'x')], 4));
	t.deepEqual(zones(), ['south']);
	t.deepEqual(unreadable, ['evacuations/north', 'evacuations/south']);
	t.true(source.isConfirmed());
	source.stop();
});

// Guards against zones on a later page that are taken for cancelled.
test('all pages are read', async t => {
	const {source, respond, advance, zones} = createFixture();
	advance(0);
	await respond(0, createPage([createEntry('north', 2)], 3, true));
	t.deepEqual(zones(), []);
	await respond(1, createPage([createEntry('south', 3)], 3));
	t.deepEqual(zones(), ['north', 'south']);
	source.stop();
});
