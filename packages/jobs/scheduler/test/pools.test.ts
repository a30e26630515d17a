import test from 'ava';
import type {PoolMachine} from '../src/index.js';
import {createPoolPlanner} from '../src/index.js';
import {addWorker, createReport, createTestScheduler} from './support/builders.js';

const standby = 'standby';
const createMachines = () => {
	const scheduler = createTestScheduler();
	const home = addWorker(scheduler, createReport('home'));
	const visitor = addWorker(scheduler, createReport('visitor'));
	const machines: PoolMachine[] = [
		{
			machine: 'm-home', pool: 'pickups', isUp: true, cpuMillis: 4000, worker: home,
		},
		{
			machine: 'm-visitor', pool: 'pickups', isUp: true, cpuMillis: 4000, worker: visitor,
		},
		{
			machine: 'm-resting', pool: standby, isUp: true, cpuMillis: 4000, worker: undefined,
		},
	];
	return machines;
};

const homes = new Map([['m-home', 'pickups'], ['m-visitor', standby], ['m-resting', standby]]);

const plan = (planner: ReturnType<typeof createPoolPlanner>, waiting: number, now: number, incoming = new Map<string, string>()) => planner.plan({
	machines: createMachines(), homes, demands: new Map([['pickups', {waitingCpuMillis: waiting}], ['repairs', {waitingCpuMillis: 0}]]),
	standbyPools: new Set([standby]), incoming, isPossible: () => true, now,
});

// Pattern: one queue asks for several times its mean for some seconds.
test('a resting machine joins the pool that has more work than room', t => {
	t.deepEqual(plan(createPoolPlanner(), 12_000, 0), [{machine: 'm-resting', from: standby, to: 'pickups'}]);
});

test('a machine on its way is room already', t => {
	t.deepEqual(plan(createPoolPlanner(), 10_000, 0, new Map([['m-resting', 'pickups']])), []);
});

// Guards against pools that are stripped of machines which their serving tasks need: only visitors leave.
test('an idle visitor goes home after a while, a home machine stays', t => {
	const planner = createPoolPlanner();
	t.deepEqual(plan(planner, 0, 0), []);
	t.deepEqual(plan(planner, 0, 2000), [{machine: 'm-visitor', from: 'pickups', to: standby}]);
});

test('a visitor stays while the pool was busy a moment ago', t => {
	const planner = createPoolPlanner();
	plan(planner, 8000, 0);
	t.deepEqual(plan(planner, 0, 1200).filter(move => move.to === standby), []);
});
