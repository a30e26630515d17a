/** A start that is sent before the store names it would be unknown to the next owner, which could start the task twice. */
import type {RunRow, StartOrder} from '@turmericbay/scheduler';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {createOrderExecutor} from '../src/order-executor.js';
import {WorkerCallErrorKind} from '../src/ports.js';
import {createDeclaration, createSchedulerWithWorker, settle} from './support/builders.js';

const createCase = () => {
	const {scheduler, worker} = createSchedulerWithWorker(1);
	scheduler.addJob(createDeclaration('job'), {restored: false, now: 0, wallNow: 0});
	const started: string[] = [];
	const records: Array<{readonly row: RunRow; readonly stored: () => void}> = [];
	const unused = async () => err({kind: WorkerCallErrorKind.NotSent, message: 'not used'} as const);
	const orders = createOrderExecutor({
		scheduler, adviceClient: undefined, clock: {now: () => 10, wallNow: () => 10}, epoch: 1, mayStart: () => true,
		workerClient: {
			stop: unused, throttle: unused, heartbeat: unused, disconnect: () => undefined,
			async start({task}) {
				started.push(task);
				return ok({clockMilliseconds: 10, incarnation: 1, rejection: undefined});
			},
		},
		getSession: () => ({grantLease: () => 1000, wake: () => undefined, end: () => undefined}),
		async recordRun(row) {
			await new Promise<void>(resolve => {
				records.push({row, stored: resolve});
			});
		},
		onFenced: () => undefined, onChange: () => undefined, onStartAttempted: () => undefined,
	});
	const order = scheduler.plan({now: 1, wallNow: 1, mayStart: true}).find((candidate): candidate is StartOrder => candidate.type === 'start');
	orders.execute(order!);
	return {
		scheduler, worker, started, records,
	};
};

test('a start is sent only after the store names the run', async t => {
	const {started, records} = createCase();
	await settle();
	t.deepEqual(started, []);
	records[0]!.stored();
	await settle();
	t.deepEqual(started, ['job.0.0.0']);
});

test('a start is not sent if the job was cancelled meanwhile, and leaves its room', async t => {
	const {scheduler, worker, started, records} = createCase();
	await settle();
	scheduler.cancelJob('job');
	records[0]!.stored();
	await settle();
	t.deepEqual(started, []);
	t.is(worker.runs.size, 0);
});

test('a start is not sent to a worker that is about to end for its machine', async t => {
	const {worker, started, records} = createCase();
	await settle();
	worker.isCordoned = true;
	records[0]!.stored();
	await settle();
	t.deepEqual(started, []);
	t.is(worker.runs.size, 0);
});
