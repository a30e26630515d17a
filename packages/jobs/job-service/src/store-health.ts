/**
 * Whether the store answers this instance, told from the calls that are made
 * anyway. A call that cannot succeed is refused at once instead of waiting for
 * its deadline.
 */
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import type {Clock} from './ports.js';

/** A slow store answers within a quarter of a second; one that leaves a call unanswered for twice that is silent. */
const unresponsiveMilliseconds = 500;
/** Failed calls in a row after which the store counts as down; single ones are lost answers. */
const failureThreshold = 3;

export type StoreHealth = {
	/** Milliseconds since the store last answered; undefined while it does. */
	unavailableMilliseconds(): number | undefined;
};

export const monitorStore = (options: {readonly store: KeyValueStore; readonly clock: Clock}): {readonly store: KeyValueStore; readonly health: StoreHealth} => {
	const {store, clock} = options;
	/** Send times of the calls under way, oldest first. */
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
