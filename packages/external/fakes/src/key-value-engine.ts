/**
 * State machine of an etcd-like key-value service. Keys and values are byte
 * strings (one character per byte), so that keys sort by bytes as in etcd.
 * Time comes from the clock of the options; leases expire when an operation or
 * `expireLeases` reads it.
 */
import type {Clock} from '@turmericbay/types';
import {maximumValueBytes, millisecondsPerSecond} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

/** Status codes of gRPC that the service returns. */
export enum GrpcStatus {
	InvalidArgument = 3,
	NotFound = 5,
}

export type EngineError = {readonly status: GrpcStatus; readonly message: string};

export type EngineEntry = {
	readonly key: string;
	readonly value: string;
	readonly createRevision: number;
	readonly modifiedRevision: number;
	/** Number of writes since the key was created. */
	readonly version: number;
	readonly leaseId: string;
};

/** Keys from `key` up to but not including `rangeEnd`; one key if `rangeEnd` is empty. */
export type KeyRange = {readonly key: string; readonly rangeEnd: string};

export type EngineOperation
	= | {readonly type: 'put'; readonly key: string; readonly value: string; readonly leaseId: string}
		| {readonly type: 'delete-range'; readonly range: KeyRange};

export type EngineCompare = {readonly key: string; readonly modifiedRevision: number};

export type EngineEvent = {readonly type: 'put' | 'delete'; readonly entry: EngineEntry};
export type EngineListener = (events: readonly EngineEvent[], revision: number) => void;

type Lease = {expiresAt: number; readonly timeToLiveSeconds: number; readonly keys: Set<string>};
type Watcher = {readonly range: KeyRange; readonly listener: EngineListener};

/** Limit for operations in one transaction; the default of etcd. */
export const maximumTransactionOperations = 128;

/** Lease identifier of keys without a lease. */
export const noLease = '0';

const unboundedRangeEnd = '\0';

/** The end of the range that holds all keys with this prefix. */
export const getPrefixRangeEnd = (prefix: string): string => {
	for (let index = prefix.length - 1; index >= 0; index--) {
		const code = prefix.codePointAt(index)!;
		if (code < 255) {
			return prefix.slice(0, index) + String.fromCodePoint(code + 1);
		}
	}

	return unboundedRangeEnd;
};

const isInRange = (key: string, range: KeyRange): boolean => {
	if (range.rangeEnd === '') {
		return key === range.key;
	}

	return key >= range.key && (range.rangeEnd === unboundedRangeEnd || key < range.rangeEnd);
};

const checkOperations = (operations: readonly EngineOperation[], leases: ReadonlyMap<string, Lease>): EngineError | undefined => {
	const invalid = (message: string): EngineError => ({status: GrpcStatus.InvalidArgument, message: `etcdserver: ${message}`});
	if (operations.length > maximumTransactionOperations) {
		return invalid('too many operations in txn request');
	}

	const putKeys = new Set<string>();
	for (const operation of operations) {
		if (operation.type !== 'put') {
			continue;
		}

		if (operation.value.length > maximumValueBytes) {
			return invalid('request is too large');
		}

		if (putKeys.has(operation.key)) {
			return invalid('duplicate key given in txn request');
		}

		if (operation.leaseId !== noLease && !leases.has(operation.leaseId)) {
			return {status: GrpcStatus.NotFound, message: 'etcdserver: requested lease not found'};
		}

		putKeys.add(operation.key);
	}

	return undefined;
};

export type KeyValueEngine = ReturnType<typeof createKeyValueEngine>;

