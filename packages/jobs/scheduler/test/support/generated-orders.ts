/** Runs generated loads in virtual time and returns the orders. */
import fc from 'fast-check';
import type {Scheduler, StepDeclaration} from '../../src/index.js';
import {EndReason} from '../../src/index.js';
import {
	addJob, addWorker, createRegistration, createStep, endRun, respond,
} from './builders.js';

const totalMilliseconds = 6000;

export type GeneratedLoad = {
	readonly workers: ReadonlyArray<{readonly rack: number; readonly cores: number; readonly speed: number}>;
	readonly jobs: ReadonlyArray<{readonly at: number; readonly tasks: number; readonly rack: number | undefined; readonly kind: 'single' | 'gang' | 'rack-gang' | 'long-running'; readonly milliseconds: number}>;
};

export const generatedLoad: fc.Arbitrary<GeneratedLoad> = fc.record({
	workers: fc.array(fc.record({rack: fc.integer({min: 1, max: 3}), cores: fc.integer({min: 1, max: 4}), speed: fc.constantFrom(0.3, 0.7, 1, 1, 1, 1.1)}), {minLength: 1, maxLength: 6}),
	jobs: fc.array(fc.record({
		at: fc.integer({min: 0, max: 40}), tasks: fc.integer({min: 1, max: 6}), rack: fc.option(fc.integer({min: 1, max: 3}), {nil: undefined}),
		kind: fc.constantFrom('single', 'single', 'single', 'gang', 'rack-gang', 'long-running'), milliseconds: fc.integer({min: 100, max: 1500}),
	}), {maxLength: 12}),
});

export type GeneratedOrder = {readonly at: number; readonly task: string; readonly worker: string};

const createGeneratedStep = ({tasks, rack, kind, milliseconds}: GeneratedLoad['jobs'][number]): StepDeclaration => createStep({
	taskCount: tasks, preferredRack: rack === undefined ? undefined : `r1-${rack}`, gang: kind === 'gang' || kind === 'rack-gang', sameRack: kind === 'rack-gang',
	longRunning: kind === 'long-running', estimateMilliseconds: milliseconds,
});

/** Starts succeed at once, and runs end after their declared time; `afterTick` is called after each tick. */
export const runGeneratedLoad = (scheduler: Scheduler, load: GeneratedLoad, afterTick?: (now: number) => void, tickMilliseconds = 50): GeneratedOrder[] => {
	const orders: GeneratedOrder[] = [];
	for (const [index, {rack, cores, speed}] of load.workers.entries()) {
		const worker = addWorker(scheduler, createRegistration(`w${index}`, {labels: ['a', `r1-${rack}`], capacity: {cpuMillis: cores * 1000, memoryMegabytes: 10_000, accelerators: 0}}));
		worker.speed = speed;
	}

	for (let tick = 0; tick < totalMilliseconds / tickMilliseconds; tick += 1) {
		const now = tick * tickMilliseconds;
		for (const [index, job] of load.jobs.entries()) {
			if (job.at === tick) {
				addJob(scheduler, `j${index}`, [createGeneratedStep(job)], {}, now);
			}
		}

		for (const worker of scheduler.workers.values()) {
			for (const row of worker.runs.values()) {
				const {longRunning, estimateMilliseconds} = row.task.step.declaration;
				if (!longRunning && now >= row.startedAt + estimateMilliseconds) {
					endRun(scheduler, worker, {
						task: row.task.name, run: row.run, reason: EndReason.Done, now,
					});
				}
			}

			respond(scheduler, worker, now);
		}

		for (const order of scheduler.plan({now, wallNow: now, mayStart: true})) {
			if (order.type === 'start') {
				scheduler.recordStartOutcome(order.row, {type: 'started'}, now);
				orders.push({at: now, task: order.row.task.name, worker: order.row.worker.registration.id});
			}
		}

		afterTick?.(now);
	}

	return orders;
};
