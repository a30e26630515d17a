import test from 'ava';
import {EndReason, JobState, captureProgress} from '../src/index.js';
import type {Policies, Scheduler, WorkerRow} from '../src/index.js';
import {
	addWorker, answer, createJob, createPolicies, createReport, createStep, createTestScheduler, queue, startAll,
} from './support/builders.js';

const add = (scheduler: Scheduler, id: string, steps: Parameters<typeof createJob>[1], overrides: Parameters<typeof createJob>[2] = {}, now = 0): void => {
	scheduler.addJob(createJob(id, steps, overrides), {restored: false, now, wallNow: 0});
};

const end = (scheduler: Scheduler, worker: WorkerRow, options: {task: string; run: number; reason: EndReason; now: number; sequence?: number; checkpoint?: string}): void => {
	const {task, run, reason, now, sequence = worker.lastAppliedSequence + 1, checkpoint = ''} = options;
	scheduler.applyRunReport({
		worker, sentAt: now, now,
		report: {
			incarnation: worker.incarnation, partial: false, ended: [{
				sequence, task, run, reason, checkpoint,
			}],
			running: [...worker.runs.values()].filter(row => row.task.name !== task).map(row => ({
				task: row.task.name, run: row.run, checkpoint: '', percent: 10, measured: 0,
			})),
		},
	});
};

test('a step starts only when all tasks of the steps before it are done', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createReport('w1'));
	add(scheduler, 'j', [createStep({taskCount: 2}), createStep({after: [0]})]);
	t.deepEqual(startAll(scheduler, 1).map(([task]) => task), ['j.0.0.0', 'j.0.0.1']);
	end(scheduler, worker, {
		task: 'j.0.0.0', run: 1, reason: EndReason.Done, now: 10,
	});
	t.deepEqual(startAll(scheduler, 11), []);
	end(scheduler, worker, {
		task: 'j.0.0.1', run: 1, reason: EndReason.Done, now: 20,
	});
	t.deepEqual(startAll(scheduler, 21).map(([task]) => task), ['j.0.1.0']);
});

test('a worker is never given more than its room', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createReport('w1'));
	add(scheduler, 'j', [createStep({taskCount: 9})]);
	t.is(startAll(scheduler, 1).length, 4);
});

test('a workspace never has more running than its maximum', t => {
	const maximum = {cpuMillis: 2500, memoryMegabytes: 0, accelerators: 0};
	const scheduler = createTestScheduler(createPolicies({workspaces: new Map([['team', {name: 'team', weight: 1, maximum}]])}));
	addWorker(scheduler, createReport('w1'));
	add(scheduler, 'j', [createStep({taskCount: 9})], {workspace: 'team'});
	t.is(startAll(scheduler, 1).length, 2);
});

test('a job fails when one of its tasks has failed as often as the queue allows', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createReport('w1'));
	add(scheduler, 'j', [createStep()]);
	startAll(scheduler, 1);
	end(scheduler, worker, {
		task: 'j.0.0.0', run: 1, reason: EndReason.Failed, now: 10,
	});
	t.is(scheduler.jobs.get('j')!.state, JobState.Running);
	startAll(scheduler, 11);
	end(scheduler, worker, {
		task: 'j.0.0.0', run: 2, reason: EndReason.Failed, now: 20,
	});
	t.is(scheduler.jobs.get('j')!.state, JobState.Failed);
	t.deepEqual(startAll(scheduler, 21), []);
});

// Guards against a job that is shown as failed too early: an end that was stored and not yet acknowledged was counted again by the next owner.
test('an end that a former owner has counted is not counted again', t => {
	const first = createTestScheduler();
	const worker = addWorker(first, createReport('w1'));
	add(first, 'j', [createStep()]);
	startAll(first, 1);
	end(first, worker, {
		task: 'j.0.0.0', run: 1, reason: EndReason.Failed, now: 10,
	});
	const second = createTestScheduler(createPolicies(), 2);
	const same = addWorker(second, createReport('w1'));
	second.addJob(createJob('j', [createStep()]), {
		progress: captureProgress(first.jobs.get('j')!), restored: true, now: 20, wallNow: 0,
	});
	end(second, same, {
		task: 'j.0.0.0', run: 1, reason: EndReason.Failed, now: 30,
	});
	t.is(second.jobs.get('j')!.state, JobState.Queued);
	t.deepEqual(startAll(second, 31).map(([task]) => task), ['j.0.0.0']);
});

