import test from 'ava';
import fc from 'fast-check';
import {computeBackoffMilliseconds, createRetryBudget, retryRatio} from '../src/index.js';

const seed = 20_263;

// Guards against retries multiplying the load when many requests fail at once, and against one team using up what others paid for.
test('no pool and no payer retries more than a tenth of its traffic plus one', t => {
	const step = fc.record({retry: fc.boolean(), pool: fc.constantFrom('pricing', 'booking'), flow: fc.constantFrom('rugs', 'gourds')});
	fc.assert(fc.property(fc.array(step, {maxLength: 400, size: 'max'}), steps => {
		const budget = createRetryBudget();
		const requests = new Map<string, number>();
		const retries = new Map<string, number>();
		const count = (counts: Map<string, number>, names: readonly string[]): void => {
			for (const name of names) {
				counts.set(name, (counts.get(name) ?? 0) + 1);
			}
		};

		for (const {retry, pool, flow} of steps) {
			if (!retry) {
				budget.recordRequest({pool, flow});
				count(requests, [pool, flow]);
			} else if (budget.tryConsume({pool, flow})) {
				count(retries, [pool, flow]);
			}
		}

		for (const [name, granted] of retries) {
			t.true(granted <= 1 + (retryRatio * (requests.get(name) ?? 0)) + 1e-9);
		}
	}), {seed, numRuns: 300});
});

// Guards against a budget that refuses everything.
test('a tenth of steady traffic may be retried', t => {
	const budget = createRetryBudget();
	let granted = 0;
	for (let request = 0; request < 1000; request++) {
		budget.recordRequest({pool: 'pricing', flow: 'rugs'});
		granted += budget.tryConsume({pool: 'pricing', flow: 'rugs'}) ? 1 : 0;
	}

	t.true(granted >= 100 && granted <= 101, `${granted} retries`);
});

// Guards against saving up a storm of retries during a calm spell.
test('unused retries do not add up beyond a short burst', t => {
	const budget = createRetryBudget();
	for (let request = 0; request < 10_000; request++) {
		budget.recordRequest({pool: 'pricing', flow: 'rugs'});
	}

	const granted = Array.from({length: 100}, () => budget.tryConsume({pool: 'pricing', flow: 'rugs'}));
	t.is(granted.filter(Boolean).length, 10);
});

// Guards against retries in step: the jitter covers the whole interval, which doubles up to its maximum.
test('backoff is spread from zero to a doubling, bounded time', t => {
	const at = (attempt: number, random: number) => computeBackoffMilliseconds({
		attempt, baseMilliseconds: 25, maximumMilliseconds: 150, random: () => random,
	});
	t.deepEqual([1, 2, 3, 4].map(attempt => at(attempt, 0)), [0, 0, 0, 0]);
	t.deepEqual([1, 2, 3, 4].map(attempt => at(attempt, 0.999)), [49, 99, 149, 149]);
});
