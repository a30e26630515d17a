/** Guards against callers that wait for an unavailable store, and against jobs that are reported as not stored although they may be. */
import type {JobDeclaration} from '@turmericbay/scheduler';
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createAdmissionControl} from '../src/admission-control.js';
import {createJobOperations} from '../src/job-operations.js';
import {jobPrefix} from '../src/records.js';
import {monitorStore} from '../src/store-health.js';

const noResponse: StoreError = {kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'no answer'};
const unavailable: StoreError = {kind: StoreErrorKind.NotApplied, code: 'STORE_REFUSED', message: 'status 503'};
const declaration: JobDeclaration = {
	id: '0123456789abcdef', queue: 'queue-1', workspace: undefined, payload: '', steps: [], repetitions: 0, firstDueAt: 0, intervalMilliseconds: 0, submittedAt: 0,
};

const createFixture = (transact: KeyValueStore['transact'], stored: readonly string[] = []) => {
	let now = 1000;
	const clock = {now: () => now, wallNow: () => now};
	let calls = 0;
	const unused = async () => err(noResponse);
	const {store, health} = monitorStore({
		clock, store: {
			async transact(request) {
				calls += 1;
				return transact(request);
			},
			read: async ({key}) => ok(stored.includes(key) ? {key, value: '', modifiedRevision: 7} : undefined),
			list: unused, readChanges: unused, grantLease: unused, renewLease: unused, revokeLease: unused, watch: () => ({stop: () => undefined}),
		},
	});
	const ownerClient = {
		notifyJobStored: () => undefined, notifyJobCancelled: () => undefined, getJobState: async () => undefined, countPending: async () => undefined, getLoadFigures: () => undefined, requestTransfer: () => undefined,
		registerDispatcher: () => undefined,
	};
	const operations = createJobOperations({
		store, health, maximumValueBytes: 1_048_576, ownerClient, clock, random: () => 0, getReachedTime: () => undefined, onUnreadable: () => undefined,
		admission: createAdmissionControl({
			clock, random: () => 0, getFigures: () => undefined, getPolicy: () => undefined,
		}),
		log: {jobRefused: () => undefined, refusalNotRecorded: () => undefined},
	});
	return {
		operations, health, store, calls: () => calls, advance(milliseconds: number) {
			now += milliseconds;
		},
	};
};

test('while the store does not respond a new job is rejected at once, without a call', async t => {
	const unanswered: unknown[] = [];
	const fixture = createFixture(async () => new Promise(resolve => {
		unanswered.push(resolve);
	}));
	void fixture.operations.submit(declaration, 1_000_000);
	fixture.advance(600);
	t.is(fixture.health.unavailableMilliseconds(), 1600);
	t.is(await fixture.operations.submit({...declaration, id: 'fedcba9876543210'}, 1_000_000), 'not-stored');
	t.is(fixture.calls(), 1);
});

// Guards against an unknown outcome although the store recovers before the deadline: not every caller sends the request again.
test('a write whose outcome is unknown is retried until the store responds', async t => {
	let failuresLeft = 5;
	const fixture = createFixture(async () => {
		failuresLeft -= 1;
		return failuresLeft > 0 ? err(noResponse) : ok({type: 'committed' as const, revision: 7});
	});
	t.is(await fixture.operations.submit(declaration, Number.POSITIVE_INFINITY), 'accepted');
	t.is(fixture.calls(), 5);
});

test('a write whose response was lost is repeated and accepted if the job is already stored', async t => {
	let isFirst = true;
	const fixture = createFixture(async () => {
		const outcome = isFirst ? err(noResponse) : ok({type: 'condition-failed' as const, revision: 0});
		isFirst = false;
		return outcome;
	}, [jobPrefix + declaration.id]);
	t.is(await fixture.operations.submit(declaration, Number.POSITIVE_INFINITY), 'accepted');
	t.is(fixture.health.unavailableMilliseconds(), undefined);
});

test('the store counts as available again after one successful call', async t => {
	let isDown = true;
	const fixture = createFixture(async () => isDown ? err(unavailable) : ok({type: 'committed' as const, revision: 7}));
	for (let attempt = 0; attempt < 3; attempt += 1) {
		// eslint-disable-next-line no-await-in-loop -- Sequential calls.
		t.is(await fixture.operations.submit(declaration, 1_000_000), 'not-stored');
	}

	t.not(fixture.health.unavailableMilliseconds(), undefined);
	isDown = false;
	await fixture.store.transact({conditions: [], operations: []});
	t.is(await fixture.operations.submit(declaration, 1_000_000), 'accepted');
});
