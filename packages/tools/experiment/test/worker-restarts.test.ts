/** Worker processes that crash and are back under their names before the owner knows, in virtual time. */
import type {ExecutionContext} from 'ava';
import test from 'ava';
import type {Fault, Load, QueueLoad} from '../src/index.js';
import {
	createRandom, defaultPolicy, runSimulation, smallLoad,
} from '../src/index.js';

/** One queue at a constant rate, so that ends of runs and starts come all the time. */
const createLoad = (overrides: Partial<QueueLoad>): Load => ({
	...smallLoad, seconds: 12, peakFactor: 1, offPeakFactor: 1, failingRunShare: 0, failingJobShare: 0,
	queues: smallLoad.queues.filter(({queue}) => queue === 'pickups').map(queue => ({
		...queue, jobsPerSecond: 4, meanStepCount: 1, meanTaskCount: 4, serviceJobs: 0, ...overrides,
	})),
	machines: {'pool-pickups': 5, 'pool-standby': 1},
});

const createRestart = (at: number, overrides: {readonly workers?: number; readonly registrationMilliseconds?: number} = {}): Fault => ({
	type: 'restart', at, milliseconds: 50, workers: 1, registrationMilliseconds: 1500, ...overrides,
});

const createSlowStore = (at: number): Fault => ({
	type: 'store', at, milliseconds: 3000, target: 'all', effect: 'slow', share: 1,
});

const checkRules = async (t: ExecutionContext, options: {readonly load: Load; readonly faults: readonly Fault[]; readonly seed: number}): Promise<void> => {
	const {violations, unfinished, logLines} = await runSimulation({...defaultPolicy, ...options});
	t.true(logLines.some(line => line.includes('worker-reborn')));
	t.deepEqual(violations, []);
	t.deepEqual(unfinished, []);
};

// Guards against tasks that run again after they were done: a heartbeat with the acknowledgement for a former process made the next one forget its own ends.
for (const seed of [3, 4]) {
	test.serial(`no acknowledgement for a former process of a worker makes the next one forget its ends (seed ${seed})`, async t => {
		const random = createRandom(seed);
		await checkRules(t, {load: createLoad({}), faults: [createSlowStore(5500), createRestart(6000 + Math.round(random() * 500))], seed});
	});
}

// Guards against two runs of a task: a call with a lease on the clock of a former process gave the next one a longer lease than the owner reckoned with, and it ran on while it was cut off.
for (const seed of [6, 8]) {
	test.serial(`no lease for a former process of a worker reaches the next one (seed ${seed})`, async t => {
		const random = createRandom(seed);
		await checkRules(t, {
			load: createLoad({serviceJobs: 4}), seed, faults: [
				createSlowStore(6500),
				createRestart(7000 + Math.round(random() * 500), {workers: 0.6}),
				{
					type: 'workers', at: 9000 + Math.round(random() * 1000), milliseconds: 5500, target: 'all', effect: 'cut', share: 1, workers: 0.4,
				},
			],
		});
	});
}

// Guards against two runs of a task: the next process of a worker took a start for the former one, and the owner counted the run as lost with that one.
for (const seed of [10, 14]) {
	test.serial(`no start for a former process of a worker is taken by the next one and counted as lost (seed ${seed})`, async t => {
		const random = createRandom(seed);
		const at = 6000 + Math.round(random() * 500);
		await checkRules(t, {
			load: createLoad({meanTaskCount: 2, workMilliseconds: 2000}), seed, faults: [
				createRestart(at),
				{
					type: 'workers', at, milliseconds: 2000, target: 'all', effect: 'slow', share: 1, workers: 1,
				},
			],
		});
	});
}

// Guards against two runs of a task: a new owner left out the recorded runs of a worker's current process, since an older record named the former one.
for (const seed of [2, 12]) {
	test.serial(`a new owner restores the runs of a worker whose former process has older records (seed ${seed})`, async t => {
		const random = createRandom(seed);
		await checkRules(t, {
			load: createLoad({
				jobsPerSecond: 1, meanStepCount: 2, meanTaskCount: 6, serviceJobs: 4,
			}), seed, faults: [
				createRestart(7000, {workers: 0.4, registrationMilliseconds: 6000}),
				{
					type: 'workers', at: 8500, milliseconds: 2500, target: 'all', effect: 'slow', share: 1, workers: 1,
				},
				{
					type: 'stop', at: 8900 + Math.round(random() * 500), milliseconds: 1000, target: 'owner',
				},
			],
		});
	});
}
