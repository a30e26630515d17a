/**
 * Guards against a slow or stopped reader, or a burst of lines, that delays
 * requests or uses up memory, and against lines that are dropped unreported.
 */
import test from 'ava';
import {createBoundedOutput, LogEvent} from '../src/index.js';

const createTestOutput = () => {
	let now = 0;
	const written: string[] = [];
	const writeCallbacks: Array<() => void> = [];
	const timers: Array<() => void> = [];
	const droppedCounts: Array<ReadonlyArray<readonly [string, number]>> = [];
	const output = createBoundedOutput({
		now: () => now,
		writeBatch(text, done) {
			written.push(text);
			writeCallbacks.push(done);
		},
		schedule(callback) {
			timers.push(callback);
		},
		onDropped(counts) {
			droppedCounts.push([...counts]);
		},
	});
	return {
		output, written, droppedCounts,
		advance(milliseconds: number, isReaderActive = true) {
			now += milliseconds;
			for (const timer of timers.splice(0)) {
				timer();
			}

			for (const done of isReaderActive ? writeCallbacks.splice(0) : []) {
				done();
			}
		},
	};
};

test('the lines of 100 milliseconds are written in one batch', t => {
	const {output, written, advance} = createTestOutput();
	output.write('a', LogEvent.JobAccepted);
	output.write('b', LogEvent.JobAccepted);
	t.deepEqual(written, []);
	advance(100);
	t.deepEqual(written, ['a\nb\n']);
});

test('lines over the limit are dropped and counted by event, warnings last', t => {
	const {output, written, droppedCounts, advance} = createTestOutput();
	for (let index = 0; index < 2000; index += 1) {
		output.write('information', LogEvent.RunStarted);
	}

	output.write('warning', LogEvent.WorkerUnreachable);
	advance(1000);
	t.true(written[0]!.endsWith('warning\n'));
	t.is(written[0]!.split('\n').length - 1, 1201);
	t.deepEqual(droppedCounts, [[['RunStarted', 800]]]);
	output.write('next', LogEvent.RunStarted);
	advance(100);
	t.is(written[1], 'next\n');
});

test('at most one mebibyte waits for a reader that has stopped', t => {
	const {output, written, advance} = createTestOutput();
	const line = 'x'.repeat(1000);
	for (let second = 0; second < 10; second += 1) {
		for (let index = 0; index < 400; index += 1) {
			output.write(line, LogEvent.RunStarted);
		}

		advance(1000, false);
	}

	t.true(written.join('').length <= 1_048_576);
	advance(1000);
	output.write('again', LogEvent.RunStarted);
	advance(100);
	t.true(written.at(-1)!.endsWith('again\n'));
});

test('flush returns the unwritten lines once', t => {
	const {output} = createTestOutput();
	output.write('last', LogEvent.DaemonStopped);
	t.is(output.flush(), 'last\n');
	t.is(output.flush(), '');
});
