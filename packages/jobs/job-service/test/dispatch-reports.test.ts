import {parseJson} from '@turmericbay/http-client';
import {EndReason} from '@turmericbay/scheduler';
import test from 'ava';
import fc from 'fast-check';
import {createReportDecoder, createReportEncoder} from '../src/dispatch-reports.js';

const small = fc.integer({min: 0, max: 3});
const checkpoint = fc.constantFrom('', 'a');
const report = fc.record({
	incarnation: fc.constantFrom(undefined, 1, 2),
	running: fc.uniqueArray(fc.record({
		task: fc.constantFrom('a', 'b', 'c'), run: small, checkpoint, percent: small, latencyOrCpuUsage: small,
	}), {selector: ({task, run}) => `${task}#${run}`, maxLength: 6}),
	ended: fc.uniqueArray(fc.record({
		sequence: small, task: fc.constantFrom('a', 'b', 'c'), run: small, reason: fc.constantFrom(...Object.values(EndReason)), checkpoint,
	}), {selector: ({sequence}) => sequence, maxLength: 4}),
	hasMoreEnded: fc.boolean(),
});
const step = fc.record({worker: fc.constantFrom('w1', 'w2'), report, isForgotten: fc.boolean()});

// Guards against a scheduler that sees a run which its worker does not have, or misses an ended one, because the owner puts a report together wrongly.
test('the owner reconstructs each report from the changes', t => {
	fc.assert(fc.property(fc.array(step, {maxLength: 12}), steps => {
		const encoder = createReportEncoder();
		const decoder = createReportDecoder();
		for (const {worker, report: next, isForgotten} of steps) {
			const encoded = encoder.encode(worker, next);
			// Undefined members are not sent.
			const sent = encoded && parseJson(JSON.stringify(encoded)) as typeof encoded; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- Written by the encoder.
			t.deepEqual(decoder.decode(worker, sent), {...next});
			t.is(encoder.encode(worker, next), undefined);
			t.deepEqual(decoder.decode(worker, undefined), {...next});
			if (isForgotten) {
				encoder.forget(worker);
				decoder.forget(worker);
			}
		}
	}), {seed: 8562, numRuns: 500});
});

// Guards against changes that are applied to nothing after a new connection.
test('changes without the previous report are not usable', t => {
	const decoder = createReportDecoder();
	t.is(decoder.decode('w1', undefined), undefined);
	t.is(decoder.decode('w1', {
		isComplete: false, running: [], ended: [], hasMoreEnded: false,
	}), undefined);
});
