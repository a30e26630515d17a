import test from 'ava';
import type {SchedulerEvent} from '../src/index.js';
import {createScheduler, EndReason} from '../src/index.js';
import {
	addJob, addWorker, createPolicies, createRegistration, createStep, endRun, pool, respond, startAll,
} from './support/builders.js';

const createObservedScheduler = () => {
	const events: SchedulerEvent[] = [];
	const scheduler = createScheduler({
		epoch: 1, emit(event) {
			events.push(event);
		},
	});
	scheduler.setPolicies(createPolicies());
	const worker = addWorker(scheduler, createRegistration('w1'));
	return {scheduler, worker, events};
};

// Guards against operators who cannot tell a full pool from one that stands still, and against an event for each short burst.
test('a pool that stays full is reported once, and once more when all fits', t => {
	const {scheduler, worker, events} = createObservedScheduler();
	const list = () => events.filter(({type}) => type === 'pool-full' || type === 'pool-relieved');
	addJob(scheduler, 'a', [createStep({taskCount: 5})], {workspace: 'a'});
	for (const now of [0, 500, 999]) {
		startAll(scheduler, now);
	}

	t.deepEqual(list(), []);
	respond(scheduler, worker, 1000);
	startAll(scheduler, 1000);
	startAll(scheduler, 1001);
	endRun(scheduler, worker, {
		task: 'a.0.0.0', run: 1, reason: EndReason.Done, now: 1500,
	});
	// At this tick the last task starts, so that the next one finds none that waits.
	startAll(scheduler, 1501);
	startAll(scheduler, 1502);
	t.deepEqual(list(), [
		{
			type: 'pool-full', pool, milliseconds: 1000, workspaces: 1,
		},
		{type: 'pool-relieved', pool, milliseconds: 1501},
	]);
});

// Guards against an unbounded number of metric series, and against figures that stay after the pool has been relieved.
test('usage and share are measured for the 50 workspaces with the largest usage', t => {
	const {scheduler, events} = createObservedScheduler();
	for (let index = 0; index < 60; index += 1) {
		addJob(scheduler, `job-${index}`, [createStep()], {workspace: `workspace-${index}`});
	}

	startAll(scheduler, 0);
	const measured = events.find(event => event.type === 'pools-measured');
	t.is(measured?.workspaces.length, 50);
	t.is(measured?.fullPools, 1);
	t.deepEqual(measured?.workspaces.slice(0, 5).map(({usage}) => usage), [0.25, 0.25, 0.25, 0.25, 0]);
	t.true(measured!.workspaces.every(({share}) => Math.abs(share - (1 / 60)) < 1e-9));
	for (const job of scheduler.jobs.values()) {
		scheduler.cancelJob(job.declaration.id);
	}

	startAll(scheduler, 1000);
	t.deepEqual(events.at(-1), {type: 'pools-measured', fullPools: 0, workspaces: []});
});
