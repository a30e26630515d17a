/**
 * The platform's interfaces served from memory, for unit tests of other
 * packages. Faults are those of the HTTP stand-in and give the same errors as
 * the adapter would; time comes from the clock passed in.
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
import {GrpcStatus, noLease, prefixRangeEnd} from './key-value-engine.js';

export type Sleep = (milliseconds: number) => Promise<void>;

const toBytes = (text: string): string => Buffer.from(text).toString('latin1');
const fromBytes = (bytes: string): string => Buffer.from(bytes, 'latin1').toString();

const storeErrors = {
	refuse: {kind: StoreErrorKind.NotApplied, code: 'STORE_UNREACHABLE', message: 'connection refused'},
	drop: {kind: StoreErrorKind.Unknown, code: 'STORE_CONNECTION_LOST', message: 'connection broke before the answer'},
	hang: {kind: StoreErrorKind.Unknown, code: 'STORE_TIMEOUT', message: 'no answer in time'},
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

const prefixRange = (prefix: string): KeyRange => ({key: toBytes(prefix), rangeEnd: prefixRangeEnd(toBytes(prefix))});

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
			return {type: 'delete-range', range: prefixRange(operation.prefix)};
		}
	}
};

const createCall = (options: {readonly faults: FaultInjector; readonly zone: AvailabilityZone; readonly sleep: Sleep}) =>
	async <Value>(isWrite: boolean, apply: () => Result<Value, StoreError>): Promise<Result<Value, StoreError>> => {
		const verdict = options.faults.decide({zone: options.zone, service: PlatformService.KeyValue, isWrite});
		if (verdict.type !== 'pass') {
			return err(storeErrors[verdict.type]);
		}

		if (verdict.delayMilliseconds > 0) {
			await options.sleep(verdict.delayMilliseconds);
		}

		const result = apply();
		return verdict.isResponseLost ? err(storeErrors.drop) : result;
	};

const createWatch = (options: {readonly engine: KeyValueEngine; readonly faults: FaultInjector; readonly zone: AvailabilityZone}): KeyValueStore['watch'] =>
	({prefix, onChange, onDelete, onStart, onEnd}) => {
		const {engine, faults, zone} = options;
		const inspect = () => faults.inspect({zone, service: PlatformService.KeyValue});
		let isOpen = true;
		const stopEngine = engine.watch({
			range: prefixRange(prefix),
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

		const check = (): void => {
			const type = inspect();
			if (isOpen && (type === 'drop' || type === 'refuse')) {
				stop();
				onEnd(storeErrors[type]);
			}
		};

		faults.subscribe(check);
		queueMicrotask(() => {
			check();
			if (isOpen) {
				onStart?.();
			}
		});
		return {stop};
	};

/** Key-value service in memory, as seen from one availability zone. */
export const createMemoryStore = (options: {
	readonly engine: KeyValueEngine;
	readonly faults: FaultInjector;
	readonly zone: AvailabilityZone;
	/** Waits for the delay that was switched on; returns at once by default. */
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
			const range = prefixRange(prefix);
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

/** Instance list in memory, as seen from one availability zone. */
export const createMemoryInstanceList = (options: {
	readonly fleet: InstanceFleet;
	readonly faults: FaultInjector;
	readonly zone: AvailabilityZone;
	readonly sleep?: Sleep;
}): InstanceList => ({
	async readInstances() {
		const verdict = options.faults.decide({zone: options.zone, service: PlatformService.InstanceList, isWrite: false});
		if (verdict.type !== 'pass') {
			return err({code: 'INSTANCE_LIST_UNAVAILABLE', message: 'the instance list did not answer'});
		}

		await options.sleep?.(verdict.delayMilliseconds);
		return ok(options.fleet.listed());
	},
});

