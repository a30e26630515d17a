import {createHash} from 'node:crypto';
import test from 'ava';
import fc from 'fast-check';
import {createTestScheduler} from './support/builders.js';
import {generatedLoad, runGeneratedLoad} from './support/generated-orders.js';

const loads = fc.sample(generatedLoad, {seed: 8591, numRuns: 200});

const hashOrders = (farFactor?: number): string => {
	const hash = createHash('sha256');
	for (const load of loads) {
		hash.update(JSON.stringify(runGeneratedLoad(createTestScheduler(undefined, 1, farFactor), load)));
	}

	return hash.digest('hex');
};

// Guards against other orders where the effect of the place is unknown. The hash was computed with the placement before tasks waited for their place (51337f7).
test('without a far factor, or with 1, the orders are those of the placement without waits', t => {
	const expected = '4a99c933dd5ccba08bc8e2367e661c22b7256b7d78249f5a90bc575544e96b8f';
	t.is(hashOrders(), expected);
	t.is(hashOrders(1), expected);
});
