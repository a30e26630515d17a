/** Guards against job services that violate a rule of the oracle or lose an accepted job under overlapping faults; runs in virtual time. */
import test from 'ava';
import {
	runSchedule, runSimulation, smallLoad, defaultPolicy,
} from '../src/index.js';

/** Fixed seeds make the test reproducible; `npm run experiment -- --schedules` runs more. */
const seeds = Array.from({length: 12}, (_, index) => index + 1);
/** Seeds that violated a rule in an earlier version, with the cause. */
const regressionSeeds: ReadonlyArray<readonly [number, string]> = [
	[50, 'one-way partition: leases expire before ended runs are acknowledged'],
	[144, 'worker restarts under the same name while a response of its previous incarnation is in transit'],
];

test.serial('without faults every job is accepted and ends, and no rule is violated', async t => {
	const figures = await runSimulation({
		load: smallLoad, faults: [], seed: 1, ...defaultPolicy,
	});
	t.is(figures.accepted, figures.sent);
	t.deepEqual(figures.violations, []);
	t.deepEqual(figures.unfinished, []);
	t.true(figures.completed > 0);
});

for (const [seed, cause] of [...seeds.map((seed): [number, string] => [seed, 'random']), ...regressionSeeds]) {
	test.serial(`no rule is violated under fault schedule ${seed} (${cause})`, async t => {
		const {violations, unfinished} = await runSchedule(seed);
		t.deepEqual(violations, []);
		t.deepEqual(unfinished, []);
	});
}
