/** A reader that is slow or gone, or a burst of lines, must cost neither requests nor memory; what was dropped is told. */
import test from 'ava';
import {createBoundedOutput, LogEvent} from '../src/index.js';

const createCase = () => {
	let now = 0;
	const written: string[] = [];
	const reads: Array<() => void> = [];
	const timers: Array<() => void> = [];
	const drops: Array<ReadonlyArray<readonly [string, number]>> = [];
	const output = createBoundedOutput({
		now: () => now,
		writeBatch(text, done) {
			written.push(text);
			reads.push(done);
		},
		schedule(callback) {
			timers.push(callback);
		},
		onDropped(counts) {
			drops.push([...counts]);
		},
	});
	return {
		output, written, drops,
		pass(milliseconds: number, isRead = true) {
			now += milliseconds;
			for (const timer of timers.splice(0)) {
				timer();
			}

			for (const done of isRead ? reads.splice(0) : []) {
				done();
			}
		},
	};
};

test('lines of a tenth of a second are written together', t => {
	const {output, written, pass} = createCase();
	output.write('a', LogEvent.JobAccepted);
	output.write('b', LogEvent.JobAccepted);
	t.deepEqual(written, []);
	pass(100);
	t.deepEqual(written, ['a\nb\n']);
});

test('lines beyond the budget are dropped and counted by event, warnings last', t => {
	const {output, written, drops, pass} = createCase();
	for (let index = 0; index < 2000; index += 1) {
		output.write('information', LogEvent.RunStarted);
	}

	output.write('warning', LogEvent.WorkerUnreachable);
	pass(1000);
	t.true(written[0]!.endsWith('warning\n'));
	t.is(written[0]!.split('\n').length - 1, 1201);
	t.deepEqual(drops, [[['RunStarted', 800]]]);
	output.write('next', LogEvent.RunStarted);
	pass(100);
	t.is(written[1], 'next\n');
});

test('a reader that has stopped holds at most one mebibyte', t => {
	const {output, written, pass} = createCase();
	const line = 'x'.repeat(1000);
	for (let second = 0; second < 10; second += 1) {
		for (let index = 0; index < 400; index += 1) {
			output.write(line, LogEvent.RunStarted);
		}

		pass(1000, false);
	}

	t.true(written.join('').length <= 1_048_576);
	pass(1000);
	output.write('again', LogEvent.RunStarted);
	pass(100);
	t.true(written.at(-1)!.endsWith('again\n'));
});

test('what waits at the end of the process is handed out once', t => {
	const {output} = createCase();
	output.write('last', LogEvent.DaemonStopped);
	t.is(output.flush(), 'last\n');
	t.is(output.flush(), '');
});
