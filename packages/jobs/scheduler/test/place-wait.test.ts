import test from 'ava';
import fc from 'fast-check';
import type {PlaceQuestion} from '../src/place-wait.js';
import {decidePlace, ElsewhereReason} from '../src/place-wait.js';

const ask = (overrides: Partial<PlaceQuestion> = {}): PlaceQuestion => ({
	now: 1000, here: {startAt: 1300, endAt: 2300}, elsewhereEndAt: 3000, displacedMilliseconds: 0, latestEndAt: 10_000, waitingSince: 1000, wait: undefined, ...overrides,
});

// Guards against waits that end later than a start elsewhere, and against starts elsewhere that end later than a wait.
test('the place is decided by the sooner end', t => {
	t.deepEqual(decidePlace(ask()), {type: 'wait', until: 1300, boundAt: 2000});
	t.deepEqual(decidePlace(ask({here: {startAt: 2100, endAt: 3100}})), {type: 'start-elsewhere', reason: ElsewhereReason.EndsSooner});
	t.deepEqual(decidePlace(ask({here: {startAt: 1000, endAt: 2000}})), {type: 'start-here'});
	t.deepEqual(decidePlace(ask({here: undefined})), {type: 'start-elsewhere', reason: ElsewhereReason.NoPlace});
});

// Guards against waits for a small saving, which an uncertain forecast can turn into a loss.
test('a wait begins only if it saves a fifth of the run time, and then continues', t => {
	const question = ask({here: {startAt: 1850, endAt: 2850}});
	t.deepEqual(decidePlace(question), {type: 'start-elsewhere', reason: ElsewhereReason.EndsSooner});
	t.is(decidePlace({...question, wait: {boundAt: 2000, failedForecasts: 0}}).type, 'wait');
});

// Guards against a full pool in which tasks occupy capacity elsewhere for longer than they need, while others wait for it.
test('capacity elsewhere that others need counts against a start there', t => {
	t.is(decidePlace(ask({here: {startAt: 2100, endAt: 3100}, displacedMilliseconds: 1000})).type, 'wait');
});

// Guards against a missed objective that a start elsewhere would have met.
test('a wait that would miss the objective ends', t => {
	const question = ask({here: {startAt: 2100, endAt: 3100}, displacedMilliseconds: 1000, latestEndAt: 3050});
	t.deepEqual(decidePlace(question), {type: 'start-elsewhere', reason: ElsewhereReason.Objective});
	t.is(decidePlace({...question, latestEndAt: 2900}).type, 'wait');
});

// Guards against a wait that continues on forecasts that do not come true.
test('a wait ends after two failed forecasts, and at its bound', t => {
	t.is(decidePlace(ask({wait: {boundAt: 1500, failedForecasts: 1}})).type, 'wait');
	t.deepEqual(decidePlace(ask({wait: {boundAt: 1500, failedForecasts: 2}})), {type: 'start-elsewhere', reason: ElsewhereReason.ForecastFailed});
	t.deepEqual(decidePlace(ask({wait: {boundAt: 1000, failedForecasts: 0}})), {type: 'start-elsewhere', reason: ElsewhereReason.Bound});
});

// Guards against a wait that begins anew with each change of the owner.
test('a task that was submitted before the takeover waits for what is left of its time', t => {
	t.deepEqual(decidePlace(ask({waitingSince: 500})), {type: 'wait', until: 1300, boundAt: 1500});
	t.is(decidePlace(ask({waitingSince: 0})).type, 'start-elsewhere');
});

// Guards against waits without a limit, and against a wait that misses an objective which a start elsewhere meets.
test('a wait is bounded and keeps an objective that elsewhere would be met', t => {
	const time = fc.integer({min: 0, max: 10_000});
	t.notThrows(() => {
		fc.assert(fc.property(time, time, time, time, fc.integer({min: 0, max: 3}), (start, duration, displacedMilliseconds, latestEndAt, failedForecasts) => {
			const question = ask({
				here: {startAt: 1000 + start, endAt: 1000 + start + duration}, elsewhereEndAt: 1000 + (2 * duration), displacedMilliseconds, latestEndAt,
				wait: {boundAt: 500 + start, failedForecasts},
			});
			const decision = decidePlace(question);
			return decision.type !== 'wait'
				|| (decision.boundAt > 1000 && failedForecasts < 2 && (question.here!.endAt <= latestEndAt || question.elsewhereEndAt > latestEndAt));
		}), {seed: 8591, numRuns: 1000});
	});
});
