import type {KeyValueStore, StoreOperation, TransactionOutcome} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createCommitQueue} from '../src/commit-queue.js';
import {settle} from './support/builders.js';

type Transaction = {readonly operations: readonly StoreOperation[]; respond(outcome: TransactionOutcome): void; loseResponse(): void};

/** A store whose transactions wait for the test to complete them. */
const createManualStore = () => {
	const transactions: Transaction[] = [];
	const store: Pick<KeyValueStore, 'transact' | 'read'> = {
		async transact({operations}) {
			return new Promise(resolve => {
				transactions.push({
					operations,
					respond(outcome) {
						resolve(ok(outcome));
					},
					loseResponse() {
						resolve(err({kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'lost'}));
					},
				});
			});
		},
		async read() {
			return ok(undefined);
		},
	};
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that the commit queue uses.
	return {store: store as KeyValueStore, transactions};
};

const put = (key: string, value: string): StoreOperation => ({type: 'put', key, value});

const createTestQueue = (store: KeyValueStore, onFenced: () => void = () => undefined) => createCommitQueue({
	store, epoch: 1, revision: 1, onFenced, onFailure: () => undefined, wait: settle,
});

// Guards against ended runs that are acknowledged to a worker before their result is stored: after a change of the owner the task ran twice.
test('a flush waits for a write that an earlier call has started', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	void commitQueue.commit([put('a', '1')]);
	let isFlushed = false;
	const flushed = commitQueue.flush().then(() => {
		isFlushed = true;
	});
	await settle();
	t.false(isFlushed);
	transactions[0]!.respond({type: 'committed', revision: 2});
	await flushed;
	t.true(isFlushed);
});

// Guards against a commit that resolves although only the older value of its key is stored.
test('a newer value of a key whose older value is being written is stored separately, and its commit waits for that', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	void commitQueue.commit([put('a', '1')]);
	let isStored = false;
	const stored = commitQueue.commit([put('a', '2')]).then(() => {
		isStored = true;
	});
	transactions[0]!.respond({type: 'committed', revision: 2});
	await settle();
	t.false(isStored);
	transactions[1]!.respond({type: 'committed', revision: 3});
	await stored;
	t.is(transactions.length, 2);
});

// Guards against a commit that resolves too early, or never, because its operation is no longer in the queue.
test('a commit whose value is replaced in the queue resolves once the newer value is stored', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	void commitQueue.commit([put('first', '1')]);
	let isStored = false;
	const stored = commitQueue.commit([put('a', '1')]).then(() => {
		isStored = true;
	});
	void commitQueue.commit([put('a', '2')]);
	transactions[0]!.respond({type: 'committed', revision: 2});
	await settle();
	t.false(isStored);
	t.deepEqual(transactions[1]!.operations[0], put('a', '2'));
	transactions[1]!.respond({type: 'committed', revision: 3});
	await stored;
	t.true(isStored);
});

// Guards against a previous owner that does not notice that another one has taken over.
test('a write of another owner fences the queue', async t => {
	const {store, transactions} = createManualStore();
	let isFenced = false;
	const commitQueue = createTestQueue(store, () => {
		isFenced = true;
	});
	void commitQueue.commit([put('a', '1')]);
	transactions[0]!.respond({type: 'condition-failed', revision: 0});
	await settle();
	t.true(isFenced);
});

// Guards against changes that are lost if the write was not applied.
test('a write whose response was lost is retried', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	const stored = commitQueue.commit([put('a', '1')]);
	transactions[0]!.loseResponse();
	await settle();
	await settle();
	t.deepEqual(transactions[1]!.operations, transactions[0]!.operations);
	transactions[1]!.respond({type: 'committed', revision: 2});
	await stored;
	t.is(transactions.length, 2);
});

const remove = (key: string): StoreOperation => ({type: 'delete', key});
/** As many operations as fit into one transaction beside the commit key. */
const fullTransaction = Array.from({length: 30}, (_, index) => put(`other-${index}`, ''));

/** The operations on keys of one letter, in the order of their transactions. */
const listStored = (transactions: readonly Transaction[]): StoreOperation[] => transactions.flatMap(({operations}) =>
	operations.filter(operation => operation.type === 'delete' || (operation.type === 'put' && operation.key.length === 1)));

const respondToAll = async (transactions: readonly Transaction[]): Promise<void> => {
	for (const [index, transaction] of transactions.entries()) {
		transaction.respond({type: 'committed', revision: index + 2});
		// eslint-disable-next-line no-await-in-loop -- One transaction at a time.
		await settle();
	}
};

// Guards against tasks that run again after a change of the owner: the record of their run was deleted in an earlier transaction than the one that stored their end.
test('a newer value of a queued key is not stored after operations that were queued in between', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	void commitQueue.commit([put('first', '')]);
	void commitQueue.commit([put('p', 'one task done')]);
	void commitQueue.commit([remove('s')]);
	void commitQueue.commit(fullTransaction);
	void commitQueue.commit([put('p', 'two tasks done')]);
	await respondToAll(transactions);
	t.deepEqual(listStored(transactions), [put('p', 'two tasks done'), remove('s')]);
});

// Guards against the same if the job ends: the deletion of its progress replaced the queued progress, and came in a later transaction.
test('the deletion of a key does not drop a queued value that has to be stored first', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	void commitQueue.commit([put('first', '')]);
	void commitQueue.commit([put('p', 'all tasks done')]);
	void commitQueue.commit([remove('s')]);
	void commitQueue.commit(fullTransaction);
	void commitQueue.commit([put('r', 'completed'), remove('p')]);
	await respondToAll(transactions);
	t.deepEqual(listStored(transactions), [put('p', 'all tasks done'), remove('s'), put('r', 'completed'), remove('p')]);
});

// Guards against a job whose result is stored although its record is still there: the next owner ran its tasks again.
test('the operations of one commit are stored in one transaction', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	void commitQueue.commit([put('first', '')]);
	void commitQueue.commit(fullTransaction.slice(1));
	void commitQueue.commit([put('r', 'completed'), remove('p')]);
	await respondToAll(transactions);
	t.deepEqual(transactions.map(({operations}) => operations.length - 1), [1, 29, 2]);
});

// Guards against a transaction that changes a key twice.
test('only the newest operation for a key is part of a transaction', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	void commitQueue.commit([put('first', '')]);
	void commitQueue.commit([put('p', 'all tasks done')]);
	void commitQueue.commit([put('r', 'completed'), remove('p')]);
	await respondToAll(transactions);
	t.deepEqual(listStored(transactions), [remove('p'), put('r', 'completed')]);
});

// Guards against a transaction that never ends within the store's deadline on a slow link: the changes of all jobs waited for it.
test('large values are spread over several transactions, in whole units', async t => {
	const {store, transactions} = createManualStore();
	const commitQueue = createTestQueue(store);
	const large = 'x'.repeat(50_000);
	void commitQueue.commit([put('first', '')]);
	void commitQueue.commit([put('a', large), put('b', large)]);
	void commitQueue.commit([put('c', large), put('d', large), put('e', large), put('f', large)]);
	void commitQueue.commit([put('g', large)]);
	let isStored = false;
	void commitQueue.commit([remove('h')]).then(() => {
		isStored = true;
	});
	await respondToAll(transactions);
	t.deepEqual(transactions.map(({operations}) => operations.slice(0, -1).map(operation => operation.type === 'delete-prefix' ? '' : operation.key).join('')), ['first', 'ab', 'cdef', 'gh']);
	t.true(isStored);
});
