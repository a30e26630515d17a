import test from 'ava';
import fc from 'fast-check';
import type {
	PlaceWaitEvent, Scheduler, SchedulerEvent, WorkerRow,
} from '../src/index.js';
import {createScheduler, EndReason, PlaceWaitEnd} from '../src/index.js';
import {
	addJob, addWorker, createPolicies, createRegistration, createStep, endRun, pool, queue, respond, startAll,
} from './support/builders.js';
import {generatedLoad, runGeneratedLoad} from './support/generated-orders.js';

const lowQueue = 'queue-low';

const createFixture = (epoch = 1) => {
	const events: PlaceWaitEvent[] = [];
	const scheduler = createScheduler({
		epoch, farFactor: 2, emit(event: SchedulerEvent) {
			if (event.type === 'place-wait-begun' || event.type === 'place-wait-ended') {
				events.push(event);
			}
		},
	});
	const createQueue = (name: string, priority: number) => [name, {
		name, pool, priority, maximumAttempts: 2, stretch: 2, objectiveMilliseconds: 10_000, advice: undefined,
	}] as const;
	const queues = new Map([createQueue(queue, 0), createQueue(lowQueue, 1)]);
	scheduler.setPolicies(createPolicies({queues}));
	return {
		scheduler, events,
		addWorker: (id: string, rack: number, slots = 1): WorkerRow =>
			addWorker(scheduler, createRegistration(id, {labels: ['a', `r1-${rack}`], capacity: {cpuMillis: slots * 1000, memoryMegabytes: 10_000, accelerators: 0}})),
		/** All workers answer, so that they remain schedulable. */
		startAll(now: number) {
			for (const worker of scheduler.workers.values()) {
				if (worker.unansweredCalls === 0) {
					respond(scheduler, worker, now);
				}
			}

			return startAll(scheduler, now);
		},
		listEnds: () => events.flatMap(event => event.type === 'place-wait-ended' ? [event.reason] : []),
	};
};

const onRack1 = createStep({preferredRack: 'r1-1', estimateMilliseconds: 1000});

/** Rack r1-1 has one slot, which a task of 1 s has occupied since 0; rack r1-2 is free. */
const createBusyRack = (slots = 1) => {
	const fixture = createFixture();
	const here = fixture.addWorker('here', 1, slots);
	fixture.addWorker('there', 2, 4);
	addJob(fixture.scheduler, 'first', [{...onRack1, taskCount: slots}]);
	fixture.startAll(0);
	return {...fixture, here};
};

// Guards against a start elsewhere that takes twice as long while capacity on the preferred rack becomes free soon.
test('a task waits for its rack and starts there', t => {
	const {scheduler, events, here, ...fixture} = createBusyRack();
	addJob(scheduler, 'j', [onRack1], {}, 600);
	t.deepEqual(fixture.startAll(600), []);
	t.like(events[0], {
		type: 'place-wait-begun', task: 'j.0.0.0', rack: 'r1-1', expectedMilliseconds: 400, boundMilliseconds: 1000,
	});
	endRun(scheduler, here, {
		task: 'first.0.0.0', run: 1, reason: EndReason.Done, now: 1000,
	});
	t.deepEqual(fixture.startAll(1000), [['j.0.0.0', 'here']]);
	t.like(events[1], {type: 'place-wait-ended', reason: PlaceWaitEnd.PlaceFound, milliseconds: 400});
});

// Load: many tasks that want one rack. Guards against many waits for the same capacity.
test('each wait takes up part of the forecast', t => {
	const {scheduler, ...fixture} = createBusyRack();
	addJob(scheduler, 'j', [{...onRack1, taskCount: 4}], {}, 600);
	t.deepEqual(fixture.startAll(600).map(([, worker]) => worker), ['there', 'there', 'there']);
});

