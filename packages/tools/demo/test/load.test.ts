import test from 'ava';
import fc from 'fast-check';
import {
	AnswerClass, createSeededRandom, createTimedKey, planLoad, runLoad,
} from '../src/index.js';
import type {LoadSource} from '../src/index.js';

const price: LoadSource = {
	team: 'booking', queue: 'price', method: 'GET', ratePerSecond: 200,
};

// Guards against runs that cannot be repeated and against a rate other than the stated one.
test('a plan depends on the seed only and keeps the rate', t => {
	const plan = (seed: number) => planLoad({sources: [price, {...price, queue: 'pickups'}], durationMilliseconds: 10_000, seed});
	t.deepEqual(plan(1), plan(1));
	t.notDeepEqual(plan(1), plan(2));
	t.true(Math.abs(plan(1).length - 4000) < 300);
	t.is(new Set(plan(1).map(({body}) => body)).size, plan(1).length);
});

// Guards against keys that the daemon refuses for their form or their time.
test('a timed key is a UUIDv7 that carries its time', t => {
	fc.assert(fc.property(fc.integer(), fc.integer({min: 0, max: (2 ** 48) - 1}), (seed, wallMilliseconds) => {
		const key = createTimedKey({wallMilliseconds, random: createSeededRandom(seed)});
		t.regex(key, /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/v);
		t.is(Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16), wallMilliseconds);
	}), {seed: 71_002});
});

// Guards against requests that disappear from the counts when nobody listens.
test('every planned request is counted once', async t => {
	const plan = planLoad({sources: [price], durationMilliseconds: 100, seed: 3});
	const report = await runLoad({plan, seed: 3, entryUrls: () => ['http://127.0.0.1:1']});
	t.is(report.sent, plan.length);
	t.is(report.counts[AnswerClass.Broken], plan.length);
});
