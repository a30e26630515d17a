/** The partition records as this process last read them. */
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import type {KeyValueStore, ProcessIdentity, StoreError} from '@turmericbay/types';
import {partitionCount} from './key.js';
import {decodeRecord, parsePartitionKey, partitionsPrefix} from './partition-record.js';
import type {StoredRecord} from './partition-record.js';

export type PartitionRecordCache = {
	readonly byPartition: ReadonlyMap<number, StoredRecord>;
	ownerOf(partition: number): ProcessIdentity | undefined;
	/** Replaces a record after this process has written it. */
	set(partition: number, stored: StoredRecord): void;
	/** Reads all records in one call. */
	read(): Promise<Result<{readonly bytes: number}, StoreError>>;
};

export const createPartitionRecordCache = (options: {
	readonly store: KeyValueStore;
	readonly markPreviouslyListed: ((identity: ProcessIdentity) => void) | undefined;
}): PartitionRecordCache => {
	let byPartition = new Map<number, StoredRecord>();
	return {
		get byPartition() {
			return byPartition;
		},
		ownerOf: partition => byPartition.get(partition)?.record.owner,
		set(partition, stored) {
			byPartition.set(partition, stored);
		},
		async read() {
			const result = await options.store.list({prefix: partitionsPrefix, limit: partitionCount});
			if (result.isErr()) {
				return err(result.error);
			}

			const next = new Map<number, StoredRecord>();
			let bytes = 0;
			for (const {key, value, modifiedRevision} of result.value.entries) {
				const partition = parsePartitionKey(key);
				// Keeps the last readable content of a malformed record; a missing one would be created again and overwrite it.
				const record = decodeRecord(value) ?? byPartition.get(partition ?? -1)?.record;
				bytes += value.length;
				if (partition !== undefined && record) {
					next.set(partition, {record, revision: modifiedRevision});
					options.markPreviouslyListed?.(record.owner);
				}
			}

			byPartition = next;
			return ok({bytes});
		},
	};
};
