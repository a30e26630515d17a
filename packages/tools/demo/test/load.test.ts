import test from 'ava';
import fc from 'fast-check';
import {
	ResponseClass, createSeededRandom, createUuidV7, planLoad, runLoad,
} from '../src/index.js';
import type {LoadSource} from '../src/index.js';

const price: LoadSource = {
	team: 'booking', queue: 'price', method: 'GET', ratePerSecond: 200,
};

// Guards against load that the seed does not reproduce and against a wrong arrival rate.
test('a plan depends on the seed only and has the configured rate', t => {
	const plan = (seed: number) => planLoad({sources: [price, {...price, queue: 'pickups'}], durationMilliseconds: 10_000, seed});
	t.deepEqual(plan(1), plan(1));
	t.notDeepEqual(plan(1), plan(2));
	t.true(Math.abs(plan(1).length - 4000) < 300);
	t.is(new Set(plan(1).map(({body}) => body)).size, plan(1).length);
});

// Guards against idempotency keys that the daemon rejects for their format or time.
test('a generated UUIDv7 holds its creation time', t => {
	fc.assert(fc.property(fc.integer(), fc.integer({min: 0, max: (2 ** 48) - 1}), (seed, wallMilliseconds) => {
		const key = createUuidV7({wallMilliseconds, random: createSeededRandom(seed)});
		t.regex(key, /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/v);
		t.is(Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16), wallMilliseconds);
	}), {seed: 71_002});
});

// Guards against requests that are missing from the counts when the connection is refused.
test('every planned request is counted once', async t => {
	const plan = planLoad({sources: [price], durationMilliseconds: 100, seed: 3});
	const report = await runLoad({plan, seed: 3, listEntryUrls: () => ['http://127.0.0.1:1']});
	t.is(report.sent, plan.length);
	t.is(report.counts[ResponseClass.Broken], plan.length);
});
