/** In-memory key-value store on the fake clock, with clients that inject seeded faults into their calls. */
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {StoreErrorKind} from '@turmericbay/types';
import type {
	KeyValueStore, StoredEntry, StoreError, StoreOperation,
} from '@turmericbay/types';
import type {SimulatedProcess, Simulation} from './simulation.js';

/** Probability of each fault per call; all other calls succeed. */
export type StoreFaults = {
	/** Fails without effect. */
	refused: number;
	/** The request never reaches the store. */
	requestLost: number;
	/** The call takes effect, but its response is lost. */
	answerLost: number;
	/** The call takes effect up to seconds later, when its caller may have timed out. */
	appliedLate: number;
};

export const noStoreFaults: StoreFaults = {
	refused: 0, requestLost: 0, answerLost: 0, appliedLate: 0,
};

const callTimeoutMilliseconds = 400;
/** Below the session's expiry margin of 2 s, within which a renewal must take effect or never. */
const maximumRenewalDelayMilliseconds = 1500;

type Lease = {expiresAt: number; readonly timeToLiveMilliseconds: number; readonly keys: Set<string>};

export const createSimulatedStore = (simulation: Simulation) => {
	const entries = new Map<string, StoredEntry>();
	const leases = new Map<string, Lease>();
	let revision = 0;
	const now = () => simulation.clock.monotonicMilliseconds();

	const expire = () => {
		for (const [leaseId, lease] of leases) {
			if (lease.expiresAt <= now()) {
				leases.delete(leaseId);
				for (const key of lease.keys) {
					entries.delete(key);
					revision += 1;
				}
			}
		}
	};

	const detach = (key: string) => {
		for (const lease of leases.values()) {
			lease.keys.delete(key);
		}
	};

	const apply = (operation: StoreOperation) => {
		switch (operation.type) {
			case 'put': {
				detach(operation.key);
				entries.set(operation.key, {key: operation.key, value: operation.value, modifiedRevision: revision});
				if (operation.leaseId !== undefined) {
					leases.get(operation.leaseId)?.keys.add(operation.key);
				}

				break;
			}

			case 'delete': {
				entries.delete(operation.key);
				break;
			}

			case 'delete-prefix': {
				for (const key of entries.keys()) {
					if (key.startsWith(operation.prefix)) {
						entries.delete(key);
					}
				}

				break;
			}
		}
	};

	const store: KeyValueStore = {
		read: async ({key}) => ok(entries.get(key)),
		async list({prefix, limit, after}) {
			const keys = [...entries.keys()].filter(key => key.startsWith(prefix) && (after === undefined || key > after)).toSorted();
			return ok({entries: keys.slice(0, limit).map(key => entries.get(key)!), revision, more: keys.length > limit});
		},
		async transact({conditions, operations}) {
			if (conditions.some(({key, modifiedRevision}) => (entries.get(key)?.modifiedRevision ?? 0) !== modifiedRevision)) {
				return ok({type: 'condition-failed', revision});
			}

			revision += 1;
			for (const operation of operations) {
				apply(operation);
			}

			return ok({type: 'committed', revision});
		},
		async grantLease({timeToLiveSeconds}) {
			revision += 1;
			const leaseId = String(revision);
			const timeToLiveMilliseconds = timeToLiveSeconds * 1000;
			leases.set(leaseId, {expiresAt: now() + timeToLiveMilliseconds, timeToLiveMilliseconds, keys: new Set()});
			return ok({leaseId});
		},
		async renewLease({leaseId}) {
			const lease = leases.get(leaseId);
			if (lease) {
				lease.expiresAt = now() + lease.timeToLiveMilliseconds;
			}

			return ok({timeToLiveSeconds: (lease?.timeToLiveMilliseconds ?? 0) / 1000});
		},
		async revokeLease({leaseId}) {
			const lease = leases.get(leaseId);
			if (lease) {
				lease.expiresAt = now();
				expire();
			}

			return ok(undefined);
		},
		watch: () => ({
			stop() {
				// No code under test uses watches.
			},
		}),
	};

	// `direct` reaches the store without the faults of a client.
	return {entries, direct: store, expire};
};

export type SimulatedStore = ReturnType<typeof createSimulatedStore>;

type StoreCall<T> = () => Promise<Result<T, StoreError>>;

const sum = (numbers: readonly number[]) => {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
};

const createStoreError = (kind: StoreErrorKind): StoreError => ({kind, code: 'STORE_SIMULATED', message: 'simulated failure'});

export type StoreClient = KeyValueStore & {faults: StoreFaults; reachable: boolean; calls: number; bytes: number};

/** Store client of one process; a request takes 1 to 3 ms and its response up to 2 ms. */
export const createStoreClient = (options: {
	readonly simulation: Simulation;
	readonly process: SimulatedProcess;
	readonly store: SimulatedStore;
}): StoreClient => {
	const {simulation, process, store} = options;
	const {random} = simulation;

	const send = async <T>(call: StoreCall<T>, maximumDelayMilliseconds = 8000): Promise<Result<T, StoreError>> => new Promise(resolve => {
		const answerAfter = (milliseconds: number, result: Result<T, StoreError>) => {
			process.after(milliseconds, () => {
				resolve(result);
			});
		};

		const perform = async (answer: (result: Result<T, StoreError>) => void) => {
			store.expire();
			answer(await call());
		};

		client.calls += 1;
		const {refused, requestLost, answerLost, appliedLate} = client.faults;
		const draw = random();
		const latency = 1 + (random() * 2);
		if (!client.reachable || draw < refused) {
			const kind = random() < 0.5 ? StoreErrorKind.NotApplied : StoreErrorKind.Unknown;
			answerAfter(kind === StoreErrorKind.Unknown ? callTimeoutMilliseconds : 1, err(createStoreError(kind)));
		} else if (draw < refused + requestLost) {
			answerAfter(callTimeoutMilliseconds, err(createStoreError(StoreErrorKind.Unknown)));
		} else if (draw < refused + requestLost + answerLost + appliedLate) {
			const applyAfter = draw < refused + requestLost + answerLost ? latency : latency + (random() * maximumDelayMilliseconds);
			simulation.after(applyAfter, () => {
				void perform(() => {
					// The response is lost.
				});
			});
			answerAfter(callTimeoutMilliseconds, err(createStoreError(StoreErrorKind.Unknown)));
		} else {
			simulation.after(latency, () => {
				void perform(result => {
					answerAfter(random() * 2, result);
				});
			});
		}
	});

	const count = <T>(result: Result<T, StoreError>, sizeOf: (value: T) => number) => {
		client.bytes += result.isOk() ? sizeOf(result.value) : 0;
		return result;
	};

	const {direct} = store;
	const client: StoreClient = {
		faults: noStoreFaults,
		reachable: true,
		calls: 0,
		bytes: 0,
		read: async options => send(async () => count(await direct.read(options), entry => entry?.value.length ?? 0)),
		list: async options => send(async () => count(await direct.list(options), listing => sum(listing.entries.map(({value}) => value.length)))),
		async transact(options) {
			client.bytes += sum(options.operations.map(operation => operation.type === 'put' ? operation.value.length : 0));
			return send(async () => direct.transact(options));
		},
		grantLease: async options => send(async () => direct.grantLease(options)),
		renewLease: async options => send(async () => direct.renewLease(options), maximumRenewalDelayMilliseconds),
		revokeLease: async options => send(async () => direct.revokeLease(options)),
		watch: options => direct.watch(options),
	};
	return client;
};
