import type {RunRecord} from '@turmericbay/fakes';
import test from 'ava';
import type {CaseResult, Check} from '../src/fault-case.js';
import {isPassed} from '../src/fault-case.js';
import {countRunsByKey, findMaximumRunning} from '../src/observations.js';
import {standardPlan} from '../src/setup.js';

const run = (idempotencyKey: string, startedAt: number, endedAt?: number): RunRecord => ({
	requestId: '', label: '', idempotencyKey, startedAt, endedAt,
});

// Guards against an exceeded limit that goes unnoticed because runs without an end are not counted.
test('the maximum number of concurrent runs includes runs without an end and excludes runs that ended at the same time', t => {
	t.is(findMaximumRunning([]), 0);
	t.is(findMaximumRunning([run('a', 0, 5), run('b', 5, 9), run('c', 8, 10)]), 2);
	t.is(findMaximumRunning([run('a', 0), run('b', 5, 9), run('c', 8, 10)]), 3);
});

// Guards against a repeated run that goes unnoticed because it happened on another upstream.
test('runs are counted by key', t => {
	t.deepEqual([...countRunsByKey([run('a', 0), run('b', 1), run('a', 2)])], [['a', 2], ['b', 1]]);
});

const satisfied: Check = {name: 'x', isSatisfied: true, measured: ''};
const faultCase = {
	name: '', guarantee: 7, seed: 1, steps: '', bound: '', plan: standardPlan, run: async () => undefined,
};
const verdicts: ReadonlyArray<{readonly name: string; readonly result: Partial<CaseResult>; readonly passed: boolean}> = [
	{name: 'satisfied checks', result: {checks: [satisfied]}, passed: true},
	{name: 'one violated check', result: {checks: [satisfied, {...satisfied, isSatisfied: false}]}, passed: false},
	{name: 'no checks', result: {checks: []}, passed: false},
	{name: 'a case that did not run to completion', result: {checks: [satisfied], failure: 'timeout'}, passed: false},
];

for (const {name, result, passed} of verdicts) {
	// Guards against a case that passes although it violated or verified nothing.
	test(`${name}: ${passed ? 'passes' : 'fails'}`, t => {
		t.is(isPassed({
			faultCase, checks: [], seconds: 1, ...result,
		}), passed);
	});
}
