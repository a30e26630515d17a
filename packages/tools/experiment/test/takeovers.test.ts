/** The last instance that is left takes over while the store fails, in virtual time. */
import test from 'ava';
import {runTakeoverSchedule} from '../src/index.js';

/** `npm run experiment -- --takeovers --schedules` runs more. */
const seeds = [3, 11, 16, 17, 29, 36];

// Guards against accepted jobs that nobody schedules any more: the store failed at a request of the takeover, and the instance made no further attempt to become the owner.
for (const seed of seeds) {
	test.serial(`the last instance goes on with all jobs under takeover schedule ${seed}, in which the store fails`, async t => {
		const {violations, unfinished} = await runTakeoverSchedule(seed);
		t.deepEqual(violations, []);
		t.deepEqual(unfinished, []);
	});
}
