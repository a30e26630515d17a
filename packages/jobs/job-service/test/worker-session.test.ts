import type {EndedEntry} from '@turmericbay/scheduler';
import {createScheduler, EndReason} from '@turmericbay/scheduler';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createFencingTokens} from '../src/fencing-tokens.js';
import type {WorkerClient} from '../src/ports.js';
import {WorkerCallErrorKind} from '../src/ports.js';
import {createWorkerSession} from '../src/worker-session.js';
import {createRegistration, settle} from './support/builders.js';

type HeartbeatRequest = Parameters<WorkerClient['heartbeat']>[0];
type HeartbeatResult = Awaited<ReturnType<WorkerClient['heartbeat']>>;

const lostResponse: HeartbeatResult = err({kind: WorkerCallErrorKind.Unknown, message: 'no answer'});
const createResponse = (clockMilliseconds: number, incarnation = 1, ended: readonly EndedEntry[] = []): HeartbeatResult => ok({
	clockMilliseconds, incarnation, report: {
		incarnation, running: [], ended, hasMoreEnded: false,
	},
});
const endedRun: EndedEntry = {
	sequence: 7, task: 'job.0.0.0', run: 1, reason: EndReason.Done, checkpoint: '',
};

const createFixture = () => {
	let now = 1000;
	const heartbeats: Array<{readonly request: HeartbeatRequest; readonly resolve: (result: HeartbeatResult) => void}> = [];
	const unused = async () => err({kind: WorkerCallErrorKind.NotSent, message: 'not used'} as const);
	const workerClient: WorkerClient = {
		start: unused,
		stop: unused,
		throttle: unused,
		async heartbeat(request) {
			return new Promise(resolve => {
				heartbeats.push({request, resolve});
			});
		},
		disconnect: () => undefined,
	};
	const scheduler = createScheduler({epoch: 1, emit: () => undefined});
	const worker = scheduler.registerWorker({
		registration: createRegistration(), isRegistered: true, isReconciled: true, latestLeaseExpiry: Number.NEGATIVE_INFINITY,
	});
	const ignore = (): void => undefined;
	let fencedCount = 0;
	let goneCount = 0;
	const session = createWorkerSession({
		worker, workerClient, scheduler, clock: {now: () => now, wallNow: () => now},
		fencingTokens: createFencingTokens({epoch: 1, scheduler}), workerLeaseMilliseconds: 3500, maximumLeaseMilliseconds: 10_000, mayExtendLeases: () => true,
		persistChanges: async () => undefined, onChange: ignore, onCallFailed: ignore, onRecovered: ignore,
		onFenced() {
			fencedCount += 1;
		},
		onGone() {
			goneCount += 1;
		},
	});
	return {
		worker, heartbeats, session,
		fencedCount: () => fencedCount,
		goneCount: () => goneCount,
		/** The platform lists the worker's next process before that has answered. */
		listRestarted(address?: string): void {
			scheduler.registerWorker({
				registration: createRegistration({incarnation: 2, ...(address !== undefined && {address})}), isRegistered: true, isReconciled: true, latestLeaseExpiry: Number.NEGATIVE_INFINITY,
			});
		},
		advance(milliseconds: number): void {
			now += milliseconds;
		},
	};
};

// Guards against tasks that never start elsewhere: each unanswered call to a dead worker extended its presumed lease.
test('a worker that does not respond is polled without extending its lease', async t => {
	const {worker, heartbeats, session, advance} = createFixture();
	heartbeats[0]!.resolve(createResponse(500));
	await settle();
	t.not(heartbeats[1]!.request.leaseExpiresAt, undefined);
	const {latestLeaseExpiry} = worker;
	advance(1000);
	heartbeats[1]!.resolve(lostResponse);
	await settle();
	session.wake();
	await settle();
	t.is(heartbeats.length, 3);
	t.is(heartbeats[2]!.request.leaseExpiresAt, undefined);
	t.is(worker.latestLeaseExpiry, latestLeaseExpiry);
	heartbeats[2]!.resolve(createResponse(1600));
	await settle();
	t.not(heartbeats[3]!.request.leaseExpiresAt, undefined);
	session.end();
});

// Guards against a busy loop of calls to a worker that already has a newer owner.
test('a session ends when a newer owner has called the worker', async t => {
	const {heartbeats} = createFixture();
	heartbeats[0]!.resolve(err({kind: WorkerCallErrorKind.Fenced, message: 'lower token'}));
	await settle();
	t.is(heartbeats.length, 1);
});

// Guards against a task that waits up to 0.9 s, the rest of a long poll, until it is known whether its start was executed.
test('a run report is requested while a long poll is pending', async t => {
	const {worker, heartbeats, session, advance} = createFixture();
	heartbeats[0]!.resolve(createResponse(500));
	await settle();
	t.not(heartbeats[1]!.request.waitMilliseconds, 0);
	advance(100);
	session.wake();
	session.wake();
	await settle();
	t.is(heartbeats.length, 3);
	t.deepEqual(
		[heartbeats[2]!.request.waitMilliseconds, heartbeats[2]!.request.leaseExpiresAt, heartbeats[2]!.request.acknowledgedSequence],
		[0, undefined, 0],
	);
	heartbeats[2]!.resolve(createResponse(600));
	await settle();
	t.is(worker.lastContactAt, 1100);
	session.end();
});

