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
	/** Some of its tasks may get a second run. */
	readonly isSpeculative: boolean;
};

/** Resources that one task of the step reserves. */
export const getTaskRequirement = (step: StepRow): Resources => getReservedResources(step.tasks[0]!);

/** Undefined if nothing of the job could start. */
const measureReadyJob = (job: JobRow, queue: QueuePolicy, includesSpeculative: boolean): ReadyJob | undefined => {
	let steps: StepRow[] | undefined;
	let isSpeculative = false;
	for (const occurrence of job.occurrences.values()) {
		for (const step of occurrence) {
			isSpeculative ||= includesSpeculative && step.declaration.speculative && step.remaining > 0 && !queue.advice;
			if (step.waiting > 0 && isStepReady(step)) {
				steps ??= [];
				steps.push(step);
			}
		}
	}

	return steps === undefined && !isSpeculative
		? undefined
		: {
			job, queue, steps: steps ?? [], isSpeculative,
		};
};

const isAtMost = (left: Resources, right: Resources): boolean =>
	left.cpuMillis <= right.cpuMillis && left.memoryMegabytes <= right.memoryMegabytes && left.accelerators <= right.accelerators;

/** Sum over the tasks of the job that could start, without those that are larger than `largest`. */
export const sumRequired = ({steps}: ReadyJob, largest: Resources): Resources => {
	let required = noResources;
	for (const step of steps) {
		const requirement = getTaskRequirement(step);
		required = isAtMost(requirement, largest) ? addResources(required, requirement, step.waiting) : required;
	}

	return required;
};

/** Of each resource the most that any worker has. A larger task fits on no worker, however few runs there are, and says nothing about free capacity. */
export const findLargestCapacity = (workers: readonly WorkerRow[]): Resources => {
	let {cpuMillis, memoryMegabytes, accelerators} = noResources;
	for (const {registration: {capacity}} of workers) {
		cpuMillis = Math.max(cpuMillis, capacity.cpuMillis);
		memoryMegabytes = Math.max(memoryMegabytes, capacity.memoryMegabytes);
		accelerators = Math.max(accelerators, capacity.accelerators);
	}

	return {cpuMillis, memoryMegabytes, accelerators};
};

/** Jobs with tasks that could start, by pool; with `includesSpeculative` also those with tasks that may get a second run. */
export const groupReadyJobs = (jobs: Iterable<JobRow>, queues: ReadonlyMap<string, QueuePolicy>, includesSpeculative: boolean): Map<string, ReadyJob[]> => {
	const byPool = new Map<string, ReadyJob[]>();
	for (const job of jobs) {
		const queue = queues.get(job.declaration.queue);
		const entry = queue && isActive(job) ? measureReadyJob(job, queue, includesSpeculative) : undefined;
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

/** Of each resource the least that any task needs which could start or get a second run; Infinity if there is none. */
export const findMinimumRequirement = (jobs: readonly ReadyJob[], largest: Resources): Resources => {
	let cpuMillis = Number.POSITIVE_INFINITY;
	let memoryMegabytes = Number.POSITIVE_INFINITY;
	let accelerators = Number.POSITIVE_INFINITY;
	for (const {job, steps, isSpeculative} of jobs) {
		for (const step of isSpeculative ? [...job.occurrences.values()].flat() : steps) {
			const required = getTaskRequirement(step);
			if (isAtMost(required, largest)) {
				cpuMillis = Math.min(cpuMillis, required.cpuMillis);
				memoryMegabytes = Math.min(memoryMegabytes, required.memoryMegabytes);
				accelerators = Math.min(accelerators, required.accelerators);
			}
		}
	}

	return {cpuMillis, memoryMegabytes, accelerators};
};

/** Rounds down to whole tasks, since the rest of a worker serves none. */
const roundDown = (free: number, unit: number): number => unit > 0 ? Math.floor(Math.max(0, free) / unit) * unit : Math.max(0, free);

/** Free capacity of the workers, of each worker only as much as tasks of the smallest requirement `unit` can use; undefined if no worker has capacity for any task. */
export const sumUsableCapacity = (workers: readonly WorkerRow[], unit: Resources): Resources | undefined => {
	let cpuMillis = 0;
	let memoryMegabytes = 0;
	let accelerators = 0;
	let hasCapacity = false;
	for (const {registration: {capacity}, used} of workers) {
		const cpu = roundDown(capacity.cpuMillis - used.cpuMillis, unit.cpuMillis);
		const memory = roundDown(capacity.memoryMegabytes - used.memoryMegabytes, unit.memoryMegabytes);
		const devices = roundDown(capacity.accelerators - used.accelerators, unit.accelerators);
		if (cpu >= unit.cpuMillis && memory >= unit.memoryMegabytes && devices >= unit.accelerators) {
			hasCapacity = true;
			cpuMillis += cpu;
			memoryMegabytes += memory;
			accelerators += devices;
		}
	}

	return hasCapacity ? {cpuMillis, memoryMegabytes, accelerators} : undefined;
};
