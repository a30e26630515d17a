import type {StoredEntry} from '@turmericbay/types';
import test from 'ava';
import {ok} from 'neverthrow';
import {createPendingCounts} from '../src/pending-counts.js';

const entry = (id: string, queue: string): StoredEntry => ({key: `turmericbay/jobs/${id}`, value: JSON.stringify({id, queue}), modifiedRevision: 1});

// Guards against instances that list all jobs for every call while the owner does not respond, and so occupy their links and the store.
test('calls for the counts of all queues share one listing', async t => {
	let now = 0;
	let listings = 0;
	const store = {
		async list() {
			listings += 1;
			return ok({entries: [entry('1', 'a'), entry('2', 'a'), entry('3', 'b')], more: false, revision: 1});
		},
	};
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
	const counts = createPendingCounts({store: store as unknown as Parameters<typeof createPendingCounts>[0]['store'], clock: {now: () => now, wallNow: () => now}});
	t.deepEqual(await Promise.all([counts.count('a'), counts.count('b'), counts.count('c')]), [2, 1, 0]);
	now = 900;
	t.is(await counts.count('a'), 2);
	t.is(listings, 1);
	now = 1000;
	t.is(await counts.count('b'), 1);
	t.is(listings, 2);
});