// Guards against ended runs that a restarted worker drops, because a call for its previous process acknowledged their numbers: their tasks ran twice.
test('after a restart, calls carry a higher token and acknowledge nothing until the new process has reported', async t => {
	const {heartbeats, session, listRestarted} = createFixture();
	heartbeats[0]!.resolve(createResponse(500, 1, [endedRun]));
	await settle();
	t.is(heartbeats[1]!.request.acknowledgedSequence, 7);
	listRestarted();
	heartbeats[1]!.resolve(createResponse(600));
	await settle();
	t.is(heartbeats[2]!.request.acknowledgedSequence, 0);
	t.true(heartbeats[2]!.request.fencingToken > heartbeats[1]!.request.fencingToken);
	session.end();
});

// Guards against leases that end at an arbitrary time: the clock of the next process starts anew.
test('no lease is granted by the clock of a process that has ended', async t => {
	const {heartbeats, session, listRestarted} = createFixture();
	heartbeats[0]!.resolve(createResponse(500));
	await settle();
	t.not(session.grantLease(), undefined);
	listRestarted();
	t.is(session.grantLease(), undefined);
	heartbeats[1]!.resolve(createResponse(600));
	await settle();
	t.is(session.grantLease(), undefined);
	heartbeats[2]!.resolve(createResponse(20, 2));
	await settle();
	t.is(session.grantLease()?.expiresAt, 3520);
	session.end();
});

// Guards against an owner that gives up because the restarted worker rejects a call for its previous process.
test('a rejection of an earlier token of this owner does not end its ownership', async t => {
	const {heartbeats, session, listRestarted, fencedCount} = createFixture();
	heartbeats[0]!.resolve(createResponse(500));
	await settle();
	listRestarted();
	heartbeats[1]!.resolve(err({kind: WorkerCallErrorKind.Fenced, message: 'lower token'}));
	await settle();
	t.is(fencedCount(), 0);
	t.is(heartbeats.length, 3);
	heartbeats[2]!.resolve(err({kind: WorkerCallErrorKind.Fenced, message: 'lower token'}));
	await settle();
	t.is(fencedCount(), 1);
	session.end();
});

// Guards against tasks that run twice: the runs of a restarted worker counted as lost when another worker rejected a call to its former address.
test('a call to the former address of a worker that has restarted does not remove it', async t => {
	const {heartbeats, session, listRestarted, goneCount} = createFixture();
	heartbeats[0]!.resolve(createResponse(500));
	await settle();
	listRestarted('10.0.0.2:80');
	session.wake();
	await settle();
	t.is(heartbeats[2]!.request.worker.address, '10.0.0.2:80');
	heartbeats[2]!.resolve(createResponse(20, 2));
	await settle();
	t.is(session.grantLease()?.expiresAt, 3520);
	heartbeats[1]!.resolve(err({kind: WorkerCallErrorKind.Gone, message: 'another worker'}));
	await settle();
	t.is(goneCount(), 0);
	t.is(heartbeats[3]!.request.worker.address, '10.0.0.2:80');
	heartbeats[3]!.resolve(err({kind: WorkerCallErrorKind.Gone, message: 'another worker'}));
	await settle();
	t.is(goneCount(), 1);
	session.end();
});

// Guards against calls without a pause between them: the registration named a later process than the one that answers.
test('a worker that goes on answering as an earlier process is not called without a pause', async t => {
	const {heartbeats, session, listRestarted} = createFixture();
	heartbeats[0]!.resolve(createResponse(500));
	await settle();
	listRestarted();
	for (let answered = 1; answered < 6; answered += 1) {
		heartbeats[answered]?.resolve(createResponse(600));
		// eslint-disable-next-line no-await-in-loop -- One call at a time.
		await settle();
	}

	session.end();
	t.true(heartbeats.length <= 3);
});

// Guards against two runs of a task: the next process of a worker held a longer lease than the owner reckoned with, by a call that the owner saw end only after it had learned of that process.
test('a lease for a former process counts as the longest one if its call ends after the next process is known', async t => {
	for (const [outcome, isReckoned] of [
		[lostResponse, true],
		[err({kind: WorkerCallErrorKind.Fenced, message: 'lower token'}), true],
		[createResponse(20, 2), true],
		[createResponse(600), false],
		[err({kind: WorkerCallErrorKind.NotSent, message: 'no connection'}), false],
	] as ReadonlyArray<readonly [HeartbeatResult, boolean]>) {
		const {worker, heartbeats, session, listRestarted} = createFixture();
		heartbeats[0]!.resolve(createResponse(500));
		// eslint-disable-next-line no-await-in-loop -- One case after the other.
		await settle();
		t.not(heartbeats[1]!.request.leaseExpiresAt, undefined);
		listRestarted();
		heartbeats[1]!.resolve(outcome);
		// eslint-disable-next-line no-await-in-loop -- As above.
		await settle();
		t.is(worker.latestLeaseExpiry > 1000 + 10_000, isReckoned);
		session.end();
	}
});

// Guards against tasks of a crashed worker that wait for a lease which nothing holds.
test('a lease counts as it was granted if its call ends before another process is known', async t => {
	const {worker, heartbeats, session} = createFixture();
	heartbeats[0]!.resolve(createResponse(500));
	await settle();
	const {latestLeaseExpiry} = worker;
	heartbeats[1]!.resolve(lostResponse);
	await settle();
	t.is(worker.latestLeaseExpiry, latestLeaseExpiry);
	session.end();
});
