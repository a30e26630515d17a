/**
 * In-memory implementations of the platform's interfaces, for unit tests of other
 * packages. They support the faults of the HTTP server and return the same errors
 * as the adapter would; time comes from the clock of the options.
 */
import {Buffer} from 'node:buffer';
import type {
	AvailabilityZone, InstanceList, KeyValueStore, StoreError,
} from '@turmericbay/types';
import {maximumValueBytes, StoreErrorKind} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {FaultInjector} from './fault-injector.js';
import {PlatformService} from './fault-injector.js';
import type {InstanceFleet} from './instance-fleet.js';
import type {
	EngineEntry, EngineError, EngineOperation, KeyRange, KeyValueEngine,
} from './key-value-engine.js';
import {GrpcStatus, noLease, getPrefixRangeEnd} from './key-value-engine.js';

export type Sleep = (milliseconds: number) => Promise<void>;

const toBytes = (text: string): string => Buffer.from(text).toString('latin1');
const fromBytes = (bytes: string): string => Buffer.from(bytes, 'latin1').toString();

const storeErrors = {
	refuse: {kind: StoreErrorKind.NotApplied, code: 'STORE_UNREACHABLE', message: 'connection refused'},
	drop: {kind: StoreErrorKind.Unknown, code: 'STORE_CONNECTION_LOST', message: 'connection lost before the response'},
	hang: {kind: StoreErrorKind.Unknown, code: 'STORE_TIMEOUT', message: 'no response in time'},
	tooLarge: {kind: StoreErrorKind.TooLarge, code: 'STORE_VALUE_TOO_LARGE', message: `value exceeds ${maximumValueBytes} bytes`},
} as const satisfies Record<string, StoreError>;

const toStoreError = ({status, message}: EngineError): StoreError => ({
	kind: StoreErrorKind.NotApplied,
	code: status === GrpcStatus.NotFound ? 'STORE_LEASE_NOT_FOUND' : 'STORE_REFUSED',
	message,
});

const toStoredEntry = (entry: EngineEntry) => ({
	key: fromBytes(entry.key), value: fromBytes(entry.value), modifiedRevision: entry.modifiedRevision,
});

const createPrefixRange = (prefix: string): KeyRange => ({key: toBytes(prefix), rangeEnd: getPrefixRangeEnd(toBytes(prefix))});

const toEngineOperation = (operation: Parameters<KeyValueStore['transact']>[0]['operations'][number]): EngineOperation => {
	switch (operation.type) {
		case 'put': {
			return {
				type: 'put', key: toBytes(operation.key), value: toBytes(operation.value), leaseId: operation.leaseId ?? noLease,
			};
		}

		case 'delete': {
			return {type: 'delete-range', range: {key: toBytes(operation.key), rangeEnd: ''}};
		}

		case 'delete-prefix': {
			return {type: 'delete-range', range: createPrefixRange(operation.prefix)};
		}
	}
};

const createCall = (options: {readonly faults: FaultInjector; readonly zone: AvailabilityZone; readonly sleep: Sleep}) =>
	async <Value>(isWrite: boolean, apply: () => Result<Value, StoreError>): Promise<Result<Value, StoreError>> => {
		const decision = options.faults.decide({zone: options.zone, service: PlatformService.KeyValue, isWrite});
		if (decision.type !== 'pass') {
			return err(storeErrors[decision.type]);
		}

		if (decision.delayMilliseconds > 0) {
			await options.sleep(decision.delayMilliseconds);
		}

		const result = apply();
		return decision.isResponseLost ? err(storeErrors.drop) : result;
	};

