/** A key-value store in memory whose transactions can be delayed or can lose their response. */
import type {
	KeyValueStore, StoredEntry, StoreError, TransactionOutcome,
} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {JobStore} from '../../src/ports.js';

type Transaction = Parameters<KeyValueStore['transact']>[0];

const noResponse: StoreError = {kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'no answer'};

export const createMemoryStore = () => {
	const entries = new Map<string, StoredEntry>();
	let revision = 10;
	/** Chooses what happens to a transaction: `lost` applies it without a response, `delayed` applies it when `release` is called. */
	let choose: (request: Transaction) => 'applied' | 'lost' | 'delayed' = () => 'applied';
	const delayed: Transaction[] = [];
	let isDown = false;

	const apply = ({conditions, operations}: Transaction): TransactionOutcome => {
		if (conditions.some(({key, modifiedRevision}) => (entries.get(key)?.modifiedRevision ?? 0) !== modifiedRevision)) {
			return {type: 'condition-failed', revision};
		}

		revision += 1;
		for (const operation of operations) {
			if (operation.type === 'put') {
				entries.set(operation.key, {key: operation.key, value: operation.value, modifiedRevision: revision});
			} else if (operation.type === 'delete') {
				entries.delete(operation.key);
			}
		}

		return {type: 'committed', revision};
	};

	const store: JobStore = {
		read: async ({key}) => isDown ? err(noResponse) : ok(entries.get(key)),
		list: async () => err(noResponse),
		readChanges: async () => err(noResponse),
		async transact(request): Promise<Result<TransactionOutcome, StoreError>> {
			if (isDown) {
				return err(noResponse);
			}

			const choice = choose(request);
			if (choice === 'delayed') {
				delayed.push(request);
				return err(noResponse);
			}

			const outcome = apply(request);
			return choice === 'lost' ? err(noResponse) : ok(outcome);
		},
		grantLease: async () => isDown ? err(noResponse) : ok({leaseId: '1'}),
		renewLease: async () => ok({timeToLiveSeconds: 60}),
		revokeLease: async () => ok(undefined),
		watch: () => ({stop: () => undefined}),
	};
	return {
		store, entries,
		revision: () => revision,
		setChoice(next: typeof choose): void {
			choose = next;
		},
		takeDown(): void {
			isDown = true;
		},
		/** Applies the delayed transactions. */
		release: () => delayed.splice(0).map(request => apply(request).type),
	};
};
