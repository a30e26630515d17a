import type {RunRecord} from '@turmericbay/fakes';
import test from 'ava';
import type {CaseResult, Check} from '../src/fault-case.js';
import {isPassed} from '../src/fault-case.js';
import {countRunsByKey, findMaximumRunning} from '../src/observations.js';
import {standardPlan} from '../src/setup.js';

const run = (idempotencyKey: string, startedAt: number, endedAt?: number): RunRecord => ({
	requestId: '', label: '', idempotencyKey, startedAt, endedAt,
});

// Guards against a limit that looks kept because runs that never ended do not count.
test('the most runs at a time includes runs without an end and not those that just ended', t => {
	t.is(findMaximumRunning([]), 0);
	t.is(findMaximumRunning([run('a', 0, 5), run('b', 5, 9), run('c', 8, 10)]), 2);
	t.is(findMaximumRunning([run('a', 0), run('b', 5, 9), run('c', 8, 10)]), 3);
});

// Guards against a double run that is missed because it happened at another upstream.
test('runs are counted by key', t => {
	t.deepEqual([...countRunsByKey([run('a', 0), run('b', 1), run('a', 2)])], [['a', 2], ['b', 1]]);
});

const held: Check = {name: 'x', isHeld: true, measured: ''};
const faultCase = {
	name: '', guarantee: 7, seed: 1, steps: '', bound: '', plan: standardPlan, run: async () => undefined,
};
const verdicts: ReadonlyArray<{readonly name: string; readonly result: Partial<CaseResult>; readonly passed: boolean}> = [
	{name: 'held checks', result: {checks: [held]}, passed: true},
	{name: 'one broken check', result: {checks: [held, {...held, isHeld: false}]}, passed: false},
	{name: 'no check at all', result: {checks: []}, passed: false},
	{name: 'a case that was not played to its end', result: {checks: [held], failure: 'timeout'}, passed: false},
];

for (const {name, result, passed} of verdicts) {
	// Guards against a green run that proved nothing.
	test(`${name}: ${passed ? 'passes' : 'fails'}`, t => {
		t.is(isPassed({
			faultCase, checks: [], seconds: 1, ...result,
		}), passed);
	});
}