const createWatch = (options: {readonly engine: KeyValueEngine; readonly faults: FaultInjector; readonly zone: AvailabilityZone}): KeyValueStore['watch'] =>
	({prefix, onChange, onDelete, onStart, onEnd}) => {
		const {engine, faults, zone} = options;
		const inspect = () => faults.inspect({zone, service: PlatformService.KeyValue});
		let isOpen = true;
		const stopEngine = engine.watch({
			range: createPrefixRange(prefix),
			listener(events) {
				const entries = events.filter(({type}) => type === 'put').map(({entry}) => toStoredEntry(entry));
				const deleted = events.filter(({type}) => type === 'delete').map(({entry}) => fromBytes(entry.key));
				if (inspect() !== 'pass') {
					return;
				}

				if (entries.length > 0) {
					onChange(entries);
				}

				if (deleted.length > 0) {
					onDelete?.(deleted);
				}
			},
		});
		const stop = (): void => {
			isOpen = false;
			stopEngine();
		};

		const endIfDisconnected = (): void => {
			const type = inspect();
			if (isOpen && (type === 'drop' || type === 'refuse')) {
				stop();
				onEnd(storeErrors[type]);
			}
		};

		faults.subscribe(endIfDisconnected);
		queueMicrotask(() => {
			endIfDisconnected();
			if (isOpen) {
				onStart?.();
			}
		});
		return {stop};
	};

/** In-memory key-value service for callers in one availability zone. */
export const createMemoryStore = (options: {
	readonly engine: KeyValueEngine;
	readonly faults: FaultInjector;
	readonly zone: AvailabilityZone;
	/** Waits for an injected delay; returns at once by default. */
	readonly sleep?: Sleep;
}): KeyValueStore => {
	const {engine} = options;
	const call = createCall({sleep: async () => undefined, ...options});
	return {
		read: async ({key}) => call(false, () => {
			const [entry] = engine.range({range: {key: toBytes(key), rangeEnd: ''}, limit: 1}).entries;
			return ok(entry && toStoredEntry(entry));
		}),
		list: async ({prefix, limit, after}) => call(false, () => {
			const range = createPrefixRange(prefix);
			const key = after === undefined ? range.key : `${toBytes(after)}\0`;
			const {entries, more, revision} = engine.range({range: {...range, key}, limit});
			return ok({entries: entries.map(entry => toStoredEntry(entry)), more, revision});
		}),
		async transact({conditions, operations}) {
			if (operations.some(operation => operation.type === 'put' && Buffer.byteLength(operation.value) > maximumValueBytes)) {
				return err(storeErrors.tooLarge);
			}

			return call(true, () => engine.transact({
				compares: conditions.map(({key, modifiedRevision}) => ({key: toBytes(key), modifiedRevision})),
				success: operations.map(operation => toEngineOperation(operation)),
				failure: [],
			}).map(({succeeded, revision}) => ({type: succeeded ? 'committed' as const : 'condition-failed' as const, revision})).mapErr(toStoreError));
		},
		grantLease: async ({timeToLiveSeconds}) => call(true, () => ok({leaseId: engine.grantLease({timeToLiveSeconds})})),
		renewLease: async ({leaseId}) => call(true, () => ok({timeToLiveSeconds: engine.renewLease({leaseId})})),
		revokeLease: async ({leaseId}) => call(true, () => engine.revokeLease({leaseId})
			? ok()
			: err(toStoreError({status: GrpcStatus.NotFound, message: 'requested lease not found'}))),
		watch: createWatch(options),
	};
};

/** In-memory instance list for callers in one availability zone. */
export const createMemoryInstanceList = (options: {
	readonly fleet: InstanceFleet;
	readonly faults: FaultInjector;
	readonly zone: AvailabilityZone;
	readonly sleep?: Sleep;
}): InstanceList => ({
	async readInstances() {
		const decision = options.faults.decide({zone: options.zone, service: PlatformService.InstanceList, isWrite: false});
		if (decision.type !== 'pass') {
			return err({code: 'INSTANCE_LIST_UNAVAILABLE', message: 'the instance list did not respond'});
		}

		await options.sleep?.(decision.delayMilliseconds);
		return ok(options.fleet.listed());
	},
});

