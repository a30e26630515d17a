import test from 'ava';
import {createLimitReporter, HttpLimit} from '../src/index.js';

// Guards against a log that clients fill: a crowd that exceeds a limit thousands of times a second gets one line per interval.
test('a limit is reported at once, and then once per interval with the number of times', t => {
	let now = 1000;
	const reports: unknown[] = [];
	const onLimit = createLimitReporter({
		clock: {now: () => now},
		report(...values) {
			reports.push(values);
		},
	});
	for (let index = 0; index < 500; index += 1) {
		onLimit(HttpLimit.Requests);
	}

	onLimit(HttpLimit.RequestsPerConnection);
	now += 10_000;
	onLimit(HttpLimit.Requests);
	t.deepEqual(reports, [['requests', 1], ['requests-per-connection', 1], ['requests', 500]]);
});
