import type {KeyValueStore, StoreOperation, TransactionOutcome} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createCommitQueue} from '../src/commit-queue.js';
import {settle} from './support/builders.js';

type Transaction = {readonly operations: readonly StoreOperation[]; answer(outcome: TransactionOutcome): void; lose(): void};

/** A store whose transactions wait for the test to answer them. */
const createManualStore = () => {
	const transactions: Transaction[] = [];
	const store: Pick<KeyValueStore, 'transact' | 'read'> = {
		async transact({operations}) {
			return new Promise(resolve => {
				transactions.push({
					operations,
					answer(outcome) {
						resolve(ok(outcome));
					},
					lose() {
						resolve(err({kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'lost'}));
					},
				});
			});
		},
		async read() {
			return ok(undefined);
		},
	};
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The members that commits use.
	return {store: store as KeyValueStore, transactions};
};

const put = (key: string, value: string): StoreOperation => ({type: 'put', key, value});

const createTestCommits = (store: KeyValueStore, onFenced: () => void = () => undefined) => createCommitQueue({
	store, epoch: 1, revision: 1, onFenced, onFailure: () => undefined, wait: settle,
});

// Guards against ends that are acknowledged to a worker while the write of their task is still under way: the task ran twice after a change of the owner.
test('a flush waits for a write that an earlier call has begun', async t => {
	const {store, transactions} = createManualStore();
	const commits = createTestCommits(store);
	void commits.commit([put('a', '1')]);
	let isFlushed = false;
	const flushed = commits.flush().then(() => {
		isFlushed = true;
	});
	await settle();
	t.false(isFlushed);
	transactions[0]!.answer({type: 'committed', revision: 2});
	await flushed;
	t.true(isFlushed);
});

test('a newer value of a key that is being written is waited for by itself', async t => {
	const {store, transactions} = createManualStore();
	const commits = createTestCommits(store);
	void commits.commit([put('a', '1')]);
	let isStored = false;
	const stored = commits.commit([put('a', '2')]).then(() => {
		isStored = true;
	});
	transactions[0]!.answer({type: 'committed', revision: 2});
	await settle();
	t.false(isStored);
	transactions[1]!.answer({type: 'committed', revision: 3});
	await stored;
	t.is(transactions.length, 2);
});

test('who waits for a value that was replaced in the queue waits for the newer one', async t => {
	const {store, transactions} = createManualStore();
	const commits = createTestCommits(store);
	void commits.commit([put('first', '1')]);
	let isStored = false;
	const stored = commits.commit([put('a', '1')]).then(() => {
		isStored = true;
	});
	void commits.commit([put('a', '2')]);
	transactions[0]!.answer({type: 'committed', revision: 2});
	await settle();
	t.false(isStored);
	t.deepEqual(transactions[1]!.operations[0], put('a', '2'));
	transactions[1]!.answer({type: 'committed', revision: 3});
	await stored;
	t.true(isStored);
});

test('another owner\'s write ends the commits', async t => {
	const {store, transactions} = createManualStore();
	let isFenced = false;
	const commits = createTestCommits(store, () => {
		isFenced = true;
	});
	void commits.commit([put('a', '1')]);
	transactions[0]!.answer({type: 'condition-failed', revision: 0});
	await settle();
	t.true(isFenced);
});

test('a write without an answer is sent again', async t => {
	const {store, transactions} = createManualStore();
	const commits = createTestCommits(store);
	const stored = commits.commit([put('a', '1')]);
	transactions[0]!.lose();
	await settle();
	await settle();
	t.deepEqual(transactions[1]!.operations, transactions[0]!.operations);
	transactions[1]!.answer({type: 'committed', revision: 2});
	await stored;
	t.is(transactions.length, 2);
});
