/** A scheduler with workers that crash or are disconnected. */
import type {
	SchedulerEvent, StepDeclaration, WorkerRegistration, WorkerRow,
} from '../../src/index.js';
import {createScheduler} from '../../src/index.js';
import {
	addWorker, createJob, createPolicies, createRegistration, createStep, startAll,
} from './builders.js';

export const createCrashFixture = (epoch = 1) => {
	const events: SchedulerEvent[] = [];
	const scheduler = createScheduler({
		epoch, emit(event) {
			events.push(event);
		},
	});
	scheduler.setPolicies(createPolicies());
	let incarnation = 1;
	return {
		scheduler, events,
		addJob(id: string, overrides: Partial<StepDeclaration> = {}) {
			return scheduler.addJob(createJob(id, [createStep(overrides)]), {isRestored: false, now: 0, wallNow: 0});
		},
		/** Adds a process that started after all earlier ones. */
		addWorker(id: string, now = 0, overrides: Partial<WorkerRegistration> = {}): WorkerRow {
			incarnation += 1;
			return addWorker(scheduler, createRegistration(id, {incarnation, address: `${id}:80`, ...overrides}), now);
		},
		/** Another process answers at the worker's address. */
		crash(worker: WorkerRow): void {
			scheduler.markWorkerLost(worker);
			scheduler.workers.delete(worker.registration.id);
		},
		/** The worker does not answer until its lease has expired. */
		disconnect(worker: WorkerRow, now: number): void {
			worker.unansweredCalls = 1;
			worker.latestLeaseExpiry = now;
			scheduler.plan({now, wallNow: now, mayStart: false});
		},
	};
};

type CrashFixture = ReturnType<typeof createCrashFixture>;

/** Starts all tasks on a new worker, which crashes. The tasks of other workers cannot start there. */
export const startAndCrash = (fixture: CrashFixture, id: string, now: number): Array<readonly [string, string]> => {
	const worker = fixture.addWorker(id, now);
	const started = startAll(fixture.scheduler, now);
	fixture.crash(worker);
	return started;
};
