import type {
	KeyValueStore, StoredEntry, StoreError, TransactionOutcome,
} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import test from 'ava';
import fc from 'fast-check';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {createCommitQueue} from '../src/commit-queue.js';
import {commitKey} from '../src/records.js';
import {settle} from './support/builders.js';

type Transaction = Parameters<KeyValueStore['transact']>[0];

/** What becomes of the oldest transaction that waits for its response. */
enum Response {
	Applied = 'applied',
	Rejected = 'rejected',
	/** Applied without a response. */
	ResponseLost = 'response-lost',
	/** Neither applied nor answered. */
	RequestLost = 'request-lost',
}

enum Step {
	Commit = 'commit',
	EmptyCommit = 'empty-commit',
	Flush = 'flush',
	End = 'end',
	/** Another owner takes over and writes the commit key. */
	Takeover = 'takeover',
}

const unanswered: StoreError = {kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'no answer'};
const rejected: StoreError = {kind: StoreErrorKind.NotApplied, code: 'STORE_REFUSED', message: 'status 503'};

/** A store that answers each transaction as the test says. */
const createScriptedStore = () => {
	const entries = new Map<string, StoredEntry>([[commitKey, {key: commitKey, value: '{"epoch":1,"sequence":0}', modifiedRevision: 1}]]);
	let revision = 1;
	const pending: Array<{readonly request: Transaction; readonly resolve: (result: Result<TransactionOutcome, StoreError>) => void}> = [];

	const apply = ({conditions, operations}: Transaction): TransactionOutcome => {
		if (conditions.some(({key, modifiedRevision}) => entries.get(key)?.modifiedRevision !== modifiedRevision)) {
			return {type: 'condition-failed', revision};
		}

		revision += 1;
		for (const operation of operations) {
			if (operation.type === 'put') {
				entries.set(operation.key, {key: operation.key, value: operation.value, modifiedRevision: revision});
			}
		}

		return {type: 'committed', revision};
	};

	const store: Pick<KeyValueStore, 'transact' | 'read'> = {
		async transact(request) {
			return new Promise(resolve => {
				pending.push({request, resolve});
			});
		},
		read: async ({key}) => ok(entries.get(key)),
	};

	return {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that the commit queue uses.
		store: store as KeyValueStore,
		readNumber: (key: string): number => Number(entries.get(key)?.value ?? 0),
		respond(response: Response): void {
			const transaction = pending.shift();
			switch (response) {
				case Response.Applied: {
					transaction?.resolve(ok(apply(transaction.request)));
					break;
				}

				case Response.Rejected: {
					transaction?.resolve(err(rejected));
					break;
				}

				case Response.ResponseLost: {
					if (transaction) {
						apply(transaction.request);
						transaction.resolve(err(unanswered));
					}

					break;
				}

				case Response.RequestLost: {
					transaction?.resolve(err(unanswered));
					break;
				}
			}
		},
		takeOver(): void {
			apply({conditions: [], operations: [{type: 'put', key: commitKey, value: '{"epoch":2,"sequence":0}'}]});
		},
	};
};

/** Few keys, so that queued values are replaced by newer ones. */
const keyCount = 3;
const toKey = (change: number): string => `key-${change % keyCount}`;

// Guards against ended runs that are acknowledged to a worker although the owner ended, or lost its ownership, before they were stored: their tasks ran twice.
test('no call resolves before all earlier changes are stored, however the queue ends', async t => {
	const step = fc.oneof(
		{weight: 4, arbitrary: fc.constant(Step.Commit)},
		{weight: 4, arbitrary: fc.constantFrom(Step.EmptyCommit, Step.Flush)},
		{weight: 6, arbitrary: fc.constantFrom(...Object.values(Response))},
		{weight: 1, arbitrary: fc.constantFrom(Step.End, Step.Takeover)},
	);
	await fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
		const {store, readNumber, respond, takeOver} = createScriptedStore();
		const commitQueue = createCommitQueue({
			store, epoch: 1, revision: 1, onFenced: () => undefined, onFailure: () => undefined, wait: settle,
		});
		let changes = 0;
		const untrue: string[] = [];
		const expectStored = async (call: Promise<void>, name: string): Promise<void> => {
			const queued = changes;
			await call;
			for (let change = 1; change <= queued; change += 1) {
				if (readNumber(toKey(change)) < change) {
					untrue.push(`${name} after change ${queued}: change ${change} is not stored`);
				}
			}
		};

		for (const next of steps) {
			switch (next) {
				case Step.Commit: {
					changes += 1;
					void expectStored(commitQueue.commit([{type: 'put', key: toKey(changes), value: String(changes)}]), next);
					break;
				}

				case Step.EmptyCommit: {
					void expectStored(commitQueue.commit([]), next);
					break;
				}

				case Step.Flush: {
					void expectStored(commitQueue.flush(), next);
					break;
				}

				case Step.End: {
					commitQueue.end();
					break;
				}

				case Step.Takeover: {
					takeOver();
					break;
				}

				case Response.Applied:
				case Response.Rejected:
				case Response.ResponseLost:
				case Response.RequestLost: {
					respond(next);
					break;
				}
			}

			// eslint-disable-next-line no-await-in-loop -- One step after the other.
			await settle();
		}

		t.deepEqual(untrue, []);
	}), {numRuns: 400, seed: 38});
});