// Guards against a task that is promised capacity for which others wait whose decision is not made anew on this tick.
test('a wait keeps its part of the forecast on ticks on which its rack has not changed, and ends at once when it has', t => {
	const {scheduler, here, ...fixture} = createBusyRack();
	addJob(scheduler, 'j', [onRack1], {}, 600);
	t.deepEqual(fixture.startAll(600), []);
	addJob(scheduler, 'k', [onRack1], {}, 610);
	t.deepEqual(fixture.startAll(610), [['k.0.0.0', 'there']]);
	endRun(scheduler, here, {
		task: 'first.0.0.0', run: 1, reason: EndReason.Done, now: 620,
	});
	t.deepEqual(fixture.startAll(620), [['j.0.0.0', 'here']]);
});

// Load: a slow rack. Guards against a wait for workers on which the task ends later than elsewhere.
test('a task does not wait for a slow rack, and does not start there', t => {
	const {scheduler, here, ...fixture} = createBusyRack(2);
	addJob(scheduler, 'j', [onRack1], {}, 600);
	here.speed = 0.3;
	t.deepEqual(fixture.startAll(600), [['j.0.0.0', 'there']]);
	const idle = createFixture();
	idle.addWorker('here', 1).speed = 0.3;
	idle.addWorker('there', 2);
	addJob(idle.scheduler, 'j', [onRack1]);
	t.deepEqual(idle.startAll(0), [['j.0.0.0', 'there']]);
});

// Load: a full pool. Guards against capacity elsewhere that is occupied for twice as long while others wait for it.
test('in a full pool a task waits longer for its rack than in an empty one', t => {
	const run = (others: number): string[] => {
		const fixture = createFixture();
		fixture.addWorker('here', 1);
		fixture.addWorker('there', 2);
		addJob(fixture.scheduler, 'first', [{...onRack1, estimateMilliseconds: 1500}]);
		fixture.startAll(0);
		addJob(fixture.scheduler, 'j', [onRack1], {}, 100);
		if (others > 0) {
			addJob(fixture.scheduler, 'others', [createStep({taskCount: others, estimateMilliseconds: 5000})], {}, 100);
		}

		return fixture.startAll(100).map(([task]) => task);
	};

	t.deepEqual(run(0), ['j.0.0.0']);
	t.deepEqual(run(3), ['others.0.0.0']);
});

for (const [name, spoil] of Object.entries<(here: WorkerRow) => void>({
	'whose workers do not answer'(here) {
		here.unansweredCalls = 1;
	},
	'in maintenance'(here) {
		here.isCordoned = true;
	},
	'that is unregistered'(here) {
		here.isRegistered = false;
	},
})) {
	// Guards against a wait for capacity that does not come.
	test(`a wait for a rack ${name} ends at once`, t => {
		const {scheduler, here, ...fixture} = createBusyRack();
		addJob(scheduler, 'j', [onRack1], {}, 600);
		t.deepEqual(fixture.startAll(600), []);
		spoil(here);
		t.deepEqual(fixture.startAll(610), [['j.0.0.0', 'there']]);
		t.deepEqual(fixture.listEnds(), [PlaceWaitEnd.Elsewhere]);
	});
}

// Guards against a wait that goes on while runs take longer than forecast.
test('a wait ends when its forecasts have failed twice', t => {
	const {scheduler, ...fixture} = createBusyRack();
	addJob(scheduler, 'j', [onRack1], {}, 850);
	const startedAt = Array.from({length: 40}, (_, tick) => 850 + (tick * 50)).find(now => fixture.startAll(now).length > 0);
	t.is(startedAt, 1400);
	t.deepEqual(fixture.listEnds(), [PlaceWaitEnd.ForecastFailed]);
});

// Guards against a wait that begins anew with each change of the owner.
test('the next owner counts a wait from the submission of the job', t => {
	const fixture = createFixture(2);
	fixture.addWorker('here', 1);
	fixture.addWorker('there', 2);
	addJob(fixture.scheduler, 'first', [onRack1]);
	fixture.scheduler.addJob({
		...fixture.scheduler.jobs.get('first')!.declaration, id: 'j', steps: [onRack1], submittedAt: 0,
	}, {isRestored: true, now: 1100, wallNow: 1100});
	t.deepEqual(fixture.startAll(1100), [['first.0.0.0', 'here'], ['j.0.0.0', 'there']]);
});

