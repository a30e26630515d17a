/** The store as one simulated process sees it over the network. */
import type {KeyValueEngine} from '@turmericbay/fakes';
import {createFaultInjector, createMemoryStore} from '@turmericbay/fakes';
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err} from 'neverthrow';
import type {Network} from './network.js';
import {Service} from './network.js';
import type {VirtualTime} from './virtual-time.js';

/** One way to the store: the users' sheets say 4 ms an answer. */
const storeLatencyMilliseconds = 2;
/** The adapter's deadline of a call to the store. */
const storeTimeoutMilliseconds = 1000;

const toStoreError = (type: 'refused' | 'timeout'): StoreError => type === 'refused'
	? {kind: StoreErrorKind.NotApplied, code: 'STORE_REFUSED', message: 'status 503'}
	: {kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'no complete answer within the deadline'};

export const createRemoteStore = (options: {readonly engine: KeyValueEngine; readonly network: Network; readonly time: VirtualTime}): KeyValueStore => {
	const {engine, network, time} = options;
	const local = createMemoryStore({engine, faults: createFaultInjector(), zone: 'zone'});
	const call = async <Value>(act: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> => {
		const outcome = await network.call<Result<Value, StoreError>>({
			service: Service.Store, called: 'store', latency: storeLatencyMilliseconds, timeout: storeTimeoutMilliseconds,
			handle(answer) {
				void act().then(answer);
			},
		});
		return outcome.type === 'answered' ? outcome.answer : err(toStoreError(outcome.type));
	};

	return {
		read: async request => call(async () => local.read(request)),
		list: async request => call(async () => local.list(request)),
		transact: async request => call(async () => local.transact(request)),
		grantLease: async request => call(async () => local.grantLease(request)),
		renewLease: async request => call(async () => local.renewLease(request)),
		revokeLease: async request => call(async () => local.revokeLease(request)),
		watch(request) {
			const owner = time.current();
			let isStopped = false;
			const deliver = (act: () => void): void => {
				if (network.isCut(owner?.name ?? '', Service.Store)) {
					// A change that does not arrive breaks the watch; the caller lists everything anew.
					time.after(storeTimeoutMilliseconds, () => {
						time.deliver(owner, () => {
							if (!isStopped) {
								isStopped = true;
								inner.stop();
								request.onEnd(toStoreError('timeout'));
							}
						});
					});
					return;
				}

				time.after(storeLatencyMilliseconds, () => {
					time.deliver(owner, () => {
						if (!isStopped) {
							act();
						}
					});
				});
			};

			const inner = local.watch({
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
					inner.stop();
				},
			};
		},
	};
};
