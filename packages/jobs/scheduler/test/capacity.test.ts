import test from 'ava';
import {EndReason} from '../src/index.js';
import {
	addJob, addWorker, createRegistration, createStep, createTestScheduler, endRun, startAll,
} from './support/builders.js';

// Guards against starts on a worker that has become smaller while it runs.
test('a worker whose capacity has shrunk gets no start until enough of its runs have ended, and more once it has grown again', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	const register = (cpuMillis: number): void => {
		scheduler.registerWorker({
			registration: createRegistration('w1', {capacity: {cpuMillis, memoryMegabytes: 10_000, accelerators: 0}}),
			isRegistered: true, isReconciled: true, latestLeaseExpiry: Number.NEGATIVE_INFINITY,
		});
	};

	addJob(scheduler, 'j', [createStep({taskCount: 9})]);
	t.is(startAll(scheduler, 1).length, 4);
	register(2000);
	for (const [index, expected] of [0, 0, 1].entries()) {
		endRun(scheduler, worker, {
			task: `j.0.0.${index}`, run: 1, reason: EndReason.Done, now: 10 + index,
		});
		t.is(startAll(scheduler, 20 + index).length, expected);
	}

	register(3000);
	t.is(startAll(scheduler, 30).length, 1);
});
