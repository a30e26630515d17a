/** Makes the store calls of the ledger and maps their results to outcomes. */
import {StoreErrorKind} from '@turmericbay/types';
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import type {LedgerCommand, LedgerOutcome} from './ledger.js';
import {decodeShard, shardKey} from './shard.js';
import type {ShardTable} from './shard.js';

export type GrantCounters = {
	reads: number;
	writes: number;
	conflicts: number;
	failures: number;
	bytesWritten: number;
	bytesRead: number;
	transfersRequested: number;
};

const outcomeOfError = (error: StoreError): LedgerOutcome => {
	switch (error.kind) {
		case StoreErrorKind.NotApplied:
		case StoreErrorKind.TooLarge: {
			return {type: 'failed'};
		}

		case StoreErrorKind.Unknown:
		case StoreErrorKind.Malformed: {
			return {type: 'unknown'};
		}
	}
};

export const createShardStore = (options: {readonly store: KeyValueStore; readonly counters: GrantCounters}) => {
	const {store, counters} = options;
	let error: StoreError | undefined;

	const readShard = async (shard: number): Promise<LedgerOutcome> => {
		counters.reads += 1;
		const result = await store.read({key: shardKey(shard)});
		if (result.isErr()) {
			error = result.error;
			return outcomeOfError(result.error);
		}

		const entry = result.value;
		counters.bytesRead += entry?.value.length ?? 0;
		const table = entry ? decodeShard(entry.value) : new Map() as ShardTable;
		if (!table) {
			error = {kind: StoreErrorKind.Malformed, code: 'STORE_GRANTS_MALFORMED', message: `the value of ${shardKey(shard)} cannot be read; it is left alone`};
			return {type: 'failed'};
		}

		error = undefined;
		return {type: 'read', table, revision: entry?.modifiedRevision ?? 0};
	};

	const writeShard = async (command: LedgerCommand & {type: 'write'}): Promise<LedgerOutcome> => {
		const key = shardKey(command.shard);
		counters.writes += 1;
		counters.bytesWritten += command.value.length;
		const result = await store.transact({
			conditions: [{key, modifiedRevision: command.revision}],
			operations: [{type: 'put', key, value: command.value}],
		});
		if (result.isErr()) {
			error = result.error;
			return outcomeOfError(result.error);
		}

		error = undefined;
		return result.value.type === 'committed' ? {type: 'committed', revision: result.value.revision} : {type: 'conflict'};
	};

	return {
		run: async (command: LedgerCommand): Promise<LedgerOutcome> =>
			command.type === 'read' ? readShard(command.shard) : writeShard(command),
		lastError: () => error,
	};
};
