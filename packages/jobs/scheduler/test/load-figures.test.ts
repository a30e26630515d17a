import test from 'ava';
import fc from 'fast-check';
import {computeMaxMinShares} from '../src/index.js';
import {
	addJob, addWorker, createPolicies, createRegistration, createStep, createTestScheduler, pool, queue, startAll,
} from './support/builders.js';

/** A scheduler with one worker of 4000 thousandths of a core. */
const createFixture = () => {
	const scheduler = createTestScheduler(createPolicies({
		workspaces: new Map(['one', 'two'].map((name, index) => [name, {name, weight: index + 1, maximum: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0}}])),
	}));
	addWorker(scheduler, createRegistration('w1'));
	return scheduler;
};

// Guards against refusals while there is free capacity, or while machines can still be moved to the pool.
test('a pool is left out unless its ready work exceeds its free and its movable capacity', t => {
	const scheduler = createFixture();
	addJob(scheduler, 'a', [createStep({taskCount: 4})], {workspace: 'one'});
	t.deepEqual(scheduler.computeLoadFigures(() => 0, 0).pools, {});
	startAll(scheduler, 0);
	t.deepEqual(scheduler.computeLoadFigures(() => 0, 0).pools, {});
	addJob(scheduler, 'b', [createStep({taskCount: 2}), createStep({after: [0]})], {workspace: 'two'});
	t.deepEqual(scheduler.computeLoadFigures(() => 2000, 0).pools, {});
	t.deepEqual(scheduler.computeLoadFigures(() => 1000, 0), {
		durations: {[queue]: 500},
		pools: {
			[pool]: {
				capacity: 5000,
				backlogs: [
					{
						workspace: 'one', priority: 0, running: 4 * 1000 * 500 / 2, late: 0, waiting: [],
					},
					{
						workspace: 'two', priority: 0, running: 0, late: 0, waiting: [[5, 3 * 1000 * 500]],
					},
				],
				workspaces: {one: {weight: 1, demand: 4000, share: 3000}, two: {weight: 2, demand: 2000, share: 2000}},
			},
		},
	});
});

// Guards against refusals because of jobs that can no longer be of use and are served last.
test('waiting work of late jobs is kept apart, and that of jobs that are too late does not count', t => {
	const scheduler = createFixture();
	addJob(scheduler, 'a', [createStep({taskCount: 40})], {workspace: 'one'});
	t.not(scheduler.computeLoadFigures(() => 0, 0).pools[pool], undefined);
	addWorker(scheduler, createRegistration('w2'), 2000);
	t.like(scheduler.computeLoadFigures(() => 0, 2000).pools[pool]?.backlogs[0], {late: 40 * 1000 * 500, waiting: []});
	addWorker(scheduler, createRegistration('w3'), 60_000);
	t.deepEqual(scheduler.computeLoadFigures(() => 0, 60_000).pools, {});
});

// Guards against figures that fill the links of small machines where hundreds of pools are full.
test('the number of rows is bounded, and the fullest pools come first', t => {
	const names = Array.from({length: 300}, (_, index) => `p${index}`);
	const [policy] = createPolicies().queues.values();
	const scheduler = createTestScheduler(createPolicies({queues: new Map(names.map(name => [name, {...policy!, name, pool: name}]))}));
	for (const [index, name] of names.entries()) {
		addWorker(scheduler, createRegistration(name, {pool: name}));
		addJob(scheduler, name, [createStep({taskCount: 5 + index})], {queue: name});
	}

	const {pools} = scheduler.computeLoadFigures(() => 0, 0);
	t.deepEqual(Object.keys(pools), names.slice(100).toReversed());
});

// Guards against shares that give away capacity twice, leave some unused, or let a larger demand reduce the share of another below its fair level.
test('shares are max-min fair by weight', t => {
	const row = fc.record({demand: fc.integer({min: 0, max: 10_000}), weight: fc.integer({min: 1, max: 10})});
	fc.assert(fc.property(fc.array(row, {minLength: 1, maxLength: 20}), fc.integer({min: 0, max: 50_000}), (rows, capacity) => {
		const shares = computeMaxMinShares(rows, capacity);
		const total = rows.reduce((sum, {demand}) => sum + demand, 0);
		t.true(Math.abs(shares.reduce((sum, share) => sum + share, 0) - Math.min(total, capacity)) < 1e-6);
		const highestLevel = Math.max(...shares.map((share, index) => share / rows[index]!.weight));
		for (const [index, {demand, weight}] of rows.entries()) {
			t.true(shares[index]! <= demand + 1e-6);
			// A workspace whose demand is not met gets as much by weight as any other.
			t.true(shares[index]! >= demand - 1e-6 || shares[index]! / weight >= highestLevel - 1e-6);
		}
	}), {seed: 8, numRuns: 300});
});
