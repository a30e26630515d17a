/**
 * Narrow interfaces to the platform. The adapters are in platform-client, the
 * fakes for tests in fakes; another platform is supported by implementing these.
 */
import type {Result} from 'neverthrow';
import type {InstanceId, PoolName} from './identifiers.js';
import type {InstanceRecord} from './instances.js';

/** Revision of the whole key-value store; every successful write increases it. */
export type Revision = number;

/** Largest value the key-value service holds, in bytes. */
export const maximumValueBytes = 1_048_576;

export enum StoreErrorKind {
	/** The call certainly had no effect, for instance because connecting failed. */
	NotApplied = 'not-applied',
	/** The call may have taken effect; the caller has to read the keys to find out. */
	Unknown = 'unknown',
	/** The response could not be parsed. A write may have taken effect. */
	Malformed = 'malformed',
	/** The value is larger than the service accepts; nothing was written. */
	TooLarge = 'too-large',
}

export type StoreError = {
	readonly kind: StoreErrorKind;
	readonly code: `STORE_${string}`;
	readonly message: string;
};

export type StoredEntry = {
	readonly key: string;
	readonly value: string;
	/** Store revision of the last write to this key. */
	readonly modifiedRevision: Revision;
};

export type StoreListing = {
	readonly entries: readonly StoredEntry[];
	readonly revision: Revision;
	/** True if the limit was reached before the last key; continue after the last entry. */
	readonly more: boolean;
};

/** Met if the key was last written at this revision; revision 0 requires that the key is absent. */
export type StoreCondition = {
	readonly key: string;
	readonly modifiedRevision: Revision;
};

export type StoreOperation
	= | {readonly type: 'put'; readonly key: string; readonly value: string; readonly leaseId?: string}
		| {readonly type: 'delete'; readonly key: string}
		| {readonly type: 'delete-prefix'; readonly prefix: string};

export type TransactionOutcome
	= | {readonly type: 'committed'; readonly revision: Revision}
		| {readonly type: 'condition-failed'; readonly revision: Revision};

export type WatchHandle = {
	stop(): void;
};

export type KeyValueStore = {
	/** Linearizable read of one key; undefined if the key is absent. */
	read(options: {readonly key: string}): Promise<Result<StoredEntry | undefined, StoreError>>;
	/** Keys with the prefix in key order, at most `limit`, after the key `after`. */
	list(options: {readonly prefix: string; readonly limit: number; readonly after?: string}): Promise<Result<StoreListing, StoreError>>;
	/** Applies all operations if all conditions hold, else none. */
	transact(options: {
		readonly conditions: readonly StoreCondition[];
		readonly operations: readonly StoreOperation[];
	}): Promise<Result<TransactionOutcome, StoreError>>;
	grantLease(options: {readonly timeToLiveSeconds: number}): Promise<Result<{readonly leaseId: string}, StoreError>>;
	/** The remaining time to live; 0 if the lease has expired. */
	renewLease(options: {readonly leaseId: string}): Promise<Result<{readonly timeToLiveSeconds: number}, StoreError>>;
	revokeLease(options: {readonly leaseId: string}): Promise<Result<void, StoreError>>;
	/** Reports changed and deleted keys until stopped; `onEnd` is called once if the watch breaks. */
	watch(options: {
		readonly prefix: string;
		readonly onChange: (entries: readonly StoredEntry[]) => void;
		/** Optional: not every implementation reports deletions. */
		readonly onDelete?: (keys: readonly string[]) => void;
		/** Called once, when every later change is certain to be reported; not every implementation reports it. */
		readonly onStart?: () => void;
		readonly onEnd: (error: StoreError) => void;
	}): WatchHandle;
};

export type InstanceListError = {
	readonly code: 'INSTANCE_LIST_UNAVAILABLE' | 'INSTANCE_LIST_MALFORMED';
	readonly message: string;
};

export type InstanceList = {
	readInstances(): Promise<Result<readonly InstanceRecord[], InstanceListError>>;
};

export type InstanceControlError = {
	readonly code: 'INSTANCE_CONTROL_UNAVAILABLE' | 'INSTANCE_CONTROL_REFUSED';
	readonly message: string;
};

/** Operations on instances that the platform offers; all are idempotent. */
export type InstanceControl = {
	requestDrain(options: {readonly instance: InstanceId}): Promise<Result<void, InstanceControlError>>;
	requestReboot(options: {readonly instance: InstanceId}): Promise<Result<void, InstanceControlError>>;
	assignPool(options: {readonly instance: InstanceId; readonly pool: PoolName}): Promise<Result<void, InstanceControlError>>;
};
