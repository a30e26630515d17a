import test from 'ava';
import {captureProgress, EndReason, JobState} from '../src/index.js';
import type {Policies} from '../src/index.js';
import {
	addJob, addWorker, createJob, createPolicies, createRegistration, createStep, createTestScheduler, endRun, queue, respond, startAll,
} from './support/builders.js';

test('a step starts only after all tasks of the steps it depends on are done', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep({taskCount: 2}), createStep({after: [0]})]);
	t.deepEqual(startAll(scheduler, 1).map(([task]) => task), ['j.0.0.0', 'j.0.0.1']);
	endRun(scheduler, worker, {
		task: 'j.0.0.0', run: 1, reason: EndReason.Done, now: 10,
	});
	t.deepEqual(startAll(scheduler, 11), []);
	endRun(scheduler, worker, {
		task: 'j.0.0.1', run: 1, reason: EndReason.Done, now: 20,
	});
	t.deepEqual(startAll(scheduler, 21).map(([task]) => task), ['j.0.1.0']);
});

test('a worker never gets more runs than its capacity allows', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep({taskCount: 9})]);
	t.is(startAll(scheduler, 1).length, 4);
});

test('the runs of a workspace never exceed its maximum', t => {
	const maximum = {cpuMillis: 2500, memoryMegabytes: 0, accelerators: 0};
	const scheduler = createTestScheduler(createPolicies({workspaces: new Map([['team', {name: 'team', weight: 1, maximum}]])}));
	addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep({taskCount: 9})], {workspace: 'team'});
	t.is(startAll(scheduler, 1).length, 2);
});

test('a job fails when one of its tasks has failed as many times as the queue allows', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep()]);
	startAll(scheduler, 1);
	endRun(scheduler, worker, {
		task: 'j.0.0.0', run: 1, reason: EndReason.Failed, now: 10,
	});
	t.is(scheduler.jobs.get('j')!.state, JobState.Running);
	startAll(scheduler, 11);
	endRun(scheduler, worker, {
		task: 'j.0.0.0', run: 2, reason: EndReason.Failed, now: 20,
	});
	t.is(scheduler.jobs.get('j')!.state, JobState.Failed);
	t.deepEqual(startAll(scheduler, 21), []);
});

// Guards against a job that fails too early: the next owner counted a failure again that was persisted but not yet acknowledged to the worker.
test('a failure that a previous owner has counted is not counted again', t => {
	const first = createTestScheduler();
	const worker = addWorker(first, createRegistration('w1'));
	addJob(first, 'j', [createStep()]);
	startAll(first, 1);
	endRun(first, worker, {
		task: 'j.0.0.0', run: 1, reason: EndReason.Failed, now: 10,
	});
	const second = createTestScheduler(createPolicies(), 2);
	const sameWorker = addWorker(second, createRegistration('w1'));
	second.addJob(createJob('j', [createStep()]), {
		progress: captureProgress(first.jobs.get('j')!), isRestored: true, now: 20, wallNow: 0,
	});
	endRun(second, sameWorker, {
		task: 'j.0.0.0', run: 1, reason: EndReason.Failed, now: 30,
	});
	t.is(second.jobs.get('j')!.state, JobState.Queued);
	t.deepEqual(startAll(second, 31).map(([task]) => task), ['j.0.0.0']);
});

// Guards against a second run while the worker may still execute the first start.
test('an unanswered start is stopped before the task is started again', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	addWorker(scheduler, createRegistration('w2'));
	addJob(scheduler, 'j', [createStep()]);
	const [order] = scheduler.plan({now: 1, wallNow: 0, mayStart: true});
	t.is(order?.type, 'start');
	if (order?.type !== 'start') {
		return;
	}

	const startedOn = order.row.worker;
	scheduler.recordStartOutcome(order.row, {type: 'unknown'}, 10);
	t.deepEqual(scheduler.plan({now: 11, wallNow: 0, mayStart: true}), []);
	respond(scheduler, startedOn, 20, []);
	const [stop] = scheduler.plan({now: 21, wallNow: 0, mayStart: true});
	t.is(stop?.type, 'stop');
	scheduler.recordStopOutcome(order.row, true, 30);
	t.deepEqual(scheduler.plan({now: 31, wallNow: 0, mayStart: true}), []);
	respond(scheduler, startedOn, 40, []);
	t.deepEqual(startAll(scheduler, 41).map(([task]) => task), ['j.0.0.0']);
	t.truthy(worker);
});

