/** Guards against callers that use up their retries during an outage, and against retries at the same moment that overload the store. */
import test from 'ava';
import {chooseRetryAfterSeconds} from '../src/retry-after.js';

test('the delay grows with the outage and stays within its bounds', t => {
	const delays = [0, 500, 2000, 4000, 60_000].map(downMilliseconds => [0, 0.5, 0.99].map(draw => chooseRetryAfterSeconds({outageMilliseconds: downMilliseconds, random: () => draw})));
	t.deepEqual(delays, [[1, 1, 1], [1, 1, 1], [1, 2, 3], [2, 4, 5], [5, 5, 5]]);
});
