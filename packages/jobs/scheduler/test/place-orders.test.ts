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

// Guards against other orders where the effect of the place is unknown. The hash was computed with the placement before tasks waited for their place (bfd01c5).
test('without a far factor, or with 1, the orders are those of the placement without waits', t => {
	const expected = 'cca62b0e9fcc073311560675f5f8f1ed071d885ee58e1f45151f5833eb3504ad';
	t.is(hashOrders(), expected);
	t.is(hashOrders(1), expected);
});