/** A new owner with a task that a previous owner may have started on an unreachable worker. */
const createNewOwner = (workspaces: Policies['workspaces'] = new Map()) => {
	const scheduler = createTestScheduler(createPolicies({workspaces}), 2);
	addWorker(scheduler, createRegistration('w1'));
	const unreachable = scheduler.registerWorker({
		registration: createRegistration('unreachable'), isRegistered: true, isReconciled: false, latestLeaseExpiry: 5000,
	});
	scheduler.addJob(createJob('old', [createStep({taskCount: 2})], {workspace: 'team'}), {isRestored: true, now: 0, wallNow: 0});
	scheduler.restoreRun({
		worker: unreachable, task: 'old.0.0.0', run: 3, now: 0,
	});
	return {scheduler, unreachable};
};

// Guards against a second run of a task that may still run on a worker that the new owner cannot reach. Tasks that were not recorded there need not wait.
test('a task recorded on an unreachable worker waits until the lease expires, other tasks start at once', t => {
	const {scheduler} = createNewOwner();
	addJob(scheduler, 'new', [createStep()]);
	t.deepEqual(startAll(scheduler, 1).map(([task]) => task).toSorted(), ['new.0.0.0', 'old.0.0.1']);
	respond(scheduler, scheduler.workers.get('w1')!, 4998);
	t.deepEqual(startAll(scheduler, 4999), []);
	t.deepEqual(startAll(scheduler, 5000).map(([task]) => task), ['old.0.0.0']);
	t.true([...scheduler.jobs.get('old')!.occurrences.get(0)![0]!.tasks[0]!.runs.keys()].every(run => run > 1000));
});

test('a run that may exist on an unreachable worker counts against the maximum of its workspace', t => {
	const maximum = {cpuMillis: 1500, memoryMegabytes: 0, accelerators: 0};
	const {scheduler} = createNewOwner(new Map([['team', {name: 'team', weight: 1, maximum}]]));
	t.deepEqual(startAll(scheduler, 1), []);
});

test('a run of a previous owner is kept if its worker reports it, and dropped if not', t => {
	for (const isReported of [true, false]) {
		const {scheduler, unreachable} = createNewOwner();
		respond(scheduler, unreachable, 10, isReported
			? [{
				task: 'old.0.0.0', run: 3, checkpoint: '', percent: 10, latencyOrCpuUsage: 0,
			}]
			: []);
		const orders = scheduler.plan({now: 11, wallNow: 0, mayStart: true});
		t.deepEqual(orders.map(order => order.type === 'start' ? order.row.task.name : order.type), isReported ? ['old.0.0.1'] : ['old.0.0.0', 'old.0.0.1']);
	}
});

test('a run that another owner has started is adopted, and a run of an unknown job is stopped', t => {
	const scheduler = createTestScheduler(createPolicies(), 2);
	const worker = addWorker(scheduler, createRegistration('w1'));
	scheduler.addJob(createJob('old', [createStep()]), {isRestored: true, now: 0, wallNow: 0});
	respond(scheduler, worker, 1, ['old.0.0.0', 'unknown.0.0.0'].map(task => ({
		task, run: 7, checkpoint: '', percent: 10, latencyOrCpuUsage: 0,
	})));
	const orders = scheduler.plan({now: 2, wallNow: 0, mayStart: true});
	t.deepEqual(orders.map(order => order.type === 'stop' ? order.task : order.type), ['unknown.0.0.0']);
});

// Guards against a speculative step that waits for the lease of an unreachable worker to expire, as other steps have to.
test('a speculative task gets a second run when its worker becomes unreachable', t => {
	const scheduler = createTestScheduler();
	const first = addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep({speculative: true})]);
	startAll(scheduler, 1);
	addWorker(scheduler, createRegistration('w2'), 2);
	t.deepEqual(startAll(scheduler, 103), []);
	first.unansweredCalls = 1;
	first.latestLeaseExpiry = 5000;
	t.deepEqual(startAll(scheduler, 204), [['j.0.0.0', 'w2']]);
	const second = scheduler.workers.get('w2')!;
	endRun(scheduler, second, {
		task: 'j.0.0.0', run: 2, reason: EndReason.Done, now: 210,
	});
	t.is(scheduler.jobs.get('j')!.state, JobState.Completed);
});

// Guards against late jobs when some workers become several times slower for a few seconds.
test('slow workers get runs last', t => {
	const scheduler = createTestScheduler();
	const slow = addWorker(scheduler, createRegistration('slow', {capacity: {cpuMillis: 8000, memoryMegabytes: 10_000, accelerators: 0}}));
	addWorker(scheduler, createRegistration('healthy'));
	slow.speed = 0.2;
	addJob(scheduler, 'j', [createStep({taskCount: 5})]);
	const started = startAll(scheduler, 1);
	t.is(started.filter(([, worker]) => worker === 'healthy').length, 4);
	t.is(started.filter(([, worker]) => worker === 'slow').length, 1);
});

