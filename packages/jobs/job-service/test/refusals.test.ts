/** Guards against refusals that are not true: a refused job must never run, whatever happens to the writes of its attempts. */
import test from 'ava';
import type {AdmissionControl} from '../src/admission-control.js';
import type {Refusal} from '../src/admission.js';
import {RefusalCause} from '../src/admission.js';
import {createJobOperations} from '../src/job-operations.js';
import {jobPrefix, refusalPrefix, resultPrefix} from '../src/records.js';
import {monitorStore} from '../src/store-health.js';
import {createDeclaration} from './support/builders.js';
import {createMemoryStore} from './support/memory-store.js';

const id = '0123456789abcdef';
const declaration = createDeclaration(id);
const refusal: Refusal = {
	type: 'refuse', cause: RefusalCause.NoCapacity, retryAfterSeconds: 2, work: 1, figures: {
		pool: 'pool-1', ageMilliseconds: 100, waitMilliseconds: 9000, runMilliseconds: 500, usefulMilliseconds: 4800, capacity: 1000, demand: 5000, share: 500,
	},
};
const deadline = Number.POSITIVE_INFINITY;

const createFixture = () => {
	const memory = createMemoryStore();
	let now = 10_000;
	/** Revision of the store by time, as the configuration is confirmed. */
	const reached: Array<{readonly revision: number; readonly at: number}> = [];
	const clock = {now: () => now, wallNow: () => now};
	const notRecorded: string[] = [];
	let returning = 0;
	const {store, health} = monitorStore({store: memory.store, clock});
	const createInstance = (decide: () => 'admit' | 'refuse') => {
		const admission: AdmissionControl = {
			decide: () => decide() === 'refuse' ? refusal : {type: 'admit'},
			getPolicy: () => ({
				name: 'queue-1', pool: 'pool-1', priority: 0, maximumAttempts: 2, stretch: 2, objectiveMilliseconds: 600, advice: undefined,
			}),
			recordAccepted: () => undefined,
			recordRefused() {
				returning += 1;
			},
		};
		return createJobOperations({
			store, health, clock, admission, maximumValueBytes: 1_048_576, random: Math.random, onUnreadable: () => undefined,
			getReachedTime: revision => reached.find(sample => sample.revision >= revision)?.at,
			ownerClient: {
				notifyJobStored: () => undefined, notifyJobCancelled: () => undefined, getJobState: async () => undefined, countPending: async () => undefined,
				getLoadFigures: () => undefined, requestTransfer: () => undefined, registerDispatcher: () => undefined,
			},
			log: {
				jobRefused: () => undefined,
				refusalNotRecorded(_, message) {
					notRecorded.push(message);
				},
			},
		});
	};

	return {
		...memory, health, notRecorded,
		admitting: createInstance(() => 'admit'),
		refusing: createInstance(() => 'refuse'),
		countReturning: () => returning,
		/** Time passes, and the instances see the current revision of the store. */
		advance(milliseconds: number): void {
			now += milliseconds;
			reached.push({revision: memory.revision(), at: now});
		},
		now: () => now,
	};
};

// Guards against the write of an earlier attempt that is applied after its caller was told that the job never runs.
test('a delayed write of an earlier attempt is not applied after the refusal', async t => {
	const {admitting, refusing, setChoice, release, entries, now} = createFixture();
	setChoice(() => 'delayed');
	t.is(await admitting.submit(declaration, now()), 'unknown');
	setChoice(() => 'applied');
	t.deepEqual(await refusing.submit(declaration, deadline), refusal);
	t.deepEqual(release(), ['condition-failed']);
	t.deepEqual([...entries.keys()], [refusalPrefix + id]);
});

// Guards against an attempt that began before the refusal and takes it for that of an earlier attempt.
test('an attempt that began before the refusal does not store the job', async t => {
	const {admitting, refusing, entries, advance, now} = createFixture();
	const receivedAt = now();
	advance(1);
	t.deepEqual(await refusing.submit(declaration, deadline), refusal);
	advance(1000);
	t.is(await admitting.submit(declaration, deadline, receivedAt), 'not-stored');
	t.false(entries.has(jobPrefix + id));
});

// Guards against callers that never get through because an earlier attempt was refused.
test('a later attempt with the same ID removes the record and stores the job', async t => {
	const {admitting, refusing, entries, advance} = createFixture();
	t.deepEqual(await refusing.submit(declaration, deadline), refusal);
	advance(1000);
	t.is(await admitting.submit(declaration, deadline), 'accepted');
	t.deepEqual([...entries.keys()], [jobPrefix + id]);
});

// Guards against two attempts after a refusal of which one is refused again while the other stores the job.
test('a refusal that is recorded again while a later attempt is being stored prevents the write', async t => {
	const {admitting, refusing, entries, advance, setChoice} = createFixture();
	await refusing.submit(declaration, deadline);
	advance(1000);
	let writes = 0;
	let second: Promise<unknown> | undefined;
	setChoice(() => {
		writes += 1;
		if (writes === 2) {
			// Between the read of the first record and the write that removes it.
			second = refusing.submit(declaration, deadline);
			return 'delayed';
		}

		return 'applied';
	});
	t.is(await admitting.submit(declaration, deadline), 'not-stored');
	t.deepEqual(await second, refusal);
	t.false(entries.has(jobPrefix + id));
});

// Guards against a refusal of a job that an earlier attempt has stored, or that has even ended.
test('a job that is stored is not refused', async t => {
	const {admitting, refusing, entries, countReturning} = createFixture();
	t.is(await admitting.submit(declaration, deadline), 'accepted');
	t.is(await refusing.submit(declaration, deadline), 'accepted');
	entries.delete(jobPrefix + id);
	entries.set(resultPrefix + id, {key: resultPrefix + id, value: 'completed', modifiedRevision: 20});
	t.is(await refusing.submit(declaration, deadline), 'accepted');
	t.is(countReturning(), 0);
});

// Guards against a job that is neither refused nor stored because the response of the refusal's write was lost, applied or not.
for (const choice of ['lost', 'delayed'] as const) {
	test(`if the write of the refusal is ${choice} the job is stored`, async t => {
		const {refusing, entries, setChoice, release, notRecorded} = createFixture();
		let isFirst = true;
		setChoice(() => {
			const current = isFirst ? choice : 'applied';
			isFirst = false;
			return current;
		});
		t.is(await refusing.submit(declaration, deadline), 'accepted');
		t.deepEqual(notRecorded, ['no answer']);
		t.deepEqual(release(), choice === 'delayed' ? ['condition-failed'] : []);
		t.deepEqual([...entries.keys()], [jobPrefix + id]);
	});
}

// Guards against a refusal that is later than its objective allows because the store does not respond.
test('a refusal that cannot be recorded in a quarter of the objective is not sent', async t => {
	const {refusing, notRecorded, now} = createFixture();
	t.is(await refusing.submit(declaration, deadline, now() - 200), 'accepted');
	t.is(notRecorded.length, 1);
});

// Guards against a change of what callers get while the store is down.
test('while the store is down a job is rejected as before, without a record', async t => {
	const {refusing, entries, takeDown, now} = createFixture();
	takeDown();
	for (let call = 0; call < 3; call += 1) {
		// eslint-disable-next-line no-await-in-loop -- Sequential calls.
		await refusing.submit({...declaration, id: `00000000000000${call}0`}, now());
	}

	t.is(await refusing.submit(declaration, deadline), 'not-stored');
	t.is(entries.size, 0);
});
