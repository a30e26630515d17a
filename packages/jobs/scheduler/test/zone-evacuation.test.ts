/** Guards against tasks that start in a zone that the operator has evacuated, and against work that its evacuation interrupts needlessly. */
import test from 'ava';
import type {
	SchedulerEvent, StepDeclaration, WaveMachine, WorkerRow,
} from '../src/index.js';
import {createScheduler, isDisruptionAllowed, planWave} from '../src/index.js';
import {
	addJob, addWorker, createPolicies, createRegistration, createStep, queue, reportProgress, respond, startAll,
} from './support/builders.js';

const north = new Set(['north']);
const none = new Set<string>();
const longTask = {estimateMilliseconds: 10_000};
const service = {longRunning: true, maximumAway: 1};

const createFixture = (zones: readonly string[], policies = createPolicies(), epoch = 1) => {
	const events: SchedulerEvent[] = [];
	const scheduler = createScheduler({
		epoch, emit(event) {
			events.push(event);
		},
	});
	scheduler.setPolicies(policies);
	const add = (zone: string, now = 0, id = `${zone}-${scheduler.workers.size}`): WorkerRow => addWorker(scheduler, createRegistration(id, {zone}), now);
	const workers = zones.map(zone => add(zone));
	return {
		scheduler, workers, add,
		eventTypes: () => events.map(({type}) => type).filter(type => type.startsWith('zone-')),
		events,
		addRunning(id: string, steps: Array<Partial<StepDeclaration>>, now = 1): void {
			addJob(scheduler, id, steps.map(step => createStep(step)));
			startAll(scheduler, now);
			reportProgress(scheduler, now + 1);
		},
		planStops: (now: number): string[] => scheduler.plan({now, wallNow: now, mayStart: true}).flatMap(order => order.type === 'stop' ? [order.task] : []),
	};
};

// Guards against a start in the zone, and against capacity that stays unused after the operator has cancelled the evacuation.
test('a task starts in an evacuated zone only once the evacuation is cancelled', t => {
	const {scheduler} = createFixture(['north']);
	scheduler.setEvacuatedZones(north, 1);
	addJob(scheduler, 'j', [createStep()]);
	addJob(scheduler, 'gang', [createStep({taskCount: 2, gang: true})]);
	t.deepEqual(startAll(scheduler, 2), []);
	t.true(scheduler.isEvacuated('north'));
	scheduler.setEvacuatedZones(none, 3);
	t.is(startAll(scheduler, 3).length, 3);
});

// Guards against a worker that registers in the zone after the evacuation was read.
test('a worker that registers later in an evacuated zone gets no runs', t => {
	const {scheduler, add} = createFixture([]);
	scheduler.setEvacuatedZones(north, 1);
	add('north', 2);
	addJob(scheduler, 'j', [createStep()]);
	t.deepEqual(startAll(scheduler, 3), []);
});

// Guards against a second run in the zone, which placement would start for a slow or unreachable worker.
test('a speculative run starts outside the evacuated zone only', t => {
	const {scheduler, workers, add, addRunning} = createFixture(['south']);
	addRunning('j', [{speculative: true}]);
	add('north', 2);
	scheduler.setEvacuatedZones(north, 3);
	workers[0]!.unansweredCalls = 1;
	t.deepEqual(startAll(scheduler, 204), []);
	scheduler.setEvacuatedZones(none, 305);
	t.is(startAll(scheduler, 305).length, 1);
});

// Guards against calls to the advice service about workers that may not be used.
test('the advice service is asked about workers outside the evacuated zone only', t => {
	const policy = {...createPolicies().queues.get(queue)!, advice: {decideMilliseconds: 10, perWorkerMilliseconds: 1}};
	const {scheduler} = createFixture(['north', 'south'], createPolicies({queues: new Map([[queue, policy]])}));
	scheduler.setEvacuatedZones(north, 1);
	addJob(scheduler, 'j', [createStep()]);
	t.deepEqual(scheduler.plan({now: 2, wallNow: 2, mayStart: true}).map(order => order.type === 'advise' ? order.workers : order.type), [['south-1']]);
});