// Guards against runs that make no progress although their worker answers. Once stopped, the task starts again, and placement avoids its `failedWorkers`.
test('a stalled run is stopped', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep()]);
	startAll(scheduler, 1);
	for (const now of [500, 1500, 2500, 3500]) {
		respond(scheduler, worker, now, [{
			task: 'j.0.0.0', run: 1, checkpoint: '', percent: 5, latencyOrCpuUsage: 0,
		}]);
	}

	t.deepEqual(scheduler.plan({now: 3500, wallNow: 0, mayStart: true}).map(order => order.type), ['stop']);
});

test('all members of a gang start or none', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'gang', [createStep({taskCount: 5, gang: true})]);
	t.deepEqual(startAll(scheduler, 1), []);
	addWorker(scheduler, createRegistration('w2'), 2);
	t.is(startAll(scheduler, 3).length, 5);
});

test('an occurrence starts when it is due', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep()], {repetitions: 2, firstDueAt: 1000, intervalMilliseconds: 1000});
	t.deepEqual(startAll(scheduler, 999), []);
	respond(scheduler, worker, 1000);
	t.deepEqual(startAll(scheduler, 1000).map(([task]) => task), ['j.0.0.0']);
	respond(scheduler, worker, 2000);
	t.deepEqual(startAll(scheduler, 2000).map(([task]) => task), ['j.1.0.0']);
});

test('the runs of a cancelled job are stopped, and none is started', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep({taskCount: 6})]);
	t.is(startAll(scheduler, 1).length, 4);
	scheduler.cancelJob('j');
	const orders = scheduler.plan({now: 2, wallNow: 0, mayStart: true});
	t.is(orders.length, 4);
	t.true(orders.every(order => order.type === 'stop'));
});

test('a task of a queue with advice starts only on a worker with a ticket', t => {
	const scheduler = createTestScheduler(createPolicies({
		queues: new Map([[queue, {
			...createPolicies().queues.get(queue)!, advice: {decideMilliseconds: 10, perWorkerMilliseconds: 1},
		}]]),
	}));
	addWorker(scheduler, createRegistration('w1'));
	addWorker(scheduler, createRegistration('w2'));
	addJob(scheduler, 'j', [createStep()]);
	const [order] = scheduler.plan({now: 1, wallNow: 0, mayStart: true});
	if (order?.type !== 'advise') {
		throw new Error('expected an advice order');
	}

	scheduler.recordAdvice(order, new Map([['w2', {value: 'ticket', expiresAt: 3000, incarnation: 1}]]));
	t.deepEqual(startAll(scheduler, 2), [['j.0.0.0', 'w2']]);
});

test('a registration and a report of an earlier incarnation do not end the runs of the current one', t => {
	const scheduler = createTestScheduler();
	const registration = createRegistration('w1', {incarnation: 1000});
	const worker = addWorker(scheduler, registration);
	scheduler.applyRunReport({
		worker, sentAt: 5, now: 5, report: {
			incarnation: 2000, ended: [], running: [], hasMoreEnded: false,
		},
	});
	addJob(scheduler, 'j', [createStep()]);
	t.is(startAll(scheduler, 10).length, 1);
	scheduler.registerWorker({
		registration, isRegistered: true, isReconciled: true, latestLeaseExpiry: 0,
	});
	scheduler.applyRunReport({
		worker, sentAt: 20, now: 20, report: {
			incarnation: 1000, ended: [], running: [], hasMoreEnded: false,
		},
	});
	t.is(worker.incarnation, 2000);
	t.is(worker.runs.size, 1);
});

// Guards against accepted jobs that stand still because a newer configuration no longer has their queue.
test('a job of a queue that was removed goes on', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', [createStep()]);
	scheduler.setPolicies(createPolicies({queues: new Map()}));
	scheduler.setPolicies(createPolicies({queues: new Map()}));
	t.deepEqual(startAll(scheduler, 1), [['j.0.0.0', 'w1']]);
});

// Guards against accepted jobs that stand still because the owner changed after their queue was removed.
test('a new owner goes on with a job of a queue that was removed before its takeover', t => {
	const scheduler = createTestScheduler(createPolicies({queues: new Map()}), 2);
	addWorker(scheduler, createRegistration('w1'));
	const acceptedPolicy = createPolicies().queues.get(queue)!;
	scheduler.addJob(createJob('j', [createStep()], {acceptedPolicy}), {isRestored: true, now: 0, wallNow: 0});
	t.deepEqual(startAll(scheduler, 1), [['j.0.0.0', 'w1']]);
	scheduler.setPolicies(createPolicies({queues: new Map()}));
	t.is(scheduler.policies().queues.get(queue), acceptedPolicy);
});
