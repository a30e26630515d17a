/** Whole job services under random fault schedules in virtual time; an oracle outside them checks the users' rules. */
import test from 'ava';
import {
	playSchedule, runSite, smallLoad, usualPolicy,
} from '../src/index.js';

/** Fixed, so that the verdict never depends on luck; `npm run experiment -- --schedules` draws more. */
const seeds = Array.from({length: 12}, (_, index) => index + 1);
/** Seeds that once broke a rule. */
const regressions: ReadonlyArray<readonly [number, string]> = [
	[50, 'a one-way cut: ends whose lease lapsed before they were acknowledged'],
	[144, 'a worker that starts again under its name while an older answer is on its way'],
];

test.serial('without faults every job is accepted and ends, and no rule is broken', async t => {
	const figures = await runSite({
		load: smallLoad, faults: [], seed: 1, ...usualPolicy,
	});
	t.is(figures.accepted, figures.sent);
	t.deepEqual(figures.violations, []);
	t.deepEqual(figures.unfinished, []);
	t.true(figures.completed > 0);
});

for (const [seed, cause] of [...seeds.map((seed): [number, string] => [seed, 'drawn']), ...regressions]) {
	test.serial(`no rule is broken under schedule ${seed} (${cause})`, async t => {
		const {violations, unfinished} = await playSchedule(seed);
		t.deepEqual(violations, []);
		t.deepEqual(unfinished, []);
	});
}
