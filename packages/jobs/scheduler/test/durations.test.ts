import test from 'ava';
import fc from 'fast-check';
import {createDurationEstimator} from '../src/durations.js';
import {EndReason} from '../src/index.js';
import {
	addJob, addWorker, createRegistration, createStep, createTestScheduler, endRun, queue, startAll,
} from './support/builders.js';

const key = {queue, image: '', declaredMilliseconds: 500};

// Guards against forecasts from declared run times that are several times too short.
test('estimates follow the run times of a queue whose declared ones are off by a constant ratio', t => {
	const durations = createDurationEstimator();
	t.is(durations.estimate(key), 500);
	for (let index = 0; index < 40; index += 1) {
		const declaredMilliseconds = 200 + ((index % 5) * 200);
		durations.record({...key, declaredMilliseconds, actualMilliseconds: declaredMilliseconds * 3});
	}

	t.is(Math.round(durations.estimate({...key, declaredMilliseconds: 400}) / 100), 12);
});

// Guards against trust in declared run times that say nothing about the real ones.
test('estimates use the mean where the declared run times are random', t => {
	const durations = createDurationEstimator();
	for (let index = 0; index < 60; index += 1) {
		durations.record({...key, declaredMilliseconds: 100 + ((index * 7919) % 1900), actualMilliseconds: 1000});
	}

	t.is(Math.round(durations.estimate({...key, declaredMilliseconds: 100}) / 100), 10);
});

// Guards against estimates outside the range of what was seen, which would refuse or hold back all later jobs.
test('after any runs the estimate of a declared time lies between the shortest and the longest run or their ratios', t => {
	fc.assert(fc.property(fc.array(fc.record({declared: fc.integer({min: 50, max: 5000}), actual: fc.integer({min: 50, max: 5000})}), {minLength: 5, maxLength: 60}), samples => {
		const durations = createDurationEstimator();
		for (const {declared, actual} of samples) {
			durations.record({...key, declaredMilliseconds: declared, actualMilliseconds: actual});
		}

		const estimate = durations.estimate(key);
		const actuals = samples.map(({actual}) => actual);
		const ratios = samples.map(({declared, actual}) => actual / declared * key.declaredMilliseconds);
		t.true(estimate >= Math.min(...actuals, ...ratios) - 0.001 && estimate <= Math.max(...actuals, ...ratios) + 0.001);
	}), {seed: 20_261_204});
});

// Guards against short learned run times from runs that had only the rest of a task to do.
test('a finished run is learned from, one that resumed from a checkpoint is not', t => {
	const scheduler = createTestScheduler();
	const worker = addWorker(scheduler, createRegistration('w1'));
	for (let index = 0; index < 6; index += 1) {
		const now = index * 2000;
		worker.lastContactAt = now;
		addJob(scheduler, `j${index}`, [createStep({checkpointing: true})], {}, now);
		const [[task] = ['', '']] = startAll(scheduler, now);
		endRun(scheduler, worker, {
			task, run: 1, reason: EndReason.Done, now: now + 1500,
		});
	}

	t.is(scheduler.durations.estimate(key), 1500);
	worker.lastContactAt = 20_000;
	addJob(scheduler, 'j7', [createStep({checkpointing: true})], {}, 20_000);
	const [[task] = ['', '']] = startAll(scheduler, 20_000);
	endRun(scheduler, worker, {
		task, run: 1, reason: EndReason.Stopped, now: 21_000, checkpoint: 'c1',
	});
	startAll(scheduler, 21_000);
	endRun(scheduler, worker, {
		task, run: 2, reason: EndReason.Done, now: 21_100,
	});
	t.is(scheduler.durations.estimate(key), 1500);
});
