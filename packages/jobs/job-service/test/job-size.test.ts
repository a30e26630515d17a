import type {JobDeclaration} from '@turmericbay/scheduler';
import {captureProgress, createScheduler} from '@turmericbay/scheduler';
import test from 'ava';
import {checkJobSize, computeMaximumRows, SizeCause} from '../src/job-size.js';
import {createDeclaration} from './support/builders.js';

const maximumValueBytes = 1_048_576;

const createJob = (taskCounts: readonly number[], overrides: Partial<JobDeclaration> = {}, isLongRunning = false): JobDeclaration => {
	const declaration = createDeclaration('0123456789abcdef');
	return {...declaration, steps: taskCounts.map(taskCount => ({...declaration.steps[0]!, taskCount, longRunning: isLongRunning})), ...overrides};
};

// Guards against one accepted job whose tasks fill the memory of every owner in turn.
for (const [name, declaration, expected] of [
	['a task for each of 3,000 workers', createJob([3000]), undefined],
	['400,000 tasks in one step', createJob([400_000]), SizeCause.Tasks],
	['5,000 steps', createJob(Array.from({length: 5000}, () => 1)), SizeCause.Tasks],
	['a task count beyond all integers of the tables', createJob([Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER]), SizeCause.Tasks],
	['a million occurrences of few tasks', createJob([3, 2], {repetitions: 1_000_000}), undefined],
	['a million occurrences of many tasks', createJob([5000], {repetitions: 1_000_000}), SizeCause.Tasks],
	['a million occurrences that never end', createJob([1], {repetitions: 1_000_000}, true), SizeCause.Tasks],
	['some occurrences that never end', createJob([5], {repetitions: 100}, true), undefined],
	['a payload that fills a value', createJob([1], {payload: 'x'.repeat(maximumValueBytes)}), SizeCause.Record],
	['a payload of characters that take three bytes', createJob([1], {payload: '\u20AC'.repeat(maximumValueBytes / 2)}), SizeCause.Record],
] as const) {
	test(`${name}: ${expected ?? 'accepted'}`, t => {
		t.is(checkJobSize(declaration, maximumValueBytes)?.cause, expected);
	});
}

// Guards against a job that is accepted and whose progress then outgrows the largest value of the store: nothing of any job could be stored any more.
for (const valueBytes of [65_536, maximumValueBytes]) {
	test(`the progress of the largest job fits into a value of ${valueBytes} bytes, although each task has failed, crashed and has a checkpoint`, t => {
		const declaration = createJob([computeMaximumRows(valueBytes) - 1], {repetitions: 2_000_000_000, firstDueAt: 1000, intervalMilliseconds: 1});
		t.is(checkJobSize(declaration, valueBytes), undefined);
		t.is(checkJobSize({...declaration, steps: [...declaration.steps, ...declaration.steps]}, valueBytes)?.cause, SizeCause.Tasks);
		const scheduler = createScheduler({epoch: 1, maximumOpenRows: computeMaximumRows(valueBytes), emit: () => undefined});
		const job = scheduler.addJob(declaration, {
			isRestored: true, now: 0, wallNow: 0, progress: {
				begun: true, nextOccurrence: 1_999_999_990, finishedOccurrences: 1_999_999_990, openOccurrences: [], failures: {}, checkpoints: {},
			},
		});
		scheduler.plan({now: 0, wallNow: 3_000_000_000_000, mayStart: false});
		t.is(job.occurrences.size, 1);
		for (const task of [...job.occurrences.values()].flat().flatMap(({tasks}) => tasks)) {
			task.failedRuns.push(1_000_001, 1_001_001, 1_002_001);
			task.crashedRuns.push(1_003_001, 1_004_001);
			task.checkpoint = '0123456789abcdef';
		}

		t.true(JSON.stringify(captureProgress(job)).length <= valueBytes);
	});
}