// Guards against a second run while the first start may still be carried out.
test('an unanswered start is stopped before the task is started again', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createReport('w1'));
	addWorker(scheduler, createReport('w2'));
	add(scheduler, 'j', [createStep()]);
	const [order] = scheduler.plan({now: 1, wallNow: 0, mayStart: true});
	t.is(order?.type, 'start');
	if (order?.type !== 'start') {
		return;
	}

	const owner = order.row.worker;
	scheduler.recordStartOutcome(order.row, {type: 'unknown'}, 10);
	t.deepEqual(scheduler.plan({now: 11, wallNow: 0, mayStart: true}), []);
	answer(scheduler, owner, 20, []);
	const [stop] = scheduler.plan({now: 21, wallNow: 0, mayStart: true});
	t.is(stop?.type, 'stop');
	scheduler.recordStopOutcome(order.row, true, 30);
	t.deepEqual(scheduler.plan({now: 31, wallNow: 0, mayStart: true}), []);
	answer(scheduler, owner, 40, []);
	t.deepEqual(startAll(scheduler, 41).map(([task]) => task), ['j.0.0.0']);
	t.truthy(worker);
});

// Guards against a new owner that starts what a worker out of its reach may still run.
const createSuccessor = (workspaces: Policies['workspaces'] = new Map()) => {
	const scheduler = createTestScheduler(createPolicies({workspaces}), 2);
	addWorker(scheduler, createReport('w1'));
	const silent = scheduler.registerWorker({
		registration: createReport('silent'), isRegistered: true, isReconciled: false, latestLeaseExpiry: 5000,
	});
	scheduler.addJob(createJob('old', [createStep({taskCount: 2})], {workspace: 'team'}), {restored: true, now: 0, wallNow: 0});
	scheduler.restoreRun({
		worker: silent, task: 'old.0.0.0', run: 3, now: 0,
	});
	return {scheduler, silent};
};

// Pattern: the owner ends while some workers are dark; only the tasks that may be at work there wait for the end of their lease.
test('a task that the store names on a silent worker waits for the end of its lease, the other tasks do not', t => {
	const {scheduler} = createSuccessor();
	add(scheduler, 'new', [createStep()]);
	t.deepEqual(startAll(scheduler, 1).map(([task]) => task).toSorted(), ['new.0.0.0', 'old.0.0.1']);
	answer(scheduler, scheduler.workers.get('w1')!, 4998);
	t.deepEqual(startAll(scheduler, 4999), []);
	t.deepEqual(startAll(scheduler, 5000).map(([task]) => task), ['old.0.0.0']);
	t.true([...scheduler.jobs.get('old')!.occurrences.get(0)![0]!.tasks[0]!.runs.keys()].every(run => run > 1000));
});

test('a run that may be at work on a silent worker counts against the maximum of its workspace', t => {
	const maximum = {cpuMillis: 1500, memoryMegabytes: 0, accelerators: 0};
	const {scheduler} = createSuccessor(new Map([['team', {name: 'team', weight: 1, maximum}]]));
	t.deepEqual(startAll(scheduler, 1), []);
});

test('a run of a former owner goes on if its worker lists it, and is given up if it does not', t => {
	for (const isListed of [true, false]) {
		const {scheduler, silent} = createSuccessor();
		answer(scheduler, silent, 10, isListed
			? [{
				task: 'old.0.0.0', run: 3, checkpoint: '', percent: 10, measured: 0,
			}]
			: []);
		const orders = scheduler.plan({now: 11, wallNow: 0, mayStart: true});
		t.deepEqual(orders.map(order => order.type === 'start' ? order.row.task.name : order.type), isListed ? ['old.0.0.1'] : ['old.0.0.0', 'old.0.0.1']);
	}
});

test('a run that another owner has started is adopted, one that nobody wants is stopped', t => {
	const scheduler = createTestScheduler(createPolicies(), 2);
	const worker = addWorker(scheduler, createReport('w1'));
	scheduler.addJob(createJob('old', [createStep()]), {restored: true, now: 0, wallNow: 0});
	answer(scheduler, worker, 1, ['old.0.0.0', 'unknown.0.0.0'].map(task => ({
		task, run: 7, checkpoint: '', percent: 10, measured: 0,
	})));
	const orders = scheduler.plan({now: 2, wallNow: 0, mayStart: true});
	t.deepEqual(orders.map(order => order.type === 'stop' ? order.task : order.type), ['unknown.0.0.0']);
});

// Pattern: workers out of reach; the lease of their work has to end first, but a step that allows copies need not wait.
test('a task that allows copies is copied when its worker falls silent', t => {
	const scheduler = createTestScheduler();
	const first = addWorker(scheduler, createReport('w1'));
	add(scheduler, 'j', [createStep({speculative: true})]);
	startAll(scheduler, 1);
	addWorker(scheduler, createReport('w2'), 2);
	t.deepEqual(startAll(scheduler, 3), []);
	first.unansweredCalls = 1;
	first.latestLeaseExpiry = 5000;
	t.deepEqual(startAll(scheduler, 4), [['j.0.0.0', 'w2']]);
	const second = scheduler.workers.get('w2')!;
	end(scheduler, second, {
		task: 'j.0.0.0', run: 2, reason: EndReason.Done, now: 10,
	});
	t.is(scheduler.jobs.get('j')!.state, JobState.Completed);
});

