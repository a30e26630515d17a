/** Command `npm run measure:job-order`: prints the processor time of a tick of the job scheduler at 3,000 workers, 720 workspaces and 316 pools. */
import process from 'node:process';
import type {RunRow, Scheduler} from '@turmericbay/scheduler';
import {createScheduler, EndReason, JobState} from '@turmericbay/scheduler';
import {createRandom} from './random.js';
import {createTickTimes} from './timing.js';

const poolCount = 316;
const workspaceCount = 720;
const workerCount = 3000;
const slotsPerWorker = 4;
const tasksPerJob = 8;
const poolsPerWorkspace = 3;
const tickMilliseconds = 4;
const measuredTicks = 200;
const warmUpTicks = 50;
const seed = 571;

type Scenario = {
	readonly name: string;
	/** Tasks of the pools with a backlog, by their capacity. */
	readonly backlog: number;
	readonly fullPools: number;
	/** Runs that end between two ticks, of any pool. */
	readonly endsPerTick: number;
};

const scenarios: readonly Scenario[] = [
	{
		name: 'no pool full, no changes', backlog: 0, fullPools: 0, endsPerTick: 0,
	},
	{
		name: 'no pool full, 8 runs end and start', backlog: 0, fullPools: 0, endsPerTick: 8,
	},
	{
		name: '16 pools full, 8 runs end and start', backlog: 3, fullPools: 16, endsPerTick: 8,
	},
	{
		name: 'all pools full, no changes', backlog: 3, fullPools: poolCount, endsPerTick: 0,
	},
	{
		name: 'all pools full, 8 runs end and start', backlog: 3, fullPools: poolCount, endsPerTick: 8,
	},
	{
		name: 'all pools full, 64 runs end and start', backlog: 3, fullPools: poolCount, endsPerTick: 64,
	},
];

const random = createRandom(seed);

const createFleet = (): Scheduler => {
	const scheduler = createScheduler({epoch: 1, emit: () => undefined});
	const poolNames = Array.from({length: poolCount}, (_, index) => `pool-${index}`);
	const noLimit = {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};
	scheduler.setPolicies({
		queues: new Map(poolNames.map(pool => [pool, {
			name: pool, pool, priority: 0, maximumAttempts: 4, stretch: 1.6, objectiveMilliseconds: 600, advice: undefined,
		}])),
		pools: new Map(poolNames.map(name => [name, {name, enforcesCapacity: true, standby: false}])),
		workspaces: new Map(Array.from({length: workspaceCount}, (_, index) => [`workspace-${index}`, {name: `workspace-${index}`, weight: 1 + (index % 3), maximum: noLimit}])),
	});
	for (let index = 0; index < workerCount; index += 1) {
		const worker = scheduler.registerWorker({
			registration: {
				id: `worker-${index}`, incarnation: 1, address: `${index}`, pool: poolNames[index % poolCount]!, zone: 'zone', draining: false,
				capacity: {cpuMillis: slotsPerWorker * 1000, memoryMegabytes: 16_000, accelerators: 0}, labels: [], slowStartMilliseconds: 0,
			},
			isRegistered: true, isReconciled: true, latestLeaseExpiry: Number.POSITIVE_INFINITY,
		});
		// No heartbeats are simulated.
		worker.lastContactAt = Number.POSITIVE_INFINITY;
	}

	return scheduler;
};

const createLoad = (scheduler: Scheduler) => {
	let jobCount = 0;
	return {
		addJob(pool: number, now: number): void {
			jobCount += 1;
			// Each workspace uses a few pools, so that each pool is shared by about seven of them.
			const workspace = (pool + (poolCount * random.uniformInteger(poolsPerWorkspace)) + random.uniformInteger(poolsPerWorkspace)) % workspaceCount;
			const taskSize = 500 + (500 * random.uniformInteger(2));
			const step = {
				taskCount: tasksPerJob, resources: {cpuMillis: taskSize, memoryMegabytes: 500, accelerators: 0}, estimateMilliseconds: random.uniformBetween(500, 2000), after: [],
				checkpointing: false, gang: false, sameRack: false, requiredLabel: undefined, preferredRack: undefined, maximumPerWorker: 0, speculative: false, longRunning: false,
				image: 'image', targetMilliseconds: 0, fills: false, maximumAway: undefined,
			};
			scheduler.addJob({
				id: `job-${jobCount}`, queue: `pool-${pool}`, workspace: `workspace-${workspace}`, payload: '', steps: [step], repetitions: 0, firstDueAt: 0, intervalMilliseconds: 0, submittedAt: now,
			}, {isRestored: true, now, wallNow: now});
		},
	};
};

