import test from 'ava';
import fc from 'fast-check';
import {computeBackoffMilliseconds, createRetryBudget, retryRatio} from '../src/index.js';

const seed = 20_263;

// Guards against retries that multiply the load when many requests fail at once, and against a team that uses up the retries of others.
test('no pool and no flow retries more than a tenth of its requests plus one', t => {
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

// Guards against a budget that refuses all retries.
test('a tenth of a steady flow of requests may be retried', t => {
	const budget = createRetryBudget();
	let granted = 0;
	for (let request = 0; request < 1000; request++) {
		budget.recordRequest({pool: 'pricing', flow: 'rugs'});
		granted += budget.tryConsume({pool: 'pricing', flow: 'rugs'}) ? 1 : 0;
	}

	t.true(granted >= 100 && granted <= 101, `${granted} retries`);
});

// Guards against a large burst of retries after a long period without failures.
test('unused retries accumulate up to a limit of 10', t => {
	const budget = createRetryBudget();
	for (let request = 0; request < 10_000; request++) {
		budget.recordRequest({pool: 'pricing', flow: 'rugs'});
	}

	const granted = Array.from({length: 100}, () => budget.tryConsume({pool: 'pricing', flow: 'rugs'}));
	t.is(granted.filter(Boolean).length, 10);
});

// Guards against synchronized retries: the jitter covers the whole interval, which doubles up to its maximum.
test('backoff is spread between zero and a limit that doubles up to a maximum', t => {
	const at = (attempt: number, random: number) => computeBackoffMilliseconds({
		attempt, baseMilliseconds: 25, maximumMilliseconds: 150, random: () => random,
	});
	t.deepEqual([1, 2, 3, 4].map(attempt => at(attempt, 0)), [0, 0, 0, 0]);
	t.deepEqual([1, 2, 3, 4].map(attempt => at(attempt, 0.999)), [49, 99, 149, 149]);
});