// Pattern: a share of the workers turns several times slower for some seconds.
test('work goes to a slow worker last', t => {
	const scheduler = createTestScheduler();
	const slow = addWorker(scheduler, createReport('slow', {capacity: {cpuMillis: 8000, memoryMegabytes: 10_000, accelerators: 0}}));
	addWorker(scheduler, createReport('sound'));
	slow.speed = 0.2;
	add(scheduler, 'j', [createStep({taskCount: 5})]);
	const started = startAll(scheduler, 1);
	t.is(started.filter(([, worker]) => worker === 'sound').length, 4);
	t.is(started.filter(([, worker]) => worker === 'slow').length, 1);
});

// Pattern: tasks on some workers stand still although the workers answer.
test('a run that stands still is stopped and started elsewhere', t => {
	const scheduler = createTestScheduler();
	const hung = addWorker(scheduler, createReport('w1'));
	add(scheduler, 'j', [createStep()]);
	startAll(scheduler, 1);
	for (const now of [500, 1500, 2500, 3500]) {
		answer(scheduler, hung, now, [{
			task: 'j.0.0.0', run: 1, checkpoint: '', percent: 5, measured: 0,
		}]);
	}

	t.deepEqual(scheduler.plan({now: 3500, wallNow: 0, mayStart: true}).map(order => order.type), ['stop']);
});

test('the members of a gang start together or not at all', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createReport('w1'));
	add(scheduler, 'gang', [createStep({taskCount: 5, gang: true})]);
	t.deepEqual(startAll(scheduler, 1), []);
	addWorker(scheduler, createReport('w2'), 2);
	t.is(startAll(scheduler, 3).length, 5);
});

test('an occurrence starts when it is due', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createReport('w1'));
	add(scheduler, 'j', [createStep()], {repetitions: 2, firstDueAt: 1000, intervalMilliseconds: 1000});
	t.deepEqual(startAll(scheduler, 999), []);
	answer(scheduler, worker, 1000);
	t.deepEqual(startAll(scheduler, 1000).map(([task]) => task), ['j.0.0.0']);
	answer(scheduler, worker, 2000);
	t.deepEqual(startAll(scheduler, 2000).map(([task]) => task), ['j.1.0.0']);
});

test('a cancelled job starts nothing, and what runs is stopped', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createReport('w1'));
	add(scheduler, 'j', [createStep({taskCount: 6})]);
	t.is(startAll(scheduler, 1).length, 4);
	scheduler.cancelJob('j');
	const orders = scheduler.plan({now: 2, wallNow: 0, mayStart: true});
	t.is(orders.length, 4);
	t.true(orders.every(order => order.type === 'stop'));
});

test('a queue with advice starts only with a ticket', t => {
	const scheduler = createTestScheduler(createPolicies({
		queues: new Map([[queue, {
			...createPolicies().queues.get(queue)!, advice: {decideMilliseconds: 10, perWorkerMilliseconds: 1},
		}]]),
	}));
	addWorker(scheduler, createReport('w1'));
	addWorker(scheduler, createReport('w2'));
	add(scheduler, 'j', [createStep()]);
	const [order] = scheduler.plan({now: 1, wallNow: 0, mayStart: true});
	if (order?.type !== 'advise') {
		throw new Error('no call for advice');
	}

	scheduler.recordAdvice(order, new Map([['w2', {value: 'ticket', expiresAt: 3000, incarnation: 1}]]));
	t.deepEqual(startAll(scheduler, 2), [['j.0.0.0', 'w2']]);
});

test('a report of an earlier life does not end the runs of the life of now', t => {
	const scheduler = createTestScheduler();
	const report = createReport('w1', {incarnation: 1000});
	const worker = addWorker(scheduler, report);
	scheduler.applyRunReport({
		worker, sentAt: 5, now: 5, report: {
			incarnation: 2000, ended: [], running: [], partial: false,
		},
	});
	add(scheduler, 'j', [createStep()]);
	t.is(startAll(scheduler, 10).length, 1);
	scheduler.registerWorker({
		registration: report, isRegistered: true, isReconciled: true, latestLeaseExpiry: 0,
	});
	scheduler.applyRunReport({
		worker, sentAt: 20, now: 20, report: {
			incarnation: 1000, ended: [], running: [], partial: false,
		},
	});
	t.is(worker.incarnation, 2000);
	t.is(worker.runs.size, 1);
});
