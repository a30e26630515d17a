import test from 'ava';
import {measureSite, sites} from '../src/index.js';
import type {Site} from '../src/index.js';

const small: Site = {
	...sites[0]!, workers: 8, jobSeconds: 120, poolSeconds: 120,
};

// Guards against inputs or decisions that the seed does not determine, which make the figures before and after a change incomparable.
test('the same seed gives the same figures', t => {
	const read = () => measureSite(small, [1]).map(({policy, seeds}) => ({policy, seeds}));
	t.deepEqual(read(), read());
});

// Guards against a simulation that measures nothing, for instance because no job starts or no maintenance step ends.
test('every policy finishes jobs and its maintenance wave', t => {
	for (const {policy, seeds} of measureSite(small, [2])) {
		const [figures] = seeds;
		t.true(figures!.jobs.finished > 0 && figures!.measures.rollOutHours < 100 && figures!.measures.bufferCostPercent > 0, `no figures for ${policy}`);
	}
});