// Guards against waits that are reported as open after their job has ended.
test('a cancelled job ends the waits of its tasks', t => {
	const {scheduler, ...fixture} = createBusyRack();
	addJob(scheduler, 'j', [onRack1], {}, 600);
	fixture.startAll(600);
	scheduler.cancelJob('j');
	fixture.startAll(650);
	t.deepEqual(fixture.listEnds(), [PlaceWaitEnd.Withdrawn]);
});

// Guards against a gang that is spread over racks shortly before one has room for it, and against tasks that take this room.
test('a gang waits for one rack, whose free workers get only tasks that end before', t => {
	const fixture = createFixture();
	const here = fixture.addWorker('here', 1, 2);
	fixture.addWorker('there', 2, 1);
	addJob(fixture.scheduler, 'first', [createStep({preferredRack: 'r1-1', estimateMilliseconds: 800})]);
	fixture.startAll(0);
	addJob(fixture.scheduler, 'gang', [createStep({
		taskCount: 2, gang: true, sameRack: true, estimateMilliseconds: 1000,
	})], {}, 200);
	addJob(fixture.scheduler, 'long', [createStep({taskCount: 2, estimateMilliseconds: 3000})], {queue: lowQueue}, 200);
	addJob(fixture.scheduler, 'short', [createStep({estimateMilliseconds: 300})], {queue: lowQueue}, 200);
	t.deepEqual(fixture.startAll(200), [['short.0.0.0', 'here'], ['long.0.0.0', 'there']]);
	endRun(fixture.scheduler, here, {
		task: 'short.0.0.0', run: 1, reason: EndReason.Done, now: 500,
	});
	t.deepEqual(fixture.startAll(500), []);
	endRun(fixture.scheduler, here, {
		task: 'first.0.0.0', run: 1, reason: EndReason.Done, now: 800,
	});
	t.deepEqual(fixture.startAll(800), [['gang.0.0.0', 'here'], ['gang.0.0.1', 'here']]);
});

// Guards against a run on the slower of two workers, and against tasks spread over workers of about equal speed.
test('a task starts on the clearly faster worker, otherwise on the fullest', t => {
	const run = (speed: number): string[] => {
		const fixture = createFixture();
		fixture.addWorker('w1', 1, 2).speed = speed;
		fixture.addWorker('w2', 1, 3);
		addJob(fixture.scheduler, 'j', [createStep()]);
		addJob(fixture.scheduler, 'k', [createStep()], {}, 1);
		return fixture.startAll(0).map(([, worker]) => worker);
	};

	t.deepEqual(run(0.95), ['w1', 'w1']);
	t.deepEqual(run(0.6), ['w2', 'w2']);
});

const countFreeSlots = (scheduler: Scheduler): number => {
	let count = 0;
	for (const {registration, used} of scheduler.workers.values()) {
		count += Math.floor((registration.capacity.cpuMillis - used.cpuMillis) / 1000);
	}

	return count;
};

// Guards against a task that waits past its bound although it could start elsewhere.
test('no task waits past its bound', t => {
	t.notThrows(() => {
		fc.assert(fc.property(generatedLoad, fc.constantFrom(10, 50), (load, tickMilliseconds) => {
			const {scheduler, events} = createFixture();
			const open = new Map<string, number>();
			const violations: string[] = [];
			runGeneratedLoad(scheduler, load, now => {
				for (const event of events.splice(0)) {
					if (event.type === 'place-wait-begun') {
						open.set(event.task, now + event.boundMilliseconds);
					} else {
						open.delete(event.task);
					}
				}

				const getTaskCount = (task: string): number => {
					const {gang, taskCount} = scheduler.jobs.get(task.split('.', 1)[0]!)!.declaration.steps[0]!;
					return gang ? taskCount : 1;
				};

				const isGangWaiting = [...open.keys()].some(task => getTaskCount(task) > 1);
				const freeSlots = countFreeSlots(scheduler);
				for (const [task, boundAt] of open) {
					// A gang that waits holds free slots.
					if (now > boundAt + 1 && freeSlots >= getTaskCount(task) && (!isGangWaiting || open.size === 1)) {
						violations.push(task);
					}
				}
			}, tickMilliseconds);
			return violations.length === 0;
		}), {seed: 8592, numRuns: 300});
	});
});