// Guards against a service that loses more tasks than it allows, and against one that stays in the zone.
test('long-running tasks leave one at a time if one may be away, the next once the last is ready elsewhere', t => {
	const {scheduler, workers, add, addRunning, planStops} = createFixture(['north']);
	addRunning('s', [{...service, taskCount: 2}]);
	const south = add('south', 3);
	scheduler.setEvacuatedZones(north, 4);
	t.deepEqual(planStops(5), ['s.0.0.0']);
	const [moved] = [...workers[0]!.runs.values()];
	scheduler.recordStopOutcome(moved!, true, 6);
	respond(scheduler, workers[0]!, 7, [...workers[0]!.runs.values()].filter(row => row !== moved).map(row => ({
		task: row.task.name, run: row.run, checkpoint: '', percent: 100, latencyOrCpuUsage: 0,
	})));
	t.deepEqual(startAll(scheduler, 8), [['s.0.0.0', south.registration.id]]);
	t.deepEqual(planStops(9), []);
	reportProgress(scheduler, 10);
	t.deepEqual(planStops(11), ['s.0.0.1']);
});

// Guards against a service without a place to go that is stopped nevertheless.
test('long-running tasks stay if no other zone has capacity, or if all zones are evacuated', t => {
	const {scheduler, addRunning, add, planStops} = createFixture(['north']);
	addRunning('s', [{...service, taskCount: 2}]);
	add('south', 2);
	scheduler.setEvacuatedZones(new Set(['north', 'south']), 3);
	addJob(scheduler, 'j', [createStep()]);
	t.deepEqual(scheduler.plan({now: 4, wallNow: 4, mayStart: true}), []);
	scheduler.setEvacuatedZones(north, 5);
	addJob(scheduler, 'full', [createStep({taskCount: 3})]);
	t.is(startAll(scheduler, 6).length, 4);
	t.deepEqual(planStops(7), []);
});

// Guards against two tasks that leave for the same free capacity, of which one then waits.
test('no more tasks leave than fit elsewhere', t => {
	const {scheduler, add, addRunning, planStops} = createFixture(['north']);
	addRunning('s', [{...service, maximumAway: 4, taskCount: 4}]);
	addWorker(scheduler, createRegistration('small', {zone: 'south', capacity: {cpuMillis: 2500, memoryMegabytes: 10_000, accelerators: 0}}), 2);
	scheduler.setEvacuatedZones(north, 3);
	t.is(planStops(4).length, 2);
	t.deepEqual(planStops(5), []);
	add('south', 6);
	t.is(planStops(7).length, 2);
});

// Guards against work that is repeated although the task would have ended soon, and against a task that loses its work.
test('of the other tasks those leave that keep a checkpoint and have more than 2 s left', t => {
	const {scheduler, add, addRunning, planStops} = createFixture(['north']);
	addRunning('j', [{...longTask, checkpointing: true}, longTask, {estimateMilliseconds: 1900, checkpointing: true}]);
	add('south', 2);
	scheduler.setEvacuatedZones(north, 3);
	t.deepEqual(planStops(4), ['j.0.0.0']);
	const second = createFixture(['north']);
	second.addRunning('j', [{...longTask, checkpointing: true}]);
	second.add('south', 2);
	reportProgress(second.scheduler, 3, 85);
	second.scheduler.setEvacuatedZones(north, 4);
	t.deepEqual(second.planStops(5), []);
});

// Guards against a gang that is torn apart: members that stop end all others.
test('a gang leaves as a whole, or not at all if it does not fit elsewhere', t => {
	const gang = {
		...longTask, taskCount: 5, gang: true, checkpointing: true,
	};
	const {scheduler, add, addRunning, planStops} = createFixture(['north', 'south']);
	addRunning('gang', [gang]);
	scheduler.setEvacuatedZones(north, 3);
	t.deepEqual(planStops(4), []);
	add('south', 5);
	t.is(planStops(6).length, 5);
});

// Guards against a wave and an evacuation that each count the other's task as available.
test('an evacuation and a maintenance wave together do not exceed the number of tasks that may be away', t => {
	for (const isWaveFirst of [true, false]) {
		const {scheduler, workers, addRunning, planStops} = createFixture(['north', 'south', 'south']);
		addRunning('s', [{...service, taskCount: 2, maximumPerWorker: 1}]);
		const [first, second] = workers.filter(worker => worker.runs.size > 0);
		scheduler.setEvacuatedZones(north, 3);
		const target = isWaveFirst ? second! : first!;
		const machines = new Map<string, WaveMachine>([['m', {
			machine: 'm', pool: target.registration.pool, isUp: true, worker: target,
		}]]);
		const wave = {
			wave: 1, machines: ['m'], maximumAtOnce: 2, deadline: 0, begun: new Set<string>(), cordonedSince: new Map<string, number>(), ordered: new Set<string>(), down: new Set<string>(),
		};
		if (isWaveFirst) {
			t.deepEqual(planWave({
				wave, machines, workers: workers.values(), backlogged: new Set(), now: 4,
			}).readyForMaintenance, ['m']);
			t.deepEqual(planStops(5), []);
		} else {
			t.is(planStops(5).length, 1);
			t.false(isDisruptionAllowed(second!, 6));
			// Maintenance of the evacuated worker goes on, since its task is on its way already.
			t.deepEqual(planWave({
				wave, machines, workers: workers.values(), backlogged: new Set(), now: 6,
			}).readyForMaintenance, ['m']);
		}
	}
});

