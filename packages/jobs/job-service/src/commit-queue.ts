/**
 * Group commit for the writes of the owner: many changes in one transaction, one transaction at a
 * time. Each transaction is conditional on the previous one, so a write whose response was lost
 * cannot be applied after a newer one, and a previous owner can write nothing.
 */
import {Buffer} from 'node:buffer';
import type {KeyValueStore, StoreOperation} from '@turmericbay/types';
import type {CommitRecord} from './records.js';
import {commitKey, parseCommit} from './records.js';

/** The platform limits a transaction to 32 entries; the condition on the commit key and its new value take two. */
const operationsPerCommit = 30;
/** Keys and values of one transaction, except that a single unit may be larger: over a slow link, a transaction with many large values would not end within the store's deadline, however often it is repeated. */
const bytesPerCommit = 131_072;
const firstRetryMilliseconds = 50;
const longestRetryMilliseconds = 1000;

type QueuedOperation = {
	operation: StoreOperation;
	readonly position: number;
	/** Operations of one unit are stored in one transaction. */
	readonly unit: number;
};

const getKey = (operation: StoreOperation): string => operation.type === 'delete-prefix' ? operation.prefix : operation.key;

/** Number of operations at the head of the queue that fit into one transaction: whole units, and at least one. */
const findBatchEnd = (queue: readonly QueuedOperation[]): number => {
	let bytes = 0;
	let end = 0;
	for (const [index, {operation, unit}] of queue.entries()) {
		if (index > 0 && unit !== queue[index - 1]!.unit) {
			end = index;
		}

		bytes += getKey(operation).length + (operation.type === 'put' ? Buffer.byteLength(operation.value) : 0);
		const isFull = index >= operationsPerCommit || bytes > bytesPerCommit;
		if (isFull && end > 0) {
			return end;
		}
	}

	return queue.length;
};

export type CommitQueue = ReturnType<typeof createCommitQueue>;

export const createCommitQueue = (options: {
	readonly store: KeyValueStore;
	readonly epoch: number;
	readonly revision: number;
	/** Called when another owner has written. */
	readonly onFenced: () => void;
	readonly onFailure: (message: string) => void;
	readonly wait: (milliseconds: number) => Promise<void>;
}) => {
	const {store, epoch, onFenced, onFailure, wait} = options;
	let {revision} = options;
	let sequence = 0;
	let isEnded = false;
	let isWriting = false;
	let queue: QueuedOperation[] = [];
	/** The newest queued operation for each key. */
	const newestByKey = new Map<string, QueuedOperation>();
	let lastPosition = 0;
	/** All operations up to this position are stored. */
	let storedPosition = 0;
	let lastUnit = 0;
	/** Each resolves once all operations up to its position are stored. */
	let waiters: Array<{readonly position: number; readonly resolve: () => void}> = [];

	/** Retries one batch until its outcome is known. Returns false if this owner is fenced. */
	const writeBatch = async (batch: readonly StoreOperation[]): Promise<boolean> => {
		let operations = batch;
		sequence += 1;
		let delay = firstRetryMilliseconds;
		for (;;) {
			if (isEnded) {
				return false;
			}

			// eslint-disable-next-line no-await-in-loop -- One transaction at a time.
			const written = await store.transact({
				conditions: [{key: commitKey, modifiedRevision: revision}],
				operations: [...operations, {type: 'put', key: commitKey, value: JSON.stringify({epoch, sequence} satisfies CommitRecord)}],
			});
			if (written.isOk() && written.value.type === 'committed') {
				revision = written.value.revision;
				return true;
			}

			if (written.isOk()) {
				// The commit key was changed by an earlier attempt at this batch or by another owner.
				// eslint-disable-next-line no-await-in-loop -- One transaction at a time.
				const current = await store.read({key: commitKey});
				if (current.isOk()) {
					const record = current.value && parseCommit(current.value);
					if (record?.epoch !== epoch) {
						return false;
					}

					revision = current.value!.modifiedRevision;
					if (record.sequence === sequence) {
						return true;
					}

					continue;
				}
			} else if (written.error.code === 'STORE_LEASE_NOT_FOUND') {
				// Without the lease the entries do not expire; losing their values would be worse.
				operations = operations.map(operation => operation.type === 'put' ? {type: 'put', key: operation.key, value: operation.value} : operation);
				continue;
			} else {
				onFailure(written.error.message);
			}

			// eslint-disable-next-line no-await-in-loop -- One transaction at a time.
			await wait(delay);
			delay = Math.min(longestRetryMilliseconds, delay * 2);
		}
	};

	/** Removes the next operations from the queue: whole units, and the newest operation for each key among them. `position` is that of the last one. */
	const takeBatch = (): {readonly operations: readonly StoreOperation[]; readonly position: number} => {
		const end = findBatchEnd(queue);
		const taken = queue.slice(0, end);
		const batch = new Map(taken.map(queued => [getKey(queued.operation), queued]));
		queue = queue.slice(end);
		for (const [key, queued] of batch) {
			if (newestByKey.get(key) === queued) {
				newestByKey.delete(key);
			}
		}

		return {operations: [...batch.values()].map(({operation}) => operation), position: taken.at(-1)!.position};
	};

	const markStored = (position: number): void => {
		storedPosition = position;
		waiters = waiters.filter(waiter => {
			const isStored = waiter.position <= position;
			if (isStored) {
				waiter.resolve();
			}

			return !isStored;
		});
	};

	const drainQueue = async (): Promise<void> => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		while (queue.length > 0 && !isEnded) {
			const {operations, position} = takeBatch();
			// eslint-disable-next-line no-await-in-loop -- One transaction at a time.
			if (!await writeBatch(operations)) {
				if (!isEnded) {
					isEnded = true;
					onFenced();
				}

				break;
			}

			markStored(position);
		}

		isWriting = false;
	};

	const enqueue = (operation: StoreOperation, unit: number): void => {
		const key = getKey(operation);
		const newest = newestByKey.get(key);
		if (newest?.operation.type === 'put' && operation.type === 'put') {
			// Takes the place of the older value: operations queued after that one may rely on it.
			newest.operation = operation;
			return;
		}

		lastPosition += 1;
		const queued: QueuedOperation = {operation, position: lastPosition, unit};
		queue.push(queued);
		newestByKey.set(key, queued);
	};

	const flush = async (): Promise<void> => {
		// An empty queue is no proof: its last operations may have left it without being stored, when the owner ended.
		if (storedPosition === lastPosition) {
			return;
		}

		const stored = new Promise<void>(resolve => {
			waiters.push({position: lastPosition, resolve});
		});
		void drainQueue();
		await stored;
	};

	return {
		/** Stores the operations in one transaction if they fit into one, after those of earlier calls. Resolves once they and those of all earlier calls are stored; never if the queue ends or the owner is fenced first. */
		async commit(operations: readonly StoreOperation[]): Promise<void> {
			for (const [index, operation] of operations.entries()) {
				lastUnit += index % operationsPerCommit === 0 ? 1 : 0;
				enqueue(operation, lastUnit);
			}

			await flush();
		},
		/** Resolves once all operations of earlier calls of `commit` are stored; never if the queue ends or the owner is fenced first. */
		flush,
		/** Starts no further transaction. Returns the number of operations that are not known to be stored. */
		end(): number {
			isEnded = true;
			return lastPosition - storedPosition;
		},
	};
};
