import test from 'ava';
import {estimateCriticalPath} from '../src/index.js';
import {
	addJob, addWorker, createJob, createRegistration, createStep, createTestScheduler, startAll,
} from './support/builders.js';

/** More than a call can have arguments. */
const longList = Array.from({length: 1_000_000}, () => 0);

// Guards against one job that ends every owner in turn: its list of dependencies was longer than the number of arguments that a call may have.
test('a step may name the steps that it depends on many times', t => {
	const steps = [createStep({taskCount: 9}), createStep({after: longList})];
	t.is(estimateCriticalPath(createJob('j', steps)), 1000);
	const scheduler = createTestScheduler();
	addWorker(scheduler, createRegistration('w1'));
	addJob(scheduler, 'j', steps);
	addJob(scheduler, 'k', steps);
	t.is(startAll(scheduler, 1).length, 4);
});