// Guards against an operator who takes a zone for empty while tasks still run there.
test('the events tell when an evacuation begins, when the zone is empty and when it is cancelled', t => {
	const {scheduler, workers, addRunning, events, eventTypes} = createFixture(['north']);
	addRunning('j', [{}]);
	scheduler.setEvacuatedZones(north, 10);
	scheduler.plan({now: 20, wallNow: 20, mayStart: true});
	t.deepEqual(events.at(-1), {
		type: 'zone-evacuation-begun', zone: 'north', runs: 1, milliseconds: 0,
	});
	t.deepEqual(scheduler.measureEvacuations(20), [{zone: 'north', runs: 1, milliseconds: 10}]);
	scheduler.markWorkerLost(workers[0]!);
	scheduler.plan({now: 30, wallNow: 30, mayStart: true});
	scheduler.plan({now: 40, wallNow: 40, mayStart: true});
	t.deepEqual(events.at(-1), {
		type: 'zone-emptied', zone: 'north', runs: 0, milliseconds: 20,
	});
	scheduler.setEvacuatedZones(none, 50);
	t.deepEqual(eventTypes(), ['zone-evacuation-begun', 'zone-emptied', 'zone-evacuation-cancelled']);
});

// Guards against a new owner that reports a zone as empty before it has heard from the workers there.
test('after a change of the owner a zone is empty only once its workers have answered', t => {
	const {scheduler, eventTypes} = createFixture([]);
	scheduler.setEvacuatedZones(north, 0);
	const worker = scheduler.registerWorker({
		registration: createRegistration('w1'), isRegistered: true, isReconciled: false, latestLeaseExpiry: 10_000,
	});
	scheduler.plan({now: 1, wallNow: 1, mayStart: true});
	t.deepEqual(eventTypes(), ['zone-evacuation-begun']);
	respond(scheduler, worker, 2, []);
	scheduler.plan({now: 3, wallNow: 3, mayStart: true});
	t.deepEqual(eventTypes(), ['zone-evacuation-begun', 'zone-emptied']);
});

// Guards against late tasks on a worker that is slow after its start while another has capacity.
test('a worker that is slow after its start gets runs only if no other has capacity, and until its time is over', t => {
	const {scheduler} = createFixture(['north']);
	addWorker(scheduler, createRegistration('slow', {slowStartMilliseconds: 1000, capacity: {cpuMillis: 8000, memoryMegabytes: 10_000, accelerators: 0}}));
	scheduler.workers.get('north-0')!.speed = 0.2;
	addJob(scheduler, 'gang', [createStep({taskCount: 3, gang: true})]);
	addJob(scheduler, 'j', [createStep({taskCount: 3})]);
	t.deepEqual(startAll(scheduler, 1).map(([, worker]) => worker), ['north-0', 'north-0', 'north-0', 'north-0', 'slow', 'slow']);
	t.true(scheduler.workers.get('slow')!.isStartingSlowly);
	startAll(scheduler, 1002);
	t.false(scheduler.workers.get('slow')!.isStartingSlowly);
});

// Guards against a service that loses a task to the new owner while one that the previous owner has stopped is still reported as running.
test('after a change of the owner nothing starts in the zone, and nothing leaves it for 3.5 s', t => {
	const {scheduler, add, addRunning, planStops} = createFixture(['north'], createPolicies(), 2);
	addRunning('s', [service]);
	scheduler.setEvacuatedZones(north, 3);
	addJob(scheduler, 'j', [createStep()]);
	t.deepEqual(startAll(scheduler, 4), []);
	add('south', 5);
	reportProgress(scheduler, 3400);
	t.deepEqual(planStops(3500), []);
	t.deepEqual(planStops(3501), ['s.0.0.0']);
});
