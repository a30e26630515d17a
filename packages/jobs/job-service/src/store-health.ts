/**
 * Passive health check of the store: derived from the calls that this instance makes anyway.
 * While the store is unavailable, requests are rejected at once instead of at their deadline.
 */
import type {StoreError} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import type {Clock, JobStore} from './ports.js';

/** A slow store responds within 250 ms; after twice that without a response it counts as unavailable. */
const unresponsiveMilliseconds = 500;
/** Consecutive failed calls after which the store counts as unavailable; fewer may be lost responses. */
const failureThreshold = 3;

export type StoreHealth = {
	/** Time since the last response, or since the start of the process if there was none; undefined while the store is available. */
	unavailableMilliseconds(): number | undefined;
};

export const monitorStore = (options: {readonly store: JobStore; readonly clock: Clock}): {readonly store: JobStore; readonly health: StoreHealth} => {
	const {store, clock} = options;
	/** Calls in flight, oldest first. */
	const pending = new Set<{readonly sentAt: number}>();
	let respondedAt = Number.NEGATIVE_INFINITY;
	let failures = 0;

	const track = async <Value>(call: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> => {
		const entry = {sentAt: clock.now()};
		pending.add(entry);
		const result = await call();
		pending.delete(entry);
		if (result.isOk()) {
			respondedAt = Math.max(respondedAt, clock.now());
			failures = 0;
		} else if (entry.sentAt >= respondedAt) {
			failures += 1;
		}

		return result;
	};

	return {
		store: {
			read: async request => track(async () => store.read(request)),
			list: async request => track(async () => store.list(request)),
			readChanges: async request => track(async () => store.readChanges(request)),
			transact: async request => track(async () => store.transact(request)),
			grantLease: async request => track(async () => store.grantLease(request)),
			renewLease: async request => track(async () => store.renewLease(request)),
			revokeLease: async request => track(async () => store.revokeLease(request)),
			watch: request => store.watch(request),
		},
		health: {
			unavailableMilliseconds(): number | undefined {
				const now = clock.now();
				const [oldest] = pending;
				const isUnresponsive = oldest !== undefined && oldest.sentAt >= respondedAt && now - oldest.sentAt > unresponsiveMilliseconds;
				return isUnresponsive || failures >= failureThreshold ? now - Math.max(respondedAt, 0) : undefined;
			},
		},
	};
};
