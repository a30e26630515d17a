/** Sums up what the jobs of a pool could start now, and tells whether all of it fits into the free capacity of the pool. */
import {isActive, isStepReady} from './jobs.js';
import type {
	JobRow, QueuePolicy, Resources, StepRow, WorkerRow,
} from './model.js';
import {addResources, noResources} from './pool-usage.js';
import {getReservedResources} from './workers.js';

export type ReadyJob = {
	readonly job: JobRow;
	readonly queue: QueuePolicy;
	/** Steps with tasks that could start. */
	readonly steps: readonly StepRow[];
	/** Sum over the tasks that could start. */
	readonly required: Resources;
	/** Some of its tasks may get a second run. */
	readonly isSpeculative: boolean;
};

/** Resources that one task of the step reserves. */
export const getTaskRequirement = (step: StepRow): Resources => getReservedResources(step.tasks[0]!);

/** Undefined if nothing of the job could start. */
const measureReadyJob = (job: JobRow, queue: QueuePolicy): ReadyJob | undefined => {
	const steps: StepRow[] = [];
	let required = noResources;
	let isSpeculative = false;
	for (const occurrence of job.occurrences.values()) {
		for (const step of occurrence) {
			isSpeculative ||= step.declaration.speculative && step.remaining > 0 && !queue.advice;
			if (step.waiting > 0 && isStepReady(step)) {
				steps.push(step);
				required = addResources(required, getTaskRequirement(step), step.waiting);
			}
		}
	}

	return steps.length > 0 || isSpeculative
		? {
			job, queue, steps, required, isSpeculative,
		}
		: undefined;
};

/** Jobs with tasks that could start, by pool. */
export const groupReadyJobs = (jobs: Iterable<JobRow>, queues: ReadonlyMap<string, QueuePolicy>): Map<string, ReadyJob[]> => {
	const byPool = new Map<string, ReadyJob[]>();
	for (const job of jobs) {
		const queue = queues.get(job.declaration.queue);
		const entry = queue && isActive(job) ? measureReadyJob(job, queue) : undefined;
		if (entry) {
			const list = byPool.get(entry.queue.pool);
			if (list) {
				list.push(entry);
			} else {
				byPool.set(entry.queue.pool, [entry]);
			}
		}
	}

	return byPool;
};

const minimumRequirement = (jobs: readonly ReadyJob[]): Resources => {
	let cpuMillis = Number.POSITIVE_INFINITY;
	let memoryMegabytes = Number.POSITIVE_INFINITY;
	let accelerators = Number.POSITIVE_INFINITY;
	for (const {steps} of jobs) {
		for (const step of steps) {
			const required = getTaskRequirement(step);
			cpuMillis = Math.min(cpuMillis, required.cpuMillis);
			memoryMegabytes = Math.min(memoryMegabytes, required.memoryMegabytes);
			accelerators = Math.min(accelerators, required.accelerators);
		}
	}

	return {cpuMillis, memoryMegabytes, accelerators};
};

/** Rounds down to whole tasks, since the rest of a worker serves none. */
const roundDown = (free: number, unit: number): number => unit > 0 ? Math.floor(Math.max(0, free) / unit) * unit : Math.max(0, free);

/** Free capacity of the workers, of each worker only as much as tasks of the smallest requirement can use. */
const sumUsableCapacity = (workers: readonly WorkerRow[], unit: Resources): Resources => {
	let cpuMillis = 0;
	let memoryMegabytes = 0;
	let accelerators = 0;
	for (const {registration: {capacity}, used} of workers) {
		const cpu = roundDown(capacity.cpuMillis - used.cpuMillis, unit.cpuMillis);
		const memory = roundDown(capacity.memoryMegabytes - used.memoryMegabytes, unit.memoryMegabytes);
		const devices = roundDown(capacity.accelerators - used.accelerators, unit.accelerators);
		if (cpu >= unit.cpuMillis && memory >= unit.memoryMegabytes && devices >= unit.accelerators) {
			cpuMillis += cpu;
			memoryMegabytes += memory;
			accelerators += devices;
		}
	}

	return {cpuMillis, memoryMegabytes, accelerators};
};

/** True if the tasks that could start need more than the workers have free. `required` is their sum, without what exceeds the maximum of a workspace. */
export const exceedsFreeCapacity = (options: {readonly jobs: readonly ReadyJob[]; readonly required: Resources; readonly workers: readonly WorkerRow[]}): boolean => {
	const {jobs, required, workers} = options;
	const free = sumUsableCapacity(workers, minimumRequirement(jobs));
	return required.cpuMillis > free.cpuMillis || required.memoryMegabytes > free.memoryMegabytes || required.accelerators > free.accelerators;
};
