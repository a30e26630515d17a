/**
 * Group commit for the writes of the owner: many changes in one transaction, one transaction at a
 * time. Each transaction is conditional on the previous one, so a write whose response was lost
 * cannot be applied after a newer one, and a previous owner can write nothing.
 */
import type {KeyValueStore, StoreOperation} from '@turmericbay/types';
import type {CommitRecord} from './records.js';
import {commitKey, parseCommit} from './records.js';

/** The platform limits a transaction to 32 entries; the condition on the commit key and its new value take two. */
const operationsPerCommit = 30;
const firstRetryMilliseconds = 50;
const longestRetryMilliseconds = 1000;

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
	/** Newest operation for each key, in ascending order of its position. */
	const queuedOperations = new Map<string, {readonly operation: StoreOperation; readonly position: number}>();
	let lastPosition = 0;
	/** Each resolves once all operations up to its position are stored. */
	let waiters: Array<{position: number; readonly resolve: () => void}> = [];

	const getKey = (operation: StoreOperation): string => operation.type === 'delete-prefix' ? operation.prefix : operation.key;

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

	const drainQueue = async (): Promise<void> => {
		if (isWriting) {
			return;
		}

		isWriting = true;
		while (queuedOperations.size > 0 && !isEnded) {
			const batch = [...queuedOperations.entries()].slice(0, operationsPerCommit);
			for (const [key] of batch) {
				queuedOperations.delete(key);
			}

			// eslint-disable-next-line no-await-in-loop -- One transaction at a time.
			if (!await writeBatch(batch.map(([, {operation}]) => operation))) {
				if (!isEnded) {
					isEnded = true;
					onFenced();
				}

				break;
			}

			const [oldest] = queuedOperations.values();
			waiters = waiters.filter(waiter => {
				const isStored = oldest === undefined || waiter.position < oldest.position;
				if (isStored) {
					waiter.resolve();
				}

				return !isStored;
			});
		}

		isWriting = false;
	};

	const enqueue = (operation: StoreOperation): void => {
		const key = getKey(operation);
		const older = queuedOperations.get(key);
		lastPosition += 1;
		// A newer operation replaces a queued one for the same key and moves to the end of the queue; waiters for the older one wait for the newer.
		queuedOperations.delete(key);
		queuedOperations.set(key, {operation, position: lastPosition});
		if (older) {
			for (const waiter of waiters) {
				waiter.position = waiter.position >= older.position ? lastPosition : waiter.position;
			}
		}
	};

	const flush = async (): Promise<void> => {
		if (queuedOperations.size === 0 && !isWriting) {
			return;
		}

		const stored = new Promise<void>(resolve => {
			waiters.push({position: lastPosition, resolve});
		});
		void drainQueue();
		await stored;
	};

	return {
		/** Resolves once all operations are stored. Never resolves if the owner is fenced first. */
		async commit(operations: readonly StoreOperation[]): Promise<void> {
			for (const operation of operations) {
				enqueue(operation);
			}

			await flush();
		},
		/** Resolves once all operations of earlier calls of `commit` are stored. */
		flush,
		end(): void {
			isEnded = true;
		},
	};
};
