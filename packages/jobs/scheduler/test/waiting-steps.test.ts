import test from 'ava';
import type {SchedulerEvent} from '../src/index.js';
import {createScheduler} from '../src/index.js';
import {
	addWorker, createJob, createPolicies, createRegistration, createStep, respond, startAll,
} from './support/builders.js';

// Guards against accepted work that stands still without a line in the log that tells why.
test('a step that could run and has no run for some seconds is reported with what decides about its placement', t => {
	const events: SchedulerEvent[] = [];
	const scheduler = createScheduler({
		epoch: 1, emit(event) {
			events.push(event);
		},
	});
	scheduler.setPolicies(createPolicies());
	const worker = addWorker(scheduler, createRegistration('w1'));
	scheduler.addJob(createJob('large', [createStep({resources: {cpuMillis: 9000, memoryMegabytes: 100, accelerators: 0}})]), {isRestored: false, now: 0, wallNow: 0});
	scheduler.addJob(createJob('small', [createStep(), createStep({after: [0]})]), {isRestored: false, now: 0, wallNow: 0});
	for (let now = 0; now <= 4000; now += 500) {
		respond(scheduler, worker, now);
		startAll(scheduler, now);
	}

	t.snapshot(events);
});
