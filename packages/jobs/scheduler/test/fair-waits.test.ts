import test from 'ava';
import fc from 'fast-check';
import {EndReason} from '../src/index.js';
import {
	addJob, addWorker, createRegistration, createStep, createTestScheduler, endRun, startAll,
} from './support/builders.js';

const tickMilliseconds = 10;
const capacity = 8;

// Guards against starvation: a workspace within its share waits behind the backlog of another one.
test('a workspace within its share waits no longer than the longest run for its next start, for generated run times', t => {
	fc.assert(fc.property(fc.array(fc.integer({min: 2, max: 20}), {minLength: 20, maxLength: 60}), fc.array(fc.integer({min: 0, max: 60}), {minLength: 1, maxLength: 5}), (ticksPerRun, arrivals) => {
		const scheduler = createTestScheduler();
		for (const id of ['w1', 'w2']) {
			addWorker(scheduler, createRegistration(id));
		}

		for (let index = 0; index < 30; index += 1) {
			addJob(scheduler, `large-${index}`, [createStep({taskCount: capacity})], {workspace: 'large'});
		}

		const longestRun = Math.max(...ticksPerRun) * tickMilliseconds;
		const acceptedAt = new Map<string, number>();
		let started = 0;
		for (let tick = 0; tick < 100; tick += 1) {
			const now = tick * tickMilliseconds;
			for (const worker of scheduler.workers.values()) {
				worker.lastContactAt = now;
				for (const {task, run, startedAt} of worker.runs.values()) {
					if (now - startedAt >= ticksPerRun[(task.index + run) % ticksPerRun.length]! * tickMilliseconds) {
						endRun(scheduler, worker, {
							task: task.name, run, reason: EndReason.Done, now,
						});
					}
				}
			}

			for (const [index] of arrivals.entries()) {
				if (arrivals[index] === tick) {
					// At most 5 jobs of one task each; the share is 4.
					addJob(scheduler, `small-${index}`, [createStep()], {workspace: 'small'}, now);
					acceptedAt.set(`small-${index}`, now);
				}
			}

			for (const [task] of startAll(scheduler, now)) {
				const wait = now - (acceptedAt.get(task.split('.', 1)[0]!) ?? now);
				started += task.startsWith('small') ? 1 : 0;
				t.true(wait <= (acceptedAt.size > 4 ? 2 : 1) * longestRun, `${task} ${wait} ${longestRun}`);
			}
		}

		t.is(started, acceptedAt.size);
	}), {seed: 572, numRuns: 60});
});
