/** Guards against loads under which an evacuation breaks a rule: the load is long-running, checkpointing, ordinary and gang steps over three zones that are evacuated in turn. */
import fc from 'fast-check';
import test from 'ava';
import type {RunRow, Scheduler, StepDeclaration} from '../src/index.js';
import {EndReason, RunPhase} from '../src/index.js';
import {
	addJob, addWorker, createRegistration, createStep, createTestScheduler, endRun, reportProgress,
} from './support/builders.js';

const zones = ['north', 'south', 'east'] as const;
const tickMilliseconds = 50;
const rounds = 24;

const stepArbitrary = fc.record({
	kind: fc.constantFrom('service', 'checkpointing', 'plain', 'gang'), taskCount: fc.integer({min: 1, max: 6}), maximumAway: fc.integer({min: 0, max: 2}),
	maximumPerWorker: fc.integer({min: 0, max: 2}), cpuMillis: fc.constantFrom(500, 1000, 2000), estimateMilliseconds: fc.constantFrom(500, 5000),
});

type GeneratedStep = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const toStep = ({kind, maximumAway, cpuMillis, taskCount, maximumPerWorker, estimateMilliseconds}: GeneratedStep): StepDeclaration => createStep({
	taskCount, maximumPerWorker, estimateMilliseconds, resources: {cpuMillis, memoryMegabytes: 1, accelerators: 0},
	...(kind === 'service' && {longRunning: true, maximumAway}), ...(kind === 'gang' && {gang: true}), checkpointing: kind !== 'plain',
});

/** Tasks of long-running steps that an order has taken away: the run is being moved, or was and none has started since. */
const countAway = (scheduler: Scheduler, moved: ReadonlySet<string>): Array<{readonly away: number; readonly maximum: number}> => [...scheduler.jobs.values()]
	.flatMap(job => [...job.occurrences.values()].flat())
	.filter(step => step.declaration.longRunning)
	.map(step => ({
		away: step.tasks.filter(task => moved.has(task.name) && ![...task.runs.values()].some(row => row.phase === RunPhase.Running && !row.isEvacuating)).length,
		maximum: step.declaration.maximumAway ?? 0,
	}));

const areGangsWhole = (stopping: readonly RunRow[]): boolean => stopping
	.filter(({task}) => task.step.declaration.gang)
	.every(({task}) => task.step.tasks.flatMap(member => [...member.runs.values()]).every(row => row.isEvacuating));

/** One tick after which all stopped runs end at once. Returns false if a rule is broken. */
const runTick = (options: {readonly scheduler: Scheduler; readonly moved: Set<string>; readonly evacuated: ReadonlySet<string>; readonly now: number}): boolean => {
	const {scheduler, moved, evacuated, now} = options;
	scheduler.setEvacuatedZones(evacuated, now);
	for (const order of scheduler.plan({now, wallNow: now, mayStart: true})) {
		if (order.type === 'start') {
			if (evacuated.has(order.row.worker.registration.zone)) {
				return false;
			}

			scheduler.recordStartOutcome(order.row, {type: 'started'}, now);
		} else if (order.type === 'stop' && order.row) {
			moved.add(order.task);
		}
	}

	const stopping = [...scheduler.workers.values()].flatMap(worker => [...worker.runs.values()]).filter(row => row.isEvacuating);
	if (!areGangsWhole(stopping) || countAway(scheduler, moved).some(({away, maximum}) => away > maximum)) {
		return false;
	}

	for (const row of stopping) {
		scheduler.recordStopOutcome(row, true, now);
		endRun(scheduler, row.worker, {
			task: row.task.name, run: row.run, reason: EndReason.Stopped, now: now + 1,
		});
	}

	reportProgress(scheduler, now + 2);
	return true;
};

test('no run starts in an evacuated zone, no service misses too many tasks, and no gang is torn apart', t => {
	let movedTasks = 0;
	fc.assert(fc.property(
		fc.array(stepArbitrary, {minLength: 1, maxLength: 6}),
		fc.array(fc.constantFrom(...zones), {minLength: 2, maxLength: 6}),
		fc.array(fc.subarray([...zones]), {minLength: 1, maxLength: 4}),
		(steps, workerZones, laterEvacuations) => {
			// The first runs start before any evacuation.
			const evacuations = [[], ...laterEvacuations];
			const scheduler = createTestScheduler();
			for (const [index, zone] of workerZones.entries()) {
				addWorker(scheduler, createRegistration(`w${index}`, {zone}));
			}

			for (const [index, step] of steps.entries()) {
				addJob(scheduler, `j${index}`, [toStep(step)]);
			}

			const moved = new Set<string>();
			for (let round = 0; round < rounds; round += 1) {
				const evacuated = new Set<string>(evacuations[Math.floor(round * evacuations.length / rounds)]);
				if (!runTick({
					scheduler, moved, evacuated, now: (round + 1) * tickMilliseconds,
				})) {
					return false;
				}
			}

			movedTasks += moved.size;
			return true;
		},
	), {seed: 8551, numRuns: 300});
	t.true(movedTasks > 100, 'the generated loads move tasks');
});
