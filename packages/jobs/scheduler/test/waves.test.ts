import test from 'ava';
import type {WaveMachine, WaveRow} from '../src/index.js';
import {isDisruptionAllowed, planWave} from '../src/index.js';
import {
	addWorker, answer, createJob, createReport, createStep, createTestScheduler, startAll,
} from './support/builders.js';

const createWave = (machines: readonly string[], overrides: Partial<WaveRow> = {}): WaveRow => ({
	wave: 1, machines, maximumAtOnce: 2, deadline: 60_000, begun: new Set(), cordonedSince: new Map(), ordered: new Set(), down: new Set(), ...overrides,
});

const serve = (tasks: number, maximumAway: number, maximumPerWorker: number) => {
	const scheduler = createTestScheduler();
	const workers = ['w1', 'w2', 'w3'].map(id => addWorker(scheduler, createReport(id)));
	scheduler.addJob(createJob('service', [createStep({
		taskCount: tasks, longRunning: true, maximumAway, maximumPerWorker,
	})]), {restored: false, now: 0, wallNow: 0});
	startAll(scheduler, 1);
	for (const worker of workers) {
		answer(scheduler, worker, 2);
	}

	return {scheduler, workers};
};

// Guards against two upkeeps at the same time that each count the other's tasks as at work.
test('an order under way counts as away', t => {
	const {workers} = serve(2, 1, 1);
	const [first, second] = workers.filter(worker => worker.runs.size > 0);
	t.true(isDisruptionAllowed(first!));
	first!.isTerminating = true;
	t.false(isDisruptionAllowed(second!));
});

// Guards against a wave that never ends: a machine with several tasks of one step could not be taken at all.
test('tasks of one step on one machine are moved away one after the other', t => {
	const {scheduler, workers} = serve(6, 1, 2);
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
	t.is(plan.evacuate.length, 1);
	t.is(plan.evacuate[0]!.worker, worker);
});

test('no more machines are taken at once than the wave allows', t => {
	const {scheduler, workers} = serve(0, 1, 1);
	const machines = new Map<string, WaveMachine>(workers.map((worker, index) => [`m${index}`, {
		machine: `m${index}`, pool: worker.registration.pool, isUp: true, worker,
	}]));
	const wave = createWave([...machines.keys()], {deadline: 0});
	planWave({
		wave, machines, workers: scheduler.workers.values(), backlogged: new Set(), now: 10,
	});
	t.is(wave.cordonedSince.size, 2);
});

// Guards against an upkeep and an evacuation in one tick that each count the other's task as at work.
test('an upkeep and an evacuation of one step do not go together', t => {
	const {scheduler, workers} = serve(3, 1, 1);
	const machines = new Map<string, WaveMachine>(workers.map((worker, index) => [`m${index}`, {
		machine: `m${index}`, pool: worker.registration.pool, isUp: true, worker,
	}]));
	const wave = createWave([...machines.keys()], {maximumAtOnce: 3, deadline: 0});
	const plan = planWave({
		wave, machines, workers: scheduler.workers.values(), backlogged: new Set(), now: 10,
	});
	t.is(plan.readyForMaintenance.length, 1);
	t.deepEqual(plan.evacuate, []);
});

// Pattern: a wide step that serves is being placed while a wave runs (AVAIL on the grown sites, f4e005c8): a run that the
// newest list showed at its start was at work when the upkeep arrived.
test('a run that the newest list does not show at work yet is not taken away while others of its step wait', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createReport('w1'));
	scheduler.addJob(createJob('j', [createStep({taskCount: 8, longRunning: true, maximumAway: 2})]), {restored: false, now: 0, wallNow: 0});
	startAll(scheduler, 1);
	answer(scheduler, worker, 2, [...worker.runs.values()].slice(0, 1).map(row => ({
		task: row.task.name, run: row.run, checkpoint: '', percent: 0, measured: 0,
	})));
	t.true(worker.runs.size > 0);
	t.false(isDisruptionAllowed(worker));
});
