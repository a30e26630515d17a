import test from 'ava';
import type {WaveMachine, WaveRow} from '../src/index.js';
import {isDisruptionAllowed, planWave, RunPhase} from '../src/index.js';
import {
	addWorker, createJob, createRegistration, createStep, createTestScheduler, respond, startAll,
} from './support/builders.js';

const createWave = (machines: readonly string[], overrides: Partial<WaveRow> = {}): WaveRow => ({
	wave: 1, machines, maximumAtOnce: 2, deadline: 60_000, begun: new Set(), cordonedSince: new Map(), ordered: new Set(), down: new Set(), ...overrides,
});

const createService = (tasks: number, maximumAway: number, maximumPerWorker: number) => {
	const scheduler = createTestScheduler();
	const workers = ['w1', 'w2', 'w3'].map(id => addWorker(scheduler, createRegistration(id)));
	scheduler.addJob(createJob('service', [createStep({
		taskCount: tasks, longRunning: true, maximumAway, maximumPerWorker,
	})]), {isRestored: false, now: 0, wallNow: 0});
	startAll(scheduler, 1);
	for (const worker of workers) {
		respond(scheduler, worker, 2);
	}

	return {scheduler, workers};
};

// Guards against maintenance of two machines at once, each counting the tasks on the other as available.
test('tasks on a machine with a pending maintenance order count as unavailable', t => {
	const {workers} = createService(2, 1, 1);
	const [first, second] = workers.filter(worker => worker.runs.size > 0);
	t.true(isDisruptionAllowed(first!, 10));
	first!.isTerminating = true;
	t.false(isDisruptionAllowed(second!, 10));
});

// Guards against a wave that never completes: a machine with more tasks of a step than may be unavailable could not be taken down.
test('tasks of one step on one machine are moved to other workers one at a time', t => {
	const {scheduler, workers} = createService(6, 1, 2);
	const worker = workers[0]!;
	t.is(worker.runs.size, 2);
	const machines = new Map<string, WaveMachine>([['m1', {
		machine: 'm1', pool: worker.registration.pool, isUp: true, worker,
	}]]);
	const wave = createWave(['m1']);
	const plan = planWave({
		wave, machines, workers: scheduler.workers.values(), backlogged: new Set(), now: 10,
	});
	t.deepEqual(plan.readyForMaintenance, []);
	t.is(plan.evacuated.length, 1);
	t.is(plan.evacuated[0]!.worker, worker);
});

// Guards against a service with more tasks away than it allows: a task on the same machine that is still starting counted as available.
test('no task at work is moved off a machine while another task of its step there is not ready', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	scheduler.addJob(createJob('service', [createStep({taskCount: 2, longRunning: true, maximumAway: 1})]), {isRestored: false, now: 0, wallNow: 0});
	startAll(scheduler, 1);
	const [first, second] = [...worker.runs.values()];
	scheduler.applyRunReport({
		worker, sentAt: 2, now: 2, report: {
			incarnation: undefined, ended: [], hasMoreEnded: false, running: [first!, second!].map((row, index) => ({
				task: row.task.name, run: row.run, checkpoint: '', percent: index === 0 ? 100 : 0, latencyOrCpuUsage: 0,
			})),
		},
	});
	const machines = new Map<string, WaveMachine>([['m1', {
		machine: 'm1', pool: worker.registration.pool, isUp: true, worker,
	}]]);
	const plan = planWave({
		wave: createWave(['m1']), machines, workers: scheduler.workers.values(), backlogged: new Set(), now: 10,
	});
	t.deepEqual(plan.evacuated, [second!]);
});

// Guards against an owner that was paused between the decision to move a run and its stop: what it knew of the other tasks is out of date.
test('a run that was chosen to leave a machine stays if its step may not lose it any more when the stop is sent', t => {
	const {scheduler, workers} = createService(6, 1, 2);
	const worker = workers[0]!;
	const machines = new Map<string, WaveMachine>([['m1', {
		machine: 'm1', pool: worker.registration.pool, isUp: true, worker,
	}]]);
	const [row] = planWave({
		wave: createWave(['m1']), machines, workers: scheduler.workers.values(), backlogged: new Set(), now: 10,
	}).evacuated;
	t.deepEqual(scheduler.plan({now: 3010, wallNow: 0, mayStart: true}), []);
	t.false(row!.isEvacuating);
	t.is(row!.phase, RunPhase.Running);
});

// Guards against an overdue wave that exceeds its limit.
test('no more machines are cordoned at once than the wave allows', t => {
	const {scheduler, workers} = createService(0, 1, 1);
	const machines = new Map<string, WaveMachine>(workers.map((worker, index) => [`m${index}`, {
		machine: `m${index}`, pool: worker.registration.pool, isUp: true, worker,
	}]));
	const wave = createWave([...machines.keys()], {deadline: 0});
	planWave({
		wave, machines, workers: scheduler.workers.values(), backlogged: new Set(), now: 10,
	});
	t.is(wave.cordonedSince.size, 2);
});

// Guards against maintenance and an evacuation in one tick, each counting the other's task as available.
test('maintenance and evacuation do not affect the same step in one tick', t => {
	const {scheduler, workers} = createService(3, 1, 1);
	const machines = new Map<string, WaveMachine>(workers.map((worker, index) => [`m${index}`, {
		machine: `m${index}`, pool: worker.registration.pool, isUp: true, worker,
	}]));
	const wave = createWave([...machines.keys()], {maximumAtOnce: 3, deadline: 0});
	const plan = planWave({
		wave, machines, workers: scheduler.workers.values(), backlogged: new Set(), now: 10,
	});
	t.is(plan.readyForMaintenance.length, 1);
	t.deepEqual(plan.evacuated, []);
});

// Guards against too many unavailable tasks when a wide service step is being placed during a wave: a run that the latest
// report showed as starting was ready when the maintenance order arrived.
test('a run that is not yet reported as ready is not interrupted while other tasks of its step wait', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	scheduler.addJob(createJob('j', [createStep({taskCount: 8, longRunning: true, maximumAway: 2})]), {isRestored: false, now: 0, wallNow: 0});
	startAll(scheduler, 1);
	respond(scheduler, worker, 2, [...worker.runs.values()].slice(0, 1).map(row => ({
		task: row.task.name, run: row.run, checkpoint: '', percent: 0, latencyOrCpuUsage: 0,
	})));
	t.true(worker.runs.size > 0);
	t.false(isDisruptionAllowed(worker, 10));
});

// Guards against an owner that is short of processor time and takes down a machine although the task on another has ended meanwhile.
test('a task counts as available only if its worker has reported recently', t => {
	const {scheduler, workers} = createService(2, 1, 1);
	const [first, second] = workers.filter(worker => worker.runs.size > 0);
	t.true(isDisruptionAllowed(first!, 2500));
	t.false(isDisruptionAllowed(first!, 5000));
	respond(scheduler, second!, 4000);
	t.true(isDisruptionAllowed(first!, 5000));
	second!.unansweredCalls = 1;
	t.false(isDisruptionAllowed(first!, 5000));
});
