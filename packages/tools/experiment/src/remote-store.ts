/** The store accessed over the simulated network. */
import type {KeyValueEngine} from '@turmericbay/fakes';
import {createFaultInjector, createMemoryStore} from '@turmericbay/fakes';
import type {JobStore} from '@turmericbay/job-service';
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err} from 'neverthrow';
import type {Network} from './network.js';
import {Service} from './network.js';
import type {VirtualTime} from './virtual-time.js';

/** Latency in one direction; the users state 4 ms for a round trip. */
const storeLatencyMilliseconds = 2;
/** Deadline of the store adapter; for a listing, the longest time without any byte of the response. */
const storeTimeoutMilliseconds = 1000;
/** Deadline of the store adapter for a whole listing. */
const listingTimeoutMilliseconds = 15_000;
/** Keys that are examined for changes; only the configuration is read this way. */
const changedKeysLimit = 10;

const toStoreError = (type: 'refused' | 'timeout'): StoreError => type === 'refused'
	? {kind: StoreErrorKind.NotApplied, code: 'STORE_REFUSED', message: 'status 503'}
	: {kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'no complete answer within the deadline'};

export const createRemoteStore = (options: {readonly engine: KeyValueEngine; readonly network: Network; readonly time: VirtualTime; readonly listingBytesPerSecond: number}): JobStore => {
	const {engine, network, time, listingBytesPerSecond} = options;
	const memoryStore = createMemoryStore({engine, faults: createFaultInjector(), zone: 'zone'});
	const call = async <Value>(operation: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> => {
		const outcome = await network.call<Result<Value, StoreError>>({
			service: Service.Store, callee: 'store', latency: storeLatencyMilliseconds, timeout: storeTimeoutMilliseconds,
			execute(respond) {
				void operation().then(respond);
			},
		});
		return outcome.type === 'answered' ? outcome.response : err(toStoreError(outcome.type));
	};

	return {
		read: async request => call(async () => memoryStore.read(request)),
		async list(request) {
			const outcome = await network.call<Awaited<ReturnType<KeyValueStore['list']>>>({
				service: Service.Store, callee: 'store', latency: storeLatencyMilliseconds, timeout: listingTimeoutMilliseconds,
				execute(respond) {
					void memoryStore.list(request).then(listed => {
						const bytes = listed.isOk() ? listed.value.entries.reduce((sum, {key, value}) => sum + key.length + value.length, 0) : 0;
						time.scheduleAfter(bytes / listingBytesPerSecond * 1000, () => {
							respond(listed);
						});
					});
				},
			});
			return outcome.type === 'answered' ? outcome.response : err(toStoreError(outcome.type));
		},
		readChanges: async ({prefix, after}) => call(async () => {
			const listed = await memoryStore.list({prefix, limit: changedKeysLimit});
			return listed.map(({entries, revision}) => ({entries: entries.filter(entry => entry.modifiedRevision > after), deletedKeys: [], revision}));
		}),
		transact: async request => call(async () => memoryStore.transact(request)),
		grantLease: async request => call(async () => memoryStore.grantLease(request)),
		renewLease: async request => call(async () => memoryStore.renewLease(request)),
		revokeLease: async request => call(async () => memoryStore.revokeLease(request)),
		watch(request) {
			const process = time.getCurrentProcess();
			let isStopped = false;
			const deliver = (notify: () => void): void => {
				if (network.isDisconnected(process?.name ?? '', Service.Store)) {
					// A lost change ends the watch, so that the caller lists all entries again.
					time.scheduleAfter(storeTimeoutMilliseconds, () => {
						time.runInProcess(process, () => {
							if (!isStopped) {
								isStopped = true;
								memoryWatch.stop();
								request.onEnd(toStoreError('timeout'));
							}
						});
					});
					return;
				}

				time.scheduleAfter(storeLatencyMilliseconds, () => {
					time.runInProcess(process, () => {
						if (!isStopped) {
							notify();
						}
					});
				});
			};

			const memoryWatch = memoryStore.watch({
				prefix: request.prefix,
				onChange(entries) {
					deliver(() => {
						request.onChange(entries);
					});
				},
				onDelete(keys) {
					deliver(() => {
						request.onDelete?.(keys);
					});
				},
				onStart() {
					deliver(() => {
						request.onStart?.();
					});
				},
				onEnd: request.onEnd,
			});
			return {
				stop() {
					isStopped = true;
					memoryWatch.stop();
				},
			};
		},
	};
};
