import test from 'ava';
import type {PoolDemand, PoolMachine} from '../src/index.js';
import {createPoolPlanner} from '../src/index.js';
import {
	addWorker, createJob, createRegistration, createStep, createTestScheduler, pool, startAll,
} from './support/builders.js';

const standby = 'standby';
const cpuMillis = 4000;
const noDemand: PoolDemand = {
	longRunning: 0, running: 0, waiting: 0, waitingWork: 0, arrivalDemand: 0, waitingLongRunningTasks: 0,
};

const createMachines = (workerCount: number): PoolMachine[] => {
	const scheduler = createTestScheduler();
	const machines = Array.from({length: workerCount}, (_, index): PoolMachine => ({
		machine: `m${index}`, pool, isUp: true, cpuMillis, worker: addWorker(scheduler, createRegistration(`w${index}`)), isEvacuated: false,
	}));
	return [...machines, {
		machine: 'standby-machine', pool: standby, isUp: true, cpuMillis, worker: undefined, isEvacuated: false,
	}];
};

const plan = (options: {planner?: ReturnType<typeof createPoolPlanner>; machines: readonly PoolMachine[]; demand: Partial<PoolDemand>; now: number; targetPools?: ReadonlyMap<string, string>}) =>
	(options.planner ?? createPoolPlanner()).plan({
		machines: options.machines, demands: new Map([[pool, {...noDemand, ...options.demand}]]), standbyPools: new Set([standby]),
		targetPools: options.targetPools ?? new Map(), canMove: () => true, now: options.now,
	});

const standbyMachineMove = [{machine: 'standby-machine', from: standby, to: pool}];

// Guards against late jobs in a burst of several times the mean load: arriving work counts before it waits.
test('a standby machine joins a pool whose arrivals exceed its capacity', t => {
	t.deepEqual(plan({machines: createMachines(2), demand: {arrivalDemand: 10_000}, now: 0}), standbyMachineMove);
	t.deepEqual(plan({machines: createMachines(2), demand: {arrivalDemand: 6000}, now: 0}), []);
});

// Guards against a second machine that is moved for the same deficit.
test('a machine that is being moved counts as capacity of its target pool', t => {
	t.deepEqual(plan({
		machines: createMachines(2), demand: {arrivalDemand: 10_000}, now: 0, targetPools: new Map([['standby-machine', pool]]),
	}), []);
});

// Guards against a long-running task that never starts: there was free capacity, but not on a worker that its step allows.
test('a waiting long-running task requests a machine although there is free capacity', t => {
	t.deepEqual(plan({machines: createMachines(2), demand: {longRunning: 2000, waitingLongRunningTasks: 1}, now: 0}), standbyMachineMove);
});

// Guards against a pool that the loss of one machine stops, and against moves that cost more than standby saves.
test('an idle machine moves to standby after a while, but not the last two', t => {
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

// Guards against machines that are given away between two bursts.
test('a machine stays while the recent peak demand of its pool needs it', t => {
	const planner = createPoolPlanner();
	const machines = createMachines(3);
	plan({
		planner, machines, demand: {arrivalDemand: 9000}, now: 0,
	});
	t.deepEqual(plan({
		planner, machines, demand: {}, now: 1000,
	}), []);
});

// Guards against a pool that lacks capacity while another has an idle machine and none is in standby.
test('an idle machine moves directly to a pool that needs it', t => {
	const machines = createMachines(3).slice(0, 3);
	const planner = createPoolPlanner();
	const moves = planner.plan({
		machines, demands: new Map([[pool, noDemand], ['pool-2', {...noDemand, arrivalDemand: 3000}]]), standbyPools: new Set(), targetPools: new Map(), canMove: () => true, now: 0,
	});
	t.deepEqual(moves, [{machine: 'm0', from: pool, to: 'pool-2'}]);
});

// Guards against a burst that is noticed only once tasks wait, and against arrivals that count for ever.
test('the work of a job counts as arrival demand until its averaging period is over', t => {
	const scheduler = createTestScheduler();
	addWorker(scheduler, createRegistration('w1'));
	scheduler.addJob(createJob('j', [createStep({taskCount: 4, estimateMilliseconds: 1000})]), {isRestored: false, now: 0, wallNow: 0});
	startAll(scheduler, 1);
	t.is(Math.round(scheduler.measurePoolDemands(10).get(pool)!.arrivalDemand), 5000);
	t.is(scheduler.measurePoolDemands(5000).get(pool)!.arrivalDemand, 0);
});

// Guards against a pool that counts on machines that may not be used, and against moves of such machines for their capacity.
test('machines in an evacuated zone count as absent and are not moved', t => {
	const machines = createMachines(3);
	const isEvacuated = true;
	const demand = {arrivalDemand: 9000};
	t.deepEqual(plan({machines, demand, now: 0}), []);
	t.deepEqual(plan({machines: machines.map((machine, index) => index === 0 ? {...machine, isEvacuated} : machine), demand, now: 0}), standbyMachineMove);
	t.deepEqual(plan({machines: machines.map((machine, index) => index === 0 || index === 3 ? {...machine, isEvacuated} : machine), demand, now: 0}), []);
});

// Guards against the deficit of a pool that a machine on its way seems to cover although it arrives in an evacuated zone.
test('a machine of an evacuated zone that is on its way does not count for its target pool', t => {
	const machines = createMachines(3).map((machine, index) => index === 2 ? {...machine, pool: 'pool-2', isEvacuated: true} : machine);
	t.deepEqual(plan({
		machines, demand: {arrivalDemand: 9000}, now: 0, targetPools: new Map([['m2', pool]]),
	}), standbyMachineMove);
});
