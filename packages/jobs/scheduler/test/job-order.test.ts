import test from 'ava';
import fc from 'fast-check';
import type {JobDeclaration, Policies, Scheduler} from '../src/index.js';
import {EndReason} from '../src/index.js';
import {
	addJob, addWorker, createPolicies, createRegistration, createStep, createTestScheduler, endRun, queue, startAll,
} from './support/builders.js';

const noLimit = {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0};

const createWeights = (weights: Readonly<Record<string, number>>): Policies => createPolicies({
	workspaces: new Map(Object.entries(weights).map(([name, weight]) => [name, {name, weight, maximum: noLimit}])),
});

/** Seven times the usual load of 4 tasks. */
const addBurst = (scheduler: Scheduler, workspace: string | undefined, now: number): void => {
	for (let index = 0; index < 7; index += 1) {
		addJob(scheduler, `${workspace ?? 'public'}-${now}-${index}`, [createStep({taskCount: 4})], {workspace}, now);
	}
};

const countRuns = (scheduler: Scheduler): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const worker of scheduler.workers.values()) {
		for (const {task} of worker.runs.values()) {
			const workspace = task.step.job.declaration.workspace ?? 'public';
			counts[workspace] = (counts[workspace] ?? 0) + 1;
		}
	}

	return counts;
};

const addWorkers = (scheduler: Scheduler, count: number): void => {
	for (let index = 0; index < count; index += 1) {
		addWorker(scheduler, createRegistration(`w${index}`));
	}
};

// Guards against a workspace at seven times its load that takes the capacity of the others because its jobs come first.
test('a burst of one workspace leaves the others their share', t => {
	const scheduler = createTestScheduler();
	addWorkers(scheduler, 2);
	addBurst(scheduler, 'large', 0);
	addJob(scheduler, 'b', [createStep({taskCount: 3})], {workspace: 'small'}, 1);
	addJob(scheduler, 'c', [createStep({taskCount: 2})], {}, 1);
	startAll(scheduler, 2);
	t.deepEqual(countRuns(scheduler), {large: 3, small: 3, public: 2});
});

// Guards against an order that ignores the weights, or runs that the workspaces already have.
test('runs of a full pool are divided by weight, lent capacity is returned as runs end', t => {
	const scheduler = createTestScheduler(createWeights({a: 3, b: 1}));
	addWorkers(scheduler, 2);
	addBurst(scheduler, 'b', 0);
	startAll(scheduler, 1);
	t.deepEqual(countRuns(scheduler), {b: 8});
	addBurst(scheduler, 'a', 2);
	const rows = [...scheduler.workers.values()].flatMap(worker => [...worker.runs.values()]);
	for (const {worker, task, run} of rows.slice(0, 6)) {
		endRun(scheduler, worker, {
			task: task.name, run, reason: EndReason.Done, now: 100,
		});
		startAll(scheduler, 101);
	}

	t.deepEqual(countRuns(scheduler), {a: 6, b: 2});
});

// Guards against the loss of all jobs in an overload: by deadline, each job of a backlog is served when it is about to be late.
test('within a workspace, jobs that can meet their objective come first, then the shortest that is of use', t => {
	const scheduler = createTestScheduler();
	addWorkers(scheduler, 1);
	// The objective is 600 ms beyond twice the critical path; a result is of use until three times that.
	addJob(scheduler, 'late-long', [createStep({taskCount: 16})]);
	addJob(scheduler, 'late-short', [createStep({taskCount: 4})]);
	addJob(scheduler, 'useless', [createStep({taskCount: 4})], {submittedAt: -10_000});
	addJob(scheduler, 'on-time', [createStep({taskCount: 4})], {}, 1500);
	const started: string[] = [];
	for (let now = 1500; started.length < 28; now += 10) {
		started.push(...startAll(scheduler, now).map(([task]) => task.split('.', 1)[0]!));
		for (const worker of scheduler.workers.values()) {
			for (const {task, run} of worker.runs.values()) {
				endRun(scheduler, worker, {
					task: task.name, run, reason: EndReason.Done, now: now + 5,
				});
			}
		}
	}

	t.deepEqual([...new Set(started)], ['on-time', 'late-short', 'late-long', 'useless']);
});

// Guards against a change for callers of a pool that is not full.
test('if all ready tasks fit, jobs start by priority, lateness and deadline', t => {
	const scheduler = createTestScheduler();
	addWorkers(scheduler, 2);
	addJob(scheduler, 'second', [createStep({taskCount: 2})], {workspace: 'a'}, 10);
	addJob(scheduler, 'first', [createStep({taskCount: 4})], {workspace: 'a'}, 0);
	addJob(scheduler, 'third', [createStep({taskCount: 2})], {workspace: 'b'}, 20);
	t.deepEqual([...new Set(startAll(scheduler, 21).map(([task]) => task.split('.', 1)[0]))], ['first', 'second', 'third']);
});

const jobArbitrary = fc.record({
	workspace: fc.constantFrom('a', 'b', 'c', undefined), tasks: fc.integer({min: 1, max: 12}), cpuMillis: fc.constantFrom(500, 1000), now: fc.integer({min: 0, max: 3000}),
});

const startGenerated = (jobs: ReadonlyArray<{workspace: JobDeclaration['workspace']; tasks: number; cpuMillis: number; now: number}>, weights: Readonly<Record<string, number>>) => {
	const scheduler = createTestScheduler(createWeights(weights));
	addWorkers(scheduler, 3);
	for (const [index, {workspace, tasks, cpuMillis, now}] of jobs.entries()) {
		addJob(scheduler, `j${index}`, [createStep({taskCount: tasks, resources: {cpuMillis, memoryMegabytes: 1, accelerators: 0}})], {workspace}, now);
	}

	return {scheduler, started: startAll(scheduler, 3000)};
};

// Guards against shares beyond one task of max-min fairness, idle capacity while tasks wait, and an order that depends on more than its input.
test('shares are within one task of weighted max-min fairness, for generated loads', t => {
	const weightArbitrary = fc.constantFrom(1, 2, 3);
	fc.assert(fc.property(fc.array(jobArbitrary, {minLength: 1, maxLength: 12}), fc.record({a: weightArbitrary, b: weightArbitrary, c: weightArbitrary}), (jobs, weights) => {
		const {scheduler, started} = startGenerated(jobs, weights);
		t.deepEqual(startGenerated(jobs, weights).started, started);
		const claims = new Map<string, {used: number; largestTask: number; isWaiting: boolean; weight: number}>();
		for (const job of scheduler.jobs.values()) {
			const name = job.declaration.workspace ?? 'public';
			const weight = (weights as Readonly<Record<string, number>>)[name] ?? 1;
			const claim = claims.get(name) ?? {
				used: 0, largestTask: 0, isWaiting: false, weight,
			};
			const step = job.occurrences.get(0)![0]!;
			const {cpuMillis} = step.declaration.resources;
			claims.set(name, {
				weight, used: claim.used + ((step.declaration.taskCount - step.waiting) * cpuMillis),
				largestTask: Math.max(claim.largestTask, cpuMillis), isWaiting: claim.isWaiting || step.waiting > 0,
			});
		}

		for (const waiting of claims.values()) {
			for (const other of waiting.isWaiting ? claims.values() : []) {
				// The half core that a task of a whole core cannot use goes to whoever has a smaller task.
				t.true((other.used - other.largestTask) / other.weight <= (waiting.used + 500) / waiting.weight, `${queue} ${JSON.stringify([...claims])}`);
			}
		}
	}), {seed: 571, numRuns: 150});
});
