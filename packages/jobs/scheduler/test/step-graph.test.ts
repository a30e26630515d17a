import test from 'ava';
import {estimateCriticalPath} from '../src/index.js';
import {createDurationEstimator} from '../src/durations.js';
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

/** Steps of 100, 200, 300 ... ms. */
const createGraph = (dependencies: ReadonlyArray<readonly number[]>) => dependencies.map((after, index) => createStep({after, estimateMilliseconds: (index + 1) * 100}));

// Guards against an owner that plans no more because of one job: each path through its steps was followed by itself, and their number doubles with each step.
for (const [name, dependencies, expected] of [
	['a single step', [[]], 0],
	['a chain', [[], [0], [1]], 500],
	['a diamond', [[], [0], [0], [1, 2]], 700],
	['steps that do not follow', [[], [], [1]], 0],
	['sixty steps that depend on all earlier ones', Array.from({length: 60}, (_, index) => Array.from({length: index}, (__, earlier) => earlier)), 182_900],
] as const) {
	test(`the longest chain after the first step of ${name} takes ${expected} ms`, t => {
		const scheduler = createTestScheduler();
		addJob(scheduler, 'j', createGraph(dependencies));
		t.is(createDurationEstimator().estimateFollowing(scheduler.jobs.get('j')!.occurrences.get(0)![0]!), expected);
	});
}
