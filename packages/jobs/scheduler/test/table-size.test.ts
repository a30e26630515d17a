import test from 'ava';
import {addJob, createStep, createTestScheduler} from './support/builders.js';

/** Measured for tasks without runs. */
const bytesPerRow = 764;
/** The target gives each node 256 MB; half of it for the tables leaves room for calls, records and the bundle. */
const maximumTableBytes = 128 * 1024 * 1024;

// Guards against owners that end in turn, out of memory, because each of many accepted jobs is as large as one may be.
test.failing('the tables of a hundred large jobs without an end take at most half of the memory of a node', t => {
	const scheduler = createTestScheduler();
	for (let job = 0; job < 100; job += 1) {
		addJob(scheduler, `job-${job}`, [createStep({taskCount: 4000, longRunning: true})]);
	}

	let rows = 0;
	for (const {occurrences} of scheduler.jobs.values()) {
		for (const step of [...occurrences.values()].flat()) {
			rows += 1 + step.tasks.length;
		}
	}

	t.true(rows * bytesPerRow <= maximumTableBytes, `${rows} rows`);
});
