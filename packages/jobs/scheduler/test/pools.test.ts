import test from 'ava';
import type {PoolDemand, PoolMachine} from '../src/index.js';
import {createPoolPlanner} from '../src/index.js';
import {
	addWorker, createJob, createReport, createStep, createTestScheduler, pool, startAll,
} from './support/builders.js';

const standby = 'standby';
const cpuMillis = 4000;
const calm: PoolDemand = {
	longRunning: 0, running: 0, waiting: 0, waitingWork: 0, arrivalDemand: 0, waitingLongRunningTasks: 0,
};

const createMachines = (working: number): PoolMachine[] => {
	const scheduler = createTestScheduler();
	const machines = Array.from({length: working}, (_, index): PoolMachine => ({
		machine: `m${index}`, pool, isUp: true, cpuMillis, worker: addWorker(scheduler, createReport(`w${index}`)),
	}));
	return [...machines, {
		machine: 'resting', pool: standby, isUp: true, cpuMillis, worker: undefined,
	}];
};

const plan = (options: {planner?: ReturnType<typeof createPoolPlanner>; machines: readonly PoolMachine[]; demand: Partial<PoolDemand>; now: number; incoming?: ReadonlyMap<string, string>}) =>
	(options.planner ?? createPoolPlanner()).plan({
		machines: options.machines, demands: new Map([[pool, {...calm, ...options.demand}]]), standbyPools: new Set([standby]),
		incoming: options.incoming ?? new Map(), isPossible: () => true, now: options.now,
	});

const toPool = [{machine: 'resting', from: standby, to: pool}];

// Pattern: one queue asks for several times its mean for some seconds. What arrives counts before it waits.
test('a resting machine joins a pool at which more arrives than it can do', t => {
	t.deepEqual(plan({machines: createMachines(2), demand: {arrivalDemand: 10_000}, now: 0}), toPool);
	t.deepEqual(plan({machines: createMachines(2), demand: {arrivalDemand: 6000}, now: 0}), []);
});

test('a machine on its way is room already', t => {
	t.deepEqual(plan({
		machines: createMachines(2), demand: {arrivalDemand: 10_000}, now: 0, incoming: new Map([['resting', pool]]),
	}), []);
});

// Guards against pools stripped of the machines on which serving tasks could stand: there was room, but not on another worker.
test('a serving task without a place calls for a machine', t => {
	t.deepEqual(plan({machines: createMachines(2), demand: {longRunning: 2000, waitingLongRunningTasks: 1}, now: 0}), toPool);
});

test('a machine without work rests after a while, but not the last two', t => {
	const planner = createPoolPlanner();
	const machines = createMachines(3);
	t.deepEqual(plan({
		planner, machines, demand: {}, now: 0,
	}), []);
	const moves = plan({
		planner, machines, demand: {}, now: 2000,
	});
	t.is(moves.length, 1);
	t.is(moves[0]!.to, standby);
});

test('a machine stays while the pool needed it a moment ago', t => {
	const planner = createPoolPlanner();
	const machines = createMachines(3);
	plan({
		planner, machines, demand: {arrivalDemand: 9000}, now: 0,
	});
	t.deepEqual(plan({
		planner, machines, demand: {}, now: 1000,
	}), []);
});

test('an idle machine goes straight to a pool that needs it', t => {
	const machines = createMachines(3).slice(0, 3);
	const planner = createPoolPlanner();
	const moves = planner.plan({
		machines, demands: new Map([[pool, calm], ['repairs', {...calm, arrivalDemand: 3000}]]), standbyPools: new Set(), incoming: new Map(), isPossible: () => true, now: 0,
	});
	t.deepEqual(moves, [{machine: 'm0', from: pool, to: 'repairs'}]);
});

// Pattern: a burst is seen by what arrives, before anything waits.
test('arrivals count until their spare time is over', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createReport('w1'));
	scheduler.addJob(createJob('j', [createStep({taskCount: 4, estimateMilliseconds: 1000})]), {restored: false, now: 0, wallNow: 0});
	startAll(scheduler, 1);
	t.is(Math.round(scheduler.measurePoolDemands(10).get(pool)!.arrivalDemand), 5000);
	t.is(scheduler.measurePoolDemands(5000).get(pool)!.arrivalDemand, 0);
});
