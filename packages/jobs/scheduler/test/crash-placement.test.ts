import test from 'ava';
import type {WorkerRow} from '../src/index.js';
import {JobState} from '../src/index.js';
import {respond, startAll} from './support/builders.js';
import {createCrashFixture, startAndCrash} from './support/crash-fixture.js';

// Guards against a third crash that does not tell which task is the cause, and so fails the wrong job.
test('tasks of different jobs with two crashes do not share a worker, those of one job may', t => {
	const fixture = createCrashFixture();
	const {scheduler} = fixture;
	const jobs = ['a', 'b'].map(id => fixture.addJob(id, {taskCount: 2}));
	t.is(startAndCrash(fixture, 'w1', 1).length, 4);
	t.is(startAndCrash(fixture, 'w2', 2).length, 4);
	fixture.addWorker('w3', 3);
	fixture.addWorker('w4', 3);
	const started = startAll(scheduler, 3);
	t.is(started.length, 4);
	const workersOf = (job: string) => new Set(started.filter(([task]) => task.startsWith(job)).map(([, worker]) => worker));
	t.deepEqual([workersOf('a').size, workersOf('b').size], [1, 1]);
	t.notDeepEqual(workersOf('a'), workersOf('b'));
	for (const {state} of jobs) {
		t.is(state, JobState.Running);
	}
});

test('a task that must wait for a worker of its own does not hold up its siblings, and a task of another job does not start beside it', t => {
	const fixture = createCrashFixture();
	const {scheduler} = fixture;
	const [suspect] = fixture.addJob('a', {taskCount: 2}).occurrences.get(0)![0]!.tasks;
	suspect!.crashedRuns.push(-2, -1);
	const worker = fixture.addWorker('w1');
	fixture.addJob('b');
	// The suspect starts first, and its sibling beside it; the other job waits until the worker has outlasted the start.
	t.deepEqual(startAll(scheduler, 1).map(([task]) => task).toSorted(), ['a.0.0.0', 'a.0.0.1']);
	respond(scheduler, worker, 300);
	t.deepEqual(startAll(scheduler, 301).map(([task]) => task), ['b.0.0.0']);

	const [waiting] = fixture.addJob('c', {taskCount: 2, resources: {cpuMillis: 100, memoryMegabytes: 1, accelerators: 0}}).occurrences.get(0)![0]!.tasks;
	waiting!.crashedRuns.push(-2, -1);
	t.deepEqual(startAll(scheduler, 302).map(([task]) => task), ['c.0.0.1']);
});

// Guards against a crash loop that takes the next worker away before the crash of the previous one is confirmed.
test('after three suspected crashes a task waits, unless the workers answer again', t => {
	const fixture = createCrashFixture();
	const {scheduler} = fixture;
	fixture.addJob('j');
	const lost: WorkerRow[] = [];
	for (const now of [1, 2, 3]) {
		const worker = fixture.addWorker(`w${now}`, now);
		t.is(startAll(scheduler, now).length, 1);
		fixture.disconnect(worker, now);
		lost.push(worker);
	}

	fixture.addWorker('w4', 10);
	t.is(startAll(scheduler, 10).length, 0);
	const waiting = scheduler.workers.get('w4')!;
	respond(scheduler, waiting, 3900, []);
	t.is(startAll(scheduler, 3900).length, 0);
	for (const worker of lost) {
		worker.latestLeaseExpiry = 1_000_000;
		respond(scheduler, worker, 3901, []);
	}

	t.is(startAll(scheduler, 3902).length, 1);
});

test('the wait ends after four seconds', t => {
	const fixture = createCrashFixture();
	fixture.addJob('j');
	for (const now of [1, 2, 3]) {
		const worker = fixture.addWorker(`w${now}`, now);
		startAll(fixture.scheduler, now);
		fixture.disconnect(worker, now);
	}

	fixture.addWorker('w4', 4000);
	t.is(startAll(fixture.scheduler, 4002).length, 0);
	t.is(startAll(fixture.scheduler, 4003).length, 1);
});

// Guards against a second worker that is lost to a run which would only be faster there.
test('a task with a crash gets no speculative run', t => {
	const fixture = createCrashFixture();
	const {scheduler} = fixture;
	fixture.addJob('j', {speculative: true});
	startAndCrash(fixture, 'w1', 1);
	const unreachable = fixture.addWorker('w2', 2);
	t.is(startAll(scheduler, 2).length, 1);
	fixture.addWorker('w3', 3);
	unreachable.unansweredCalls = 1;
	t.is(startAll(scheduler, 3).length, 0);
});
