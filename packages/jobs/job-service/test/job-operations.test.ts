/** A caller is not kept waiting for a store that does not answer, and is only told that nothing ran when that is certain. */
import type {JobDeclaration} from '@turmericbay/scheduler';
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createJobOperations} from '../src/job-operations.js';
import {monitorStore} from '../src/store-health.js';

const silent: StoreError = {kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'no answer'};
const refused: StoreError = {kind: StoreErrorKind.NotApplied, code: 'STORE_REFUSED', message: 'status 503'};
const declaration: JobDeclaration = {
	id: '0123456789abcdef', queue: 'quotes', workspace: undefined, payload: '', steps: [], repetitions: 0, firstDueAt: 0, intervalMilliseconds: 0, submittedAt: 0,
};

const createCase = (transact: KeyValueStore['transact']) => {
	let now = 1000;
	const clock = {now: () => now, wallNow: () => now};
	let calls = 0;
	const unused = async () => err(silent);
	const {store, health} = monitorStore({
		clock, store: {
			async transact(request) {
				calls += 1;
				return transact(request);
			},
			read: unused, list: unused, grantLease: unused, renewLease: unused, revokeLease: unused, watch: () => ({stop: () => undefined}),
		},
	});
	const link = {
		notifyJobStored: () => undefined, notifyJobCancelled: () => undefined, getJobState: async () => undefined, countPending: async () => undefined,
	};
	const intake = createJobOperations({
		store, health, ownerClient: link, clock, onUnreadable: () => undefined,
	});
	return {
		intake, health, store, calls: () => calls, passTime(milliseconds: number) {
			now += milliseconds;
		},
	};
};

test('while the store is silent a new job is refused at once, without a call', async t => {
	const unanswered: unknown[] = [];
	const site = createCase(async () => new Promise(resolve => {
		unanswered.push(resolve);
	}));
	void site.intake.submit(declaration, 1_000_000);
	site.passTime(600);
	t.is(site.health.unavailableMilliseconds(), 1600);
	t.is(await site.intake.submit({...declaration, id: 'fedcba9876543210'}, 1_000_000), 'not-stored');
	t.is(site.calls(), 1);
});

// Guards against callers that lose a request which they cannot send again, although the store is back before their deadline.
test('a job whose write may have been carried out is tried until the store has told', async t => {
	let left = 5;
	const site = createCase(async () => {
		left -= 1;
		return left > 0 ? err(silent) : ok({type: 'committed' as const, revision: 7});
	});
	t.is(await site.intake.submit(declaration, Number.POSITIVE_INFINITY), 'accepted');
	t.is(site.calls(), 5);
});

test('a single lost answer is asked for again', async t => {
	let isFirst = true;
	const site = createCase(async () => {
		const outcome = isFirst ? err(silent) : ok({type: 'condition-failed' as const, revision: 0});
		isFirst = false;
		return outcome;
	});
	t.is(await site.intake.submit(declaration, Number.POSITIVE_INFINITY), 'accepted');
	t.is(site.health.unavailableMilliseconds(), undefined);
});

test('the store counts as answering again after one answer', async t => {
	let isDown = true;
	const site = createCase(async () => isDown ? err(refused) : ok({type: 'committed' as const, revision: 7}));
	for (let attempt = 0; attempt < 3; attempt += 1) {
		// eslint-disable-next-line no-await-in-loop -- One call after the other.
		t.is(await site.intake.submit(declaration, 1_000_000), 'not-stored');
	}

	t.not(site.health.unavailableMilliseconds(), undefined);
	isDown = false;
	await site.store.transact({conditions: [], operations: []});
	t.is(await site.intake.submit(declaration, 1_000_000), 'accepted');
});
