/** The model must behave like a real worker: a wrong model would hide faults of the job service. */
import {EndReason} from '@turmericbay/scheduler';
import test from 'ava';
import type {TaskWork, WorkerEvent} from '../src/index.js';
import {createGangs, createWorkerModel} from '../src/index.js';

const work: TaskWork = {
	resources: {cpuMillis: 1000, memoryMegabytes: 100, accelerators: 0}, durationMilliseconds: 500, outcome: EndReason.Done,
	longRunning: false, bestEffort: false, checkpointing: false, gangSize: undefined,
};

const createModel = (overrides: Partial<TaskWork> = {}, gangs = createGangs()) => {
	const events: WorkerEvent[] = [];
	const model = createWorkerModel({
		incarnation: 7, capacity: {cpuMillis: 2000, memoryMegabytes: 1000, accelerators: 0}, enforcesCapacity: true, startedAt: 0, clockRate: 1,
		stopDurationMilliseconds: 200, gangTimeoutMilliseconds: 3000, checkpointIntervalMilliseconds: 100, restoreCostMilliseconds: 50, maximumLeaseMilliseconds: 10_000,
		gangs, createWork: () => ({...work, ...overrides}), onEvent(event) {
			events.push(event);
		},
	});
	return {model, events};
};

const start = (task: string, run: number, overrides: {leaseExpiresAt?: number; fencingToken?: number; checkpoint?: string} = {}) => ({
	task, run, leaseExpiresAt: 5000, fencingToken: 1, checkpoint: '', ...overrides,
});

test('a start is rejected for an outdated fencing token, after a stop of the run, after its lease has expired and for lack of capacity', t => {
	const {model} = createModel();
	t.is(model.start(start('j.0.0.0', 1, {fencingToken: 2}), 0), 'started');
	t.is(model.start(start('j.0.0.1', 1), 0), 'fenced');
	t.true(model.stop({task: 'j.0.0.2', run: 3, fencingToken: 2}, 0));
	t.is(model.start(start('j.0.0.2', 3, {fencingToken: 2}), 0), 'superseded');
	t.is(model.start(start('j.0.0.3', 1, {fencingToken: 2, leaseExpiresAt: 10}), 20), 'late');
	t.is(model.start(start('j.0.0.4', 1, {fencingToken: 2}), 20), 'started');
	t.is(model.start(start('j.0.0.5', 1, {fencingToken: 2}), 20), 'room');
});

test('ended runs are reported until they are acknowledged', t => {
	const {model, events} = createModel();
	model.start(start('j.0.0.0', 1), 0);
	t.is(model.getNextEventTime(), 500);
	const heartbeat = (acknowledgedSequence: number, now: number) => model.heartbeat({fencingToken: 1, acknowledgedSequence, leaseExpiresAt: undefined}, now)!;
	t.deepEqual(heartbeat(0, 600).ended.map(({sequence, reason}) => [sequence, reason]), [[1, EndReason.Done]]);
	t.is(heartbeat(0, 700).ended.length, 1);
	t.is(heartbeat(1, 800).ended.length, 0);
	t.deepEqual(events.map(({type}) => type), ['started', 'ended', 'acknowledged']);
});

test('all runs end when the lease expires, and a lease longer than allowed is shortened', t => {
	const {model, events} = createModel({durationMilliseconds: 60_000});
	model.start(start('j.0.0.0', 1, {leaseExpiresAt: 90_000}), 0);
	t.is(model.getNextEventTime(), 10_000);
	model.advance(10_001);
	t.is(model.countRunning(), 0);
	t.deepEqual(events.map(({type}) => type), ['started', 'ended', 'lease-expired']);
});

test('a stop takes time, and its checkpoint covers all work done', t => {
	const {model} = createModel({durationMilliseconds: 1000, checkpointing: true});
	model.start(start('j.0.0.0', 1), 0);
	model.stop({task: 'j.0.0.0', run: 1, fencingToken: 1}, 300);
	const {ended} = model.heartbeat({fencingToken: 1, acknowledgedSequence: 0, leaseExpiresAt: undefined}, 500)!;
	t.deepEqual(ended.map(({reason, checkpoint}) => [reason, checkpoint]), [[EndReason.Stopped, 'j-500']]);
	model.start(start('j.0.0.0', 2, {checkpoint: 'j-500'}), 600);
	t.is(model.getNextEventTime(), 600 + 1000 - 500 + 50);
});

test('a gang starts to work once all members are present, and all end with the first', t => {
	const gangs = createGangs();
	const first = createModel({gangSize: 2}, gangs);
	const second = createModel({gangSize: 2}, gangs);
	first.model.start(start('j.0.0.0', 1), 0);
	t.is(first.model.getNextEventTime(), 3000);
	second.model.start(start('j.0.0.1', 1), 100);
	t.is(first.model.getNextEventTime(), 600);
	second.model.stop({task: 'j.0.0.1', run: 1, fencingToken: 1}, 150);
	second.model.advance(400);
	t.deepEqual(first.events.at(-1), {
		type: 'ended', task: 'j.0.0.0', run: 1, reason: EndReason.GangMemberEnded,
	});
});
