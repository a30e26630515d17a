/** Builders for jobs, policies and workers in tests. */
import type {
	EndReason, JobDeclaration, Policies, RunningEntry, Scheduler, StepDeclaration, WorkerRegistration, WorkerRow,
} from '../../src/index.js';
import {createScheduler, RunPhase} from '../../src/index.js';

export const pool = 'pool-1';
export const queue = 'queue-1';

/** Later than any time in these tests. */
const leaseEnd = 1_000_000;

export const createStep = (overrides: Partial<StepDeclaration> = {}): StepDeclaration => ({
	taskCount: 1, resources: {cpuMillis: 1000, memoryMegabytes: 100, accelerators: 0}, estimateMilliseconds: 500, after: [], checkpointing: false,
	gang: false, sameRack: false, requiredLabel: undefined, preferredRack: undefined, maximumPerWorker: 0, speculative: false, longRunning: false,
	image: '', targetMilliseconds: 0, fills: false, maximumAway: undefined, ...overrides,
});

export const createJob = (id: string, steps: readonly StepDeclaration[], overrides: Partial<JobDeclaration> = {}): JobDeclaration => ({
	id, queue, workspace: undefined, payload: 'payload', steps, repetitions: 0, firstDueAt: 0, intervalMilliseconds: 0, submittedAt: 0, ...overrides,
});

export const createPolicies = (overrides: Partial<Policies> = {}): Policies => ({
	queues: new Map([[queue, {
		name: queue, pool, priority: 0, maximumAttempts: 2, stretch: 2, objectiveMilliseconds: 600, advice: undefined,
	}]]),
	pools: new Map([[pool, {name: pool, enforcesCapacity: true, standby: false}]]),
	workspaces: new Map(),
	...overrides,
});

export const createRegistration = (id: string, overrides: Partial<WorkerRegistration> = {}): WorkerRegistration => ({
	id, incarnation: 1, address: '10.0.0.1:80', pool, zone: 'north', draining: false,
	capacity: {cpuMillis: 4000, memoryMegabytes: 10_000, accelerators: 0}, labels: ['a', 'r1-1'], slowStartMilliseconds: 0, ...overrides,
});

export const createTestScheduler = (policies: Policies = createPolicies(), epoch = 1, farFactor = 1): Scheduler => {
	const scheduler = createScheduler({epoch, farFactor, emit: () => undefined});
	scheduler.setPolicies(policies);
	return scheduler;
};

/** Adds a worker that has answered and can get runs. */
export const addWorker = (scheduler: Scheduler, registration: WorkerRegistration, now = 0): WorkerRow => {
	const worker = scheduler.registerWorker({
		registration, isRegistered: true, isReconciled: true, latestLeaseExpiry: Number.NEGATIVE_INFINITY,
	});
	worker.latestLeaseExpiry = leaseEnd;
	respond(scheduler, worker, now);
	return worker;
};

/** Applies the worker's response to a call that was sent at `now`; by default it reports all runs that are in phase Running. */
export const respond = (scheduler: Scheduler, worker: WorkerRow, now: number, running?: readonly RunningEntry[]): void => {
	scheduler.applyRunReport({
		worker, sentAt: now, now,
		report: {
			incarnation: worker.incarnation, ended: [], hasMoreEnded: false,
			running: running ?? [...worker.runs.values()].filter(row => row.phase === RunPhase.Running).map(row => ({
				task: row.task.name, run: row.run, checkpoint: '', percent: 100, latencyOrCpuUsage: 0,
			})),
		},
	});
};

/** All workers respond: service tasks are ready, and of the other tasks a tenth is done. */
export const reportProgress = (scheduler: Scheduler, now: number, percent = 10): void => {
	for (const worker of scheduler.workers.values()) {
		respond(scheduler, worker, now, [...worker.runs.values()].map(row => ({
			task: row.task.name, run: row.run, checkpoint: '', percent: row.task.step.declaration.longRunning ? 100 : percent, latencyOrCpuUsage: 0,
		})));
	}
};

/** Plans once, confirms all starts, and returns the started tasks with their workers. */
export const startAll = (scheduler: Scheduler, now: number): Array<readonly [string, string]> => {
	const started: Array<readonly [string, string]> = [];
	for (const order of scheduler.plan({now, wallNow: now, mayStart: true})) {
		if (order.type === 'start') {
			scheduler.recordStartOutcome(order.row, {type: 'started'}, now);
			started.push([order.row.task.name, order.row.worker.registration.id]);
		}
	}

	return started;
};

export const addJob = (scheduler: Scheduler, id: string, steps: Parameters<typeof createJob>[1], overrides: Parameters<typeof createJob>[2] = {}, now = 0): void => {
	scheduler.addJob(createJob(id, steps, overrides), {isRestored: false, now, wallNow: 0});
};

/** Applies a report that the run has ended and all others of the worker go on. */
export const endRun = (scheduler: Scheduler, worker: WorkerRow, options: {task: string; run: number; reason: EndReason; now: number; sequence?: number; checkpoint?: string}): void => {
	const {task, run, reason, now, sequence = worker.lastAppliedSequence + 1, checkpoint = ''} = options;
	scheduler.applyRunReport({
		worker, sentAt: now, now,
		report: {
			incarnation: worker.incarnation, hasMoreEnded: false, ended: [{
				sequence, task, run, reason, checkpoint,
			}],
			running: [...worker.runs.values()].filter(row => row.task.name !== task).map(row => ({
				task: row.task.name, run: row.run, checkpoint: '', percent: 10, latencyOrCpuUsage: 0,
			})),
		},
	});
};
