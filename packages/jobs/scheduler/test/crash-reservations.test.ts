import test from 'ava';
import {createRegistration, respond, startAll} from './support/builders.js';
import {createCrashFixture} from './support/crash-fixture.js';

const createResources = (cpuMillis: number) => ({cpuMillis, memoryMegabytes: 1, accelerators: 0});

// Guards against a pool that stands still because a worker is kept free for a task that cannot start there.
test('no worker is kept free for a task that does not fit beside the long-running tasks there', t => {
	const fixture = createCrashFixture();
	const {scheduler} = fixture;
	const worker = fixture.addWorker('w1');
	fixture.addJob('service', {longRunning: true, resources: createResources(3000)});
	t.is(startAll(scheduler, 1).length, 1);
	respond(scheduler, worker, 300);
	const [suspect] = fixture.addJob('a', {resources: createResources(2000)}).occurrences.get(0)![0]!.tasks;
	suspect!.crashedRuns.push(-2, -1);
	fixture.addJob('b', {resources: createResources(500)});
	t.deepEqual(startAll(scheduler, 301).map(([task]) => task), ['b.0.0.0']);
});

// Guards against a task that never starts because the emptiest worker is too small for it and the others always have new runs.
test('the worker that is kept free for a task is large enough for it', t => {
	const fixture = createCrashFixture();
	const {scheduler} = fixture;
	fixture.addWorker('small', 0, {capacity: {...createRegistration('small').capacity, cpuMillis: 1000}});
	const large = fixture.addWorker('large');
	fixture.addJob('first', {resources: createResources(2000)});
	t.deepEqual(startAll(scheduler, 1), [['first.0.0.0', 'large']]);
	const [suspect] = fixture.addJob('a', {resources: createResources(2000)}).occurrences.get(0)![0]!.tasks;
	suspect!.crashedRuns.push(-2, -1);
	fixture.addJob('b', {resources: createResources(2000)});
	t.deepEqual(startAll(scheduler, 2), []);
	respond(scheduler, large, 300);
	t.deepEqual(startAll(scheduler, 301), [['a.0.0.0', 'large']]);
});

// Guards against a pool that stands still because a worker is kept free for as long as a run lasts there.
test('a task with two crashes starts beside one of another job whose start the worker has outlasted', t => {
	const fixture = createCrashFixture();
	const {scheduler} = fixture;
	const worker = fixture.addWorker('w1');
	const addSuspect = (id: string) => {
		fixture.addJob(id).occurrences.get(0)![0]!.tasks[0]!.crashedRuns.push(-2, -1);
	};

	addSuspect('a');
	t.deepEqual(startAll(scheduler, 1).map(([task]) => task), ['a.0.0.0']);
	addSuspect('b');
	t.deepEqual(startAll(scheduler, 2), []);
	respond(scheduler, worker, 300);
	t.deepEqual(startAll(scheduler, 301).map(([task]) => task), ['b.0.0.0']);
	fixture.addJob('c');
	respond(scheduler, worker, 600);
	t.deepEqual(startAll(scheduler, 601).map(([task]) => task), ['c.0.0.0']);
});

// Guards against a pool that stands still because a gang under which workers have crashed waits for more workers.
test('a gang that does not fit keeps no worker from other jobs', t => {
	const fixture = createCrashFixture();
	const {scheduler} = fixture;
	fixture.addWorker('w1');
	fixture.addWorker('w2');
	for (const task of fixture.addJob('gang', {gang: true, taskCount: 3, resources: createResources(3000)}).occurrences.get(0)![0]!.tasks) {
		task.crashedRuns.push(-2, -1);
	}

	fixture.addJob('b', {taskCount: 2, resources: createResources(500)});
	t.deepEqual(startAll(scheduler, 1).map(([task]) => task), ['b.0.0.0', 'b.0.0.1']);
});
