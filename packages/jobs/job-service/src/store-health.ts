/**
 * Whether the store answers this instance, told from the calls that are made
 * anyway. A call that cannot succeed is refused at once instead of waiting for
 * its deadline.
 */
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import type {Clock} from './ports.js';

/** A slow store answers within a quarter of a second; one that leaves a call unanswered for twice that is silent. */
const silentMilliseconds = 500;
/** Failed calls in a row after which the store counts as down; single ones are lost answers. */
const failedCalls = 3;

export type StoreHealth = {
	/** Milliseconds since the store last answered; undefined while it does. */
	downFor(): number | undefined;
};

export const observeStore = (options: {readonly store: KeyValueStore; readonly clock: Clock}): {readonly store: KeyValueStore; readonly health: StoreHealth} => {
	const {store, clock} = options;
	/** Send times of the calls under way, oldest first. */
	const pending = new Set<{readonly sentAt: number}>();
	let answeredAt = Number.NEGATIVE_INFINITY;
	let failures = 0;

	const observe = async <Value>(call: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> => {
		const entry = {sentAt: clock.now()};
		pending.add(entry);
		const result = await call();
		pending.delete(entry);
		if (result.isOk()) {
			answeredAt = Math.max(answeredAt, clock.now());
			failures = 0;
		} else if (entry.sentAt >= answeredAt) {
			failures += 1;
		}

		return result;
	};

	return {
		store: {
			read: async request => observe(async () => store.read(request)),
			list: async request => observe(async () => store.list(request)),
			transact: async request => observe(async () => store.transact(request)),
			grantLease: async request => observe(async () => store.grantLease(request)),
			renewLease: async request => observe(async () => store.renewLease(request)),
			revokeLease: async request => observe(async () => store.revokeLease(request)),
			watch: request => store.watch(request),
		},
		health: {
			downFor(): number | undefined {
				const now = clock.now();
				const [oldest] = pending;
				const isSilent = oldest !== undefined && oldest.sentAt >= answeredAt && now - oldest.sentAt > silentMilliseconds;
				return isSilent || failures >= failedCalls ? now - Math.max(answeredAt, 0) : undefined;
			},
		},
	};
};
