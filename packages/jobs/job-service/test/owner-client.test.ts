import type {HttpClient} from '@turmericbay/http-client';
import {HttpFailureKind} from '@turmericbay/http-client';
import {JobState} from '@turmericbay/scheduler';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createOwnerClient} from '../src/owner-client.js';
import type {OwnerRecord} from '../src/records.js';
import {createDeclaration, settle} from './support/builders.js';

const figuresText = JSON.stringify({figures: {pools: {'pool-1': {capacity: 1, backlogs: [], workspaces: {}}}, durations: {}}, ageMilliseconds: 10, state: JobState.Running});

const createFixture = () => {
	let now = 0;
	let isAnswering = false;
	let owner: OwnerRecord = {
		instance: 'one', address: '10.0.0.1:80', epoch: 1, leaseId: '1',
	};
	const calls: string[] = [];
	const client: Pick<HttpClient, 'call'> = {
		async call({path}) {
			calls.push(path);
			return isAnswering ? ok({status: 200, text: path.includes('figures') ? figuresText : `{"state":"${JobState.Running}"}`}) : err({kind: HttpFailureKind.Timeout, message: 'no complete response within the deadline'});
		},
	};
	const ownerClient = createOwnerClient({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		client: client as HttpClient, clock: {now: () => now, wallNow: () => now},
		getLocalOwner: () => undefined, getRemoteOwner: () => owner, onFailure: () => undefined,
	});
	return {
		ownerClient,
		countCalls: () => calls.splice(0).length,
		takeCalls: () => calls.splice(0),
		advance(milliseconds: number) {
			now += milliseconds;
		},
		answer(isAnswered: boolean) {
			isAnswering = isAnswered;
		},
		changeOwner(address: string) {
			owner = {...owner, address, epoch: owner.epoch + 1};
		},
	};
};

// Guards against instances whose calls take the processor time of an owner that already answers too late, so that accepted jobs stand still.
test('an owner that does not answer in time is called less and less often', async t => {
	const {ownerClient, countCalls, advance, answer} = createFixture();
	for (let elapsed = 0; elapsed < 10_000; elapsed += 50) {
		// eslint-disable-next-line no-await-in-loop -- One call after the other.
		t.is(await ownerClient.getJobState('job'), undefined);
		advance(50);
	}

	t.true(countCalls() <= 10);
	answer(true);
	advance(2000);
	t.is(await ownerClient.getJobState('job'), JobState.Running);
	t.is(await ownerClient.getJobState('job'), JobState.Running);
	t.is(countCalls(), 2);
});

// Guards against a new owner that is not asked because the previous one did not answer.
test('a new owner is called at once', async t => {
	const {ownerClient, countCalls, answer, changeOwner} = createFixture();
	for (let call = 0; call < 5; call += 1) {
		// eslint-disable-next-line no-await-in-loop -- One call after the other.
		await ownerClient.getJobState('job');
	}

	t.is(countCalls(), 2);
	answer(true);
	changeOwner('10.0.0.2:80');
	t.is(await ownerClient.getJobState('job'), JobState.Running);
});

// Guards against an instance that has no new figures because it refuses all jobs, and against one that asks for them with every call.
test('figures are requested with stored jobs, and with questions for states while a pool is full', async t => {
	const {ownerClient, takeCalls, advance, answer} = createFixture();
	answer(true);
	await ownerClient.getJobState('job');
	t.deepEqual(takeCalls(), ['/jobs/job']);
	ownerClient.notifyJobStored(createDeclaration('a'), 3);
	ownerClient.notifyJobStored(createDeclaration('b'), 4);
	await settle();
	t.deepEqual(takeCalls(), ['/jobs?revision=3&figures=1', '/jobs?revision=4']);
	t.is(ownerClient.getLoadFigures()?.computedAt, -10);
	await ownerClient.getJobState('job');
	advance(1000);
	t.is(await ownerClient.getJobState('job'), JobState.Running);
	t.deepEqual(takeCalls(), ['/jobs/job', '/jobs/job?figures=1']);
	t.is(ownerClient.getLoadFigures()?.computedAt, 990);
});
