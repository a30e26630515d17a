/** Minimal in-memory store with revisions; every method applies immediately. */
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {maximumValueBytes, StoreErrorKind} from '@turmericbay/types';
import type {
	KeyValueStore, StoreCondition, StoredEntry, StoreError, StoreListing, StoreOperation, TransactionOutcome,
} from '@turmericbay/types';

export const storeError = (kind: StoreErrorKind): StoreError => ({kind, code: 'STORE_TEST', message: kind});

export type CommitListener = (entries: readonly StoredEntry[]) => void;

export const createMemory = (onCommit: CommitListener = () => undefined) => {
	const entries = new Map<string, StoredEntry>();
	let revision = 1;

	const apply = (operation: StoreOperation): void => {
		if (operation.type === 'put') {
			entries.set(operation.key, {key: operation.key, value: operation.value, modifiedRevision: revision});
		} else if (operation.type === 'delete') {
			entries.delete(operation.key);
		}
	};

	return {
		read: (key: string): StoredEntry | undefined => entries.get(key),
		list({prefix, limit, after = ''}: {readonly prefix: string; readonly limit: number; readonly after?: string}): StoreListing {
			const found = [...entries.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1);
			return {entries: found.slice(0, limit), revision, more: found.length > limit};
		},
		transact({conditions, operations}: {readonly conditions: readonly StoreCondition[]; readonly operations: readonly StoreOperation[]}): Result<TransactionOutcome, StoreError> {
			if (operations.some(operation => operation.type === 'put' && operation.value.length > maximumValueBytes)) {
				return err(storeError(StoreErrorKind.TooLarge));
			}

			if (conditions.some(({key, modifiedRevision}) => (entries.get(key)?.modifiedRevision ?? 0) !== modifiedRevision)) {
				return ok({type: 'condition-failed', revision});
			}

			if (operations.length > 0) {
				revision++;
				for (const operation of operations) {
					apply(operation);
				}

				onCommit([...entries.values()].filter(({modifiedRevision}) => modifiedRevision === revision));
			}

			return ok({type: 'committed', revision});
		},
	};
};

export type Memory = ReturnType<typeof createMemory>;

/** Store client on a memory; `beforeAnswer` runs between the effect of a call and its response. */
export const createMemoryStore = (memory: Memory, beforeAnswer: () => void = () => undefined): KeyValueStore => {
	const unused = async () => err(storeError(StoreErrorKind.NotApplied));
	const after = <Value>(value: Value): Value => {
		beforeAnswer();
		return value;
	};

	return {
		read: async ({key}) => after(ok(memory.read(key))),
		list: async options => ok(memory.list(options)),
		transact: async options => after(memory.transact(options)),
		grantLease: unused,
		renewLease: unused,
		revokeLease: unused,
		watch: () => ({stop: () => undefined}),
	};
};
