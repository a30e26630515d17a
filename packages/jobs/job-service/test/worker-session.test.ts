import {createScheduler} from '@turmericbay/scheduler';
import test from 'ava';
import {err, ok} from 'neverthrow';
import type {WorkerClient} from '../src/ports.js';
import {WorkerCallErrorKind} from '../src/ports.js';
import {createWorkerSession} from '../src/worker-session.js';
import {createReport, settle} from './support/builders.js';

type Hold = Parameters<WorkerClient['heartbeat']>[0];
type HoldResult = Awaited<ReturnType<WorkerClient['heartbeat']>>;

const lost: HoldResult = err({kind: WorkerCallErrorKind.Unknown, message: 'no answer'});
const answerOf = (clockMilliseconds: number): HoldResult => ok({
	clockMilliseconds, incarnation: 1, report: {
		incarnation: 1, running: [], ended: [], partial: false,
	},
});

const createHarness = () => {
	let now = 1000;
	const holds: Array<{readonly hold: Hold; readonly resolve: (result: HoldResult) => void}> = [];
	const unused = async () => err({kind: WorkerCallErrorKind.NotSent, message: 'not used'} as const);
	const client: WorkerClient = {
		start: unused,
		stop: unused,
		throttle: unused,
		async heartbeat(hold) {
			return new Promise(resolve => {
				holds.push({hold, resolve});
			});
		},
		disconnect: () => undefined,
	};
	const scheduler = createScheduler({epoch: 1, emit: () => undefined});
	const worker = scheduler.registerWorker({
		registration: createReport(), isRegistered: true, isReconciled: true, latestLeaseExpiry: Number.NEGATIVE_INFINITY,
	});
	const ignore = (): void => undefined;
	const session = createWorkerSession({
		worker, workerClient: client, scheduler, clock: {now: () => now, wallNow: () => now}, epoch: 1, workerLeaseMilliseconds: 3500, mayExtendLeases: () => true,
		persistChanges: async () => undefined, onFenced: ignore, onChange: ignore, onCallFailed: ignore, onRecovered: ignore, onGone: ignore,
	});
	return {
		worker, holds, session,
		advance(milliseconds: number): void {
			now += milliseconds;
		},
	};
};

// Guards against work that never starts elsewhere: each unanswered call to a worker that was gone for good put off the end of its lease.
test('a worker that does not answer is asked without extending its lease', async t => {
	const {worker, holds, session, advance} = createHarness();
	holds[0]!.resolve(answerOf(500));
	await settle();
	t.not(holds[1]!.hold.leaseExpiresAt, undefined);
	const {latestLeaseExpiry} = worker;
	advance(1000);
	holds[1]!.resolve(lost);
	await settle();
	session.wake();
	await settle();
	t.is(holds.length, 3);
	t.is(holds[2]!.hold.leaseExpiresAt, undefined);
	t.is(worker.latestLeaseExpiry, latestLeaseExpiry);
	holds[2]!.resolve(answerOf(1600));
	await settle();
	t.not(holds[3]!.hold.leaseExpiresAt, undefined);
	session.end();
});

// Guards against a loop of calls to a worker that already listens to a newer owner.
test('a session ends when a newer owner has called the worker', async t => {
	const {holds} = createHarness();
	holds[0]!.resolve(err({kind: WorkerCallErrorKind.Fenced, message: 'lower token'}));
	await settle();
	t.is(holds.length, 1);
});

// Pattern: orders go unanswered; a task waited up to 0.9 s for the call in flight before it was known whether it had started.
test('the lists are read beside a call that waits for an end', async t => {
	const {worker, holds, session, advance} = createHarness();
	holds[0]!.resolve(answerOf(500));
	await settle();
	t.not(holds[1]!.hold.waitMilliseconds, 0);
	advance(100);
	session.wake();
	session.wake();
	await settle();
	t.is(holds.length, 3);
	t.deepEqual(
		[holds[2]!.hold.waitMilliseconds, holds[2]!.hold.leaseExpiresAt, holds[2]!.hold.acknowledgedSequence],
		[0, undefined, 0],
	);
	holds[2]!.resolve(answerOf(600));
	await settle();
	t.is(worker.lastContactAt, 1100);
	session.end();
});
