/** Builders that several tests of the job service share. */
import type {JobDeclaration, Scheduler, WorkerRegistration} from '@turmericbay/scheduler';
import {createScheduler} from '@turmericbay/scheduler';

/** Waits until all promises have settled that need no timer. */
export const settle = async (): Promise<void> => {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
};

export const createRegistration = (overrides: Partial<WorkerRegistration> = {}): WorkerRegistration => ({
	id: 'w1', incarnation: 1, address: '10.0.0.1:80', pool: 'pool-1', zone: 'north', draining: false,
	capacity: {cpuMillis: 4000, memoryMegabytes: 1000, accelerators: 0}, labels: [], slowStartMilliseconds: 0, ...overrides,
});

/** Creates a job with one step. */
export const createDeclaration = (id: string, taskCount = 1): JobDeclaration => ({
	id, queue: 'queue-1', workspace: undefined, payload: '', repetitions: 0, firstDueAt: 0, intervalMilliseconds: 0, submittedAt: 0,
	steps: [{
		taskCount, resources: {cpuMillis: 100, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: 500, after: [], checkpointing: false,
		gang: false, sameRack: false, requiredLabel: undefined, preferredRack: undefined, maximumPerWorker: 0, speculative: false, longRunning: false,
		image: '', targetMilliseconds: 0, fills: false, maximumAway: undefined,
	}],
});

/** Creates a scheduler with one queue and one reconciled worker without runs. */
export const createSchedulerWithWorker = (epoch: number) => {
	const scheduler: Scheduler = createScheduler({epoch, emit: () => undefined});
	scheduler.setPolicies({
		queues: new Map([['queue-1', {
			name: 'queue-1', pool: 'pool-1', priority: 0, maximumAttempts: 2, stretch: 2, objectiveMilliseconds: 600, advice: undefined,
		}]]),
		pools: new Map(), workspaces: new Map(),
	});
	const worker = scheduler.registerWorker({
		registration: createRegistration(), isRegistered: true, isReconciled: true, latestLeaseExpiry: 1_000_000,
	});
	scheduler.applyRunReport({
		worker, sentAt: 0, now: 0, report: {
			incarnation: 1, running: [], ended: [], hasMoreEnded: false,
		},
	});
	return {scheduler, worker};
};
