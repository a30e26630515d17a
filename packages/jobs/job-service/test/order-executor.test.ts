/** Guards against tasks that run twice: a start that is sent before the run is stored is unknown to the next owner. */
import type {RunRow, StartOrder} from '@turmericbay/scheduler';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createFencingTokens} from '../src/fencing-tokens.js';
import {createOrderExecutor} from '../src/order-executor.js';
import {WorkerCallErrorKind} from '../src/ports.js';
import {createDeclaration, createSchedulerWithWorker, settle} from './support/builders.js';

const createFixture = () => {
	const {scheduler, worker} = createSchedulerWithWorker(1);
	scheduler.addJob(createDeclaration('job'), {isRestored: false, now: 0, wallNow: 0});
	const started: string[] = [];
	const pendingRecords: Array<{readonly row: RunRow; readonly stored: () => void}> = [];
	const unused = async () => err({kind: WorkerCallErrorKind.NotSent, message: 'not used'} as const);
	const orderExecutor = createOrderExecutor({
		scheduler, adviceClient: undefined, clock: {now: () => 10, wallNow: () => 10}, fencingTokens: createFencingTokens({epoch: 1, scheduler}), mayStart: () => true,
		workerClient: {
			stop: unused, throttle: unused, heartbeat: unused, disconnect: () => undefined,
			async start({task}) {
				started.push(task);
				return ok({clockMilliseconds: 10, incarnation: 1, rejection: undefined});
			},
		},
		getSession: () => ({grantLease: () => ({expiresAt: 1000, confirm: () => true}), wake: () => undefined, end: () => undefined}),
		async recordRun(row) {
			await new Promise<void>(resolve => {
				pendingRecords.push({row, stored: resolve});
			});
		},
		onFenced: () => undefined, onChange: () => undefined, onStartAttempted: () => undefined, onStopAttempted: () => undefined,
	});
	const order = scheduler.plan({now: 1, wallNow: 1, mayStart: true}).find((candidate): candidate is StartOrder => candidate.type === 'start');
	orderExecutor.execute(order!);
	return {
		scheduler, worker, started, pendingRecords,
	};
};

test('a start is sent only after the run is stored', async t => {
	const {started, pendingRecords} = createFixture();
	await settle();
	t.deepEqual(started, []);
	pendingRecords[0]!.stored();
	await settle();
	t.deepEqual(started, ['job.0.0.0']);
});

test('a start is not sent if the job has been cancelled meanwhile, and its capacity is released', async t => {
	const {scheduler, worker, started, pendingRecords} = createFixture();
	await settle();
	scheduler.cancelJob('job');
	pendingRecords[0]!.stored();
	await settle();
	t.deepEqual(started, []);
	t.is(worker.runs.size, 0);
});

test('a start is not sent to a cordoned worker, whose machine is about to be moved or maintained', async t => {
	const {worker, started, pendingRecords} = createFixture();
	await settle();
	worker.isCordoned = true;
	pendingRecords[0]!.stored();
	await settle();
	t.deepEqual(started, []);
	t.is(worker.runs.size, 0);
});

// Guards against starts that bring a worker over its capacity, where workers do not reject them.
test('a start is not sent if the capacity of the worker has shrunk below what is in use meanwhile', async t => {
	const {scheduler, worker, started, pendingRecords} = createFixture();
	await settle();
	worker.registration = {...worker.registration, capacity: {cpuMillis: 50, memoryMegabytes: 1000, accelerators: 0}};
	pendingRecords[0]!.stored();
	await settle();
	t.deepEqual(started, []);
	t.is(worker.runs.size, 0);

	worker.registration = {...worker.registration, capacity: {cpuMillis: 100, memoryMegabytes: 1000, accelerators: 0}};
	t.is(scheduler.plan({now: 20, wallNow: 20, mayStart: true}).length, 1);
});

// Guards against a start in a zone whose evacuation was read while the run was being stored.
test('a start is not sent to a worker whose zone has been evacuated meanwhile, and its capacity is released', async t => {
	const {scheduler, worker, started, pendingRecords} = createFixture();
	await settle();
	scheduler.setEvacuatedZones(new Set(['north']), 10);
	pendingRecords[0]!.stored();
	await settle();
	t.deepEqual(started, []);
	t.is(worker.runs.size, 0);
});

// Guards against tasks that run twice: the record named the former process, so the next owner took the run for ended while the new process executed it.
test('a start is not sent to another process of the worker than the stored record names', async t => {
	const {scheduler, worker, started, pendingRecords} = createFixture();
	await settle();
	scheduler.applyRunReport({
		worker, sentAt: 5, now: 6, report: {
			incarnation: 2, running: [], ended: [], hasMoreEnded: false,
		},
	});
	pendingRecords[0]!.stored();
	await settle();
	t.deepEqual(started, []);
	t.is(worker.runs.size, 0);
	t.is(scheduler.plan({now: 20, wallNow: 20, mayStart: true}).filter(({type}) => type === 'start').length, 1);
});