/** Ends the run as its worker reports it, and adds a job in its pool for each one that ends. */
const endRun = (scheduler: Scheduler, row: RunRow, context: {readonly now: number; readonly addJob: (pool: number, now: number) => void}): void => {
	const {worker, task} = row;
	const {job} = task.step;
	scheduler.applyRunReport({
		worker, sentAt: context.now, now: context.now,
		report: {
			incarnation: worker.incarnation, hasMoreEnded: true, running: [],
			ended: [{
				sequence: worker.lastAppliedSequence + 1, task: task.name, run: row.run, reason: EndReason.Done, checkpoint: '',
			}],
		},
	});
	worker.lastContactAt = Number.POSITIVE_INFINITY;
	if (job.state === JobState.Completed) {
		scheduler.removeJob(job);
		context.addJob(Number(job.declaration.queue.slice('pool-'.length)), context.now);
	}
};

const measureScenario = (scenario: Scenario) => {
	const scheduler = createFleet();
	const {addJob} = createLoad(scheduler);
	const slotsPerPool = workerCount * slotsPerWorker / poolCount;
	for (let pool = 0; pool < poolCount; pool += 1) {
		const load = pool < scenario.fullPools ? 1.5 + scenario.backlog : 0.7;
		for (let tasks = 0; tasks < load * slotsPerPool; tasks += tasksPerJob) {
			addJob(pool, 0);
		}
	}

	const running: RunRow[] = [];
	const times = createTickTimes();
	const timesWithoutStarts = createTickTimes();
	let starts = 0;
	for (let tick = 0; tick < warmUpTicks + measuredTicks; tick += 1) {
		const now = tick * tickMilliseconds;
		// In the order of their starts, so that all tasks of a job end soon after each other.
		for (const row of running.splice(0, scenario.endsPerTick)) {
			endRun(scheduler, row, {now, addJob});
		}

		const isMeasured = tick >= warmUpTicks;
		const plan = (mayStart: boolean) => scheduler.plan({now, wallNow: now, mayStart});
		if (isMeasured) {
			timesWithoutStarts.measure(() => plan(false));
		}

		const orders = isMeasured ? times.measure(() => plan(true)) : plan(true);
		for (const order of orders) {
			if (order.type === 'start') {
				scheduler.recordStartOutcome(order.row, {type: 'started'}, now);
				running.push(order.row);
				starts += isMeasured ? 1 : 0;
			}
		}
	}

	const queued = [...scheduler.jobs.values()].filter(job => job.state === JobState.Queued).length;
	return {
		times, timesWithoutStarts, startsPerTick: starts / measuredTicks, jobs: scheduler.jobs.size, queued, runs: running.length,
	};
};

const formatMilliseconds = (microseconds: number): string => (microseconds / 1000).toFixed(2);

process.stdout.write('| load | jobs (not begun) | runs | starts a tick | tick, median / p99 ms | without starts, median / p99 ms |\n| --- | --- | --- | --- | --- | --- |\n');
for (const scenario of scenarios) {
	const {times, timesWithoutStarts, startsPerTick, jobs, queued, runs} = measureScenario(scenario);
	const format = ({medianMicroseconds, p99Microseconds}: ReturnType<typeof times.summarize>): string => `${formatMilliseconds(medianMicroseconds)} / ${formatMilliseconds(p99Microseconds)}`;
	process.stdout.write(`| ${scenario.name} | ${jobs} (${queued}) | ${runs} | ${startsPerTick.toFixed(1)} | ${format(times.summarize())} | ${format(timesWithoutStarts.summarize())} |\n`);
}
