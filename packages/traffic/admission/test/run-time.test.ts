import test from 'ava';
import fc from 'fast-check';
import {ProblemCode} from '@turmericbay/types';
import {checkAdmission, computeMaximumQueueingMilliseconds, createRunTimeEstimator} from '../src/index.js';

const seed = 20_264;

// Guards against requests that wait for a slot and then get their response after the deadline.
test('at most 12 % of exponentially distributed runs exceed the likely maximum', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 9999}), {minLength: 500, maxLength: 500}), draws => {
		const estimator = createRunTimeEstimator();
		let exceeded = 0;
		for (const draw of draws) {
			const run = -100 * Math.log(1 - (draw / 10_000));
			const estimate = estimator.estimate();
			exceeded += estimate !== undefined && run > estimate.likelyMaximumMilliseconds ? 1 : 0;
			estimator.record(run);
		}

		t.true(exceeded <= 0.12 * draws.length, `${exceeded} of ${draws.length}`);
	}), {seed, numRuns: 50});
});

// Guards against refusing requests with short deadlines while the pool is idle, and against admitting queued ones that cannot finish in time.
test('constant run times add no margin, and the margin applies only to requests that have to wait', t => {
	const estimator = createRunTimeEstimator();
	for (let run = 0; run < 100; run++) {
		estimator.record(100);
	}

	t.deepEqual(estimator.estimate(), {meanMilliseconds: 100, likelyMaximumMilliseconds: 100});
	const state = {
		queueLength: 0, maximumQueued: 10, entriesAhead: 0, concurrency: 8, runTime: {meanMilliseconds: 100, likelyMaximumMilliseconds: 320}, remainingMilliseconds: 300,
	};
	t.is(checkAdmission({...state, freeSlots: 1}), undefined);
	t.is(checkAdmission({...state, freeSlots: 0})?.code, ProblemCode.DeadlineTooShort);
});

// Guards against sending requests so late that they miss their deadline and end with an unknown outcome.
test('a request may stay queued as long as a likely run still fits before its deadline', t => {
	const runTime = {meanMilliseconds: 100, likelyMaximumMilliseconds: 320};
	t.deepEqual([1000, 320, 100].map(remainingMilliseconds => computeMaximumQueueingMilliseconds({remainingMilliseconds, runTime})), [680, 0, 0]);
	t.is(computeMaximumQueueingMilliseconds({remainingMilliseconds: 1000, runTime: undefined}), 1000);
});
