import test from 'ava';
import {ok} from 'neverthrow';
import {createEmptyState, encodeState} from '../src/index.js';
import {createStateStore} from '../src/state-store.js';

const createStore = (values: string[]) => {
	const events: string[] = [];
	let writes = 0;
	const states = createStateStore({
		key: 'fleet',
		report(event) {
			events.push(event.type);
		},
		store: {
			read: async () => ok({key: 'fleet', value: values.shift() ?? '', modifiedRevision: 1}),
			async transact({operations}) {
				if (operations.length === 0) {
					return ok({type: 'condition-failed', revision: 2});
				}

				writes++;
				return ok({type: 'committed', revision: 2});
			},
		},
	});
	return {states, events, writes: () => writes};
};

const encodeRevision = (revision: number) => encodeState({...createEmptyState(), revision});

// Guards against routing by an older state, for instance after the store was restored from a backup.
test('an older state in the store is reported, ignored and not overwritten', async t => {
	const {states, events, writes} = createStore([encodeRevision(5), encodeRevision(4)]);
	t.true(await states.refresh());
	t.false(await states.refresh());
	t.is(states.current()?.revision, 5);
	t.false(await states.replace({...createEmptyState(), revision: 6}));
	t.is(writes(), 0);
	t.deepEqual(events, ['state-went-back']);
});

// Guards against treating a value of another program version as an empty ledger and overwriting it.
test('a malformed state is reported and not overwritten', async t => {
	const {states, events, writes} = createStore(['{"revision": 5}', 'no json']);
	t.false(await states.refresh());
	t.false(await states.refresh());
	t.is(states.current(), undefined);
	t.false(await states.replace({...createEmptyState(), revision: 6}));
	t.is(writes(), 0);
	t.deepEqual(events, ['state-malformed', 'state-malformed']);
});

// Guards against reading a value of hundreds of kilobytes every second although it has not changed.
test('an unchanged state is not read again', async t => {
	let reads = 0;
	const states = createStateStore({
		key: 'fleet',
		report: () => undefined,
		store: {
			async read() {
				reads++;
				return ok({key: 'fleet', value: encodeRevision(5), modifiedRevision: 1});
			},
			transact: async ({conditions}) => ok({type: conditions[0]?.modifiedRevision === 1 ? 'committed' : 'condition-failed', revision: 2}),
		},
	});
	t.true(await states.refresh());
	t.true(await states.refresh());
	t.is(reads, 1);
	t.is(states.current()?.revision, 5);
});