export const createKeyValueEngine = ({clock}: {readonly clock: Clock}) => {
	const entries = new Map<string, EngineEntry>();
	const leases = new Map<string, Lease>();
	const watchers = new Set<Watcher>();
	let sortedKeys: string[] | undefined;
	let revision = 1;
	let lastLeaseId = 0;

	const findKeysInRange = (range: KeyRange): string[] => {
		if (range.rangeEnd === '') {
			return entries.has(range.key) ? [range.key] : [];
		}

		sortedKeys ??= [...entries.keys()].toSorted((a, b) => a < b ? -1 : 1);
		return sortedKeys.filter(key => isInRange(key, range));
	};

	const put = (operation: EngineOperation & {type: 'put'}): EngineEvent => {
		const {key, value, leaseId} = operation;
		const previous = entries.get(key);
		const entry = {
			key, value, leaseId, createRevision: previous?.createRevision ?? revision, modifiedRevision: revision, version: (previous?.version ?? 0) + 1,
		};
		leases.get(previous?.leaseId ?? noLease)?.keys.delete(key);
		leases.get(leaseId)?.keys.add(key);
		sortedKeys = previous === undefined ? undefined : sortedKeys;
		entries.set(key, entry);
		return {type: 'put', entry};
	};

	const remove = (key: string): EngineEvent => {
		const previous = entries.get(key)!;
		leases.get(previous.leaseId)?.keys.delete(key);
		entries.delete(key);
		sortedKeys = undefined;
		return {
			type: 'delete', entry: {
				...previous, value: '', modifiedRevision: revision, createRevision: 0, version: 0,
			},
		};
	};

	const notify = (events: readonly EngineEvent[]): void => {
		for (const {range, listener} of watchers) {
			const matching = events.filter(({entry}) => isInRange(entry.key, range));
			if (matching.length > 0) {
				listener(matching, revision);
			}
		}
	};

	const apply = (operations: readonly EngineOperation[]): void => {
		revision++;
		const events = operations.flatMap(operation =>
			operation.type === 'put' ? [put(operation)] : findKeysInRange(operation.range).map(key => remove(key)));
		if (events.length === 0) {
			revision--;
		}

		notify(events);
	};

	const deleteLease = (leaseId: string, lease: Lease): void => {
		leases.delete(leaseId);
		apply([...lease.keys].map(key => ({type: 'delete-range', range: {key, rangeEnd: ''}})));
	};

	const expireLeases = (): void => {
		const now = clock.monotonicMilliseconds();
		for (const [leaseId, lease] of leases) {
			if (lease.expiresAt <= now) {
				deleteLease(leaseId, lease);
			}
		}
	};

	const renew = (lease: Lease): void => {
		lease.expiresAt = clock.monotonicMilliseconds() + (lease.timeToLiveSeconds * millisecondsPerSecond);
	};

	return {
		expireLeases,
		revision: () => revision,
		/** A `limit` of 0 means no limit. */
		range(options: {readonly range: KeyRange; readonly limit: number}) {
			expireLeases();
			const keys = findKeysInRange(options.range);
			const returnedKeys = options.limit > 0 ? keys.slice(0, options.limit) : keys;
			return {
				entries: returnedKeys.map(key => entries.get(key)!), count: keys.length, more: returnedKeys.length < keys.length, revision,
			};
		},
		transact(options: {
			readonly compares: readonly EngineCompare[];
			readonly success: readonly EngineOperation[];
			readonly failure: readonly EngineOperation[];
		}): Result<{readonly succeeded: boolean; readonly revision: number}, EngineError> {
			expireLeases();
			const error = checkOperations(options.success, leases) ?? checkOperations(options.failure, leases);
			if (error !== undefined) {
				return err(error);
			}

			const succeeded = options.compares.every(({key, modifiedRevision}) => (entries.get(key)?.modifiedRevision ?? 0) === modifiedRevision);
			apply(succeeded ? options.success : options.failure);
			return ok({succeeded, revision});
		},
		grantLease({timeToLiveSeconds}: {readonly timeToLiveSeconds: number}): string {
			expireLeases();
			lastLeaseId++;
			const lease = {expiresAt: 0, timeToLiveSeconds, keys: new Set<string>()};
			renew(lease);
			leases.set(String(lastLeaseId), lease);
			return String(lastLeaseId);
		},
		/** The time to live in seconds; 0 if there is no such lease. */
		renewLease({leaseId}: {readonly leaseId: string}): number {
			expireLeases();
			const lease = leases.get(leaseId);
			if (lease === undefined) {
				return 0;
			}

			renew(lease);
			return lease.timeToLiveSeconds;
		},
		/** False if there is no such lease. */
		revokeLease({leaseId}: {readonly leaseId: string}): boolean {
			expireLeases();
			const lease = leases.get(leaseId);
			if (lease !== undefined) {
				deleteLease(leaseId, lease);
			}

			return lease !== undefined;
		},
		/** Reports changes after the call; returns a function that stops the watch. */
		watch(watcher: Watcher): () => void {
			watchers.add(watcher);
			return () => {
				watchers.delete(watcher);
			};
		},
	};
};
