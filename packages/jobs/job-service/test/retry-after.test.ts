/** Callers that all return within the outage use up their tries; callers that return at the same moment overload the store. */
import test from 'ava';
import {chooseRetryAfterSeconds} from '../src/retry-after.js';

test('the pause grows with the outage and stays within its bounds', t => {
	const pauses = [0, 500, 2000, 4000, 60_000].map(downMilliseconds => [0, 0.5, 0.99].map(draw => chooseRetryAfterSeconds({outageMilliseconds: downMilliseconds, random: () => draw})));
	t.deepEqual(pauses, [[1, 1, 1], [1, 1, 1], [1, 2, 3], [2, 4, 5], [5, 5, 5]]);
});
