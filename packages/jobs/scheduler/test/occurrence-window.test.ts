import test from 'ava';
import type {JobDeclaration, Scheduler} from '../src/index.js';
import {captureProgress, EndReason, JobState} from '../src/index.js';
import {
	addWorker, createJob, createRegistration, createStep, createTestScheduler, startAll,
} from './support/builders.js';

const hourMilliseconds = 3_600_000;
const workerCpuMillis = 20_000;
/** The platform's store takes values of up to this size. */
const maximumValueBytes = 1_048_576;

const countRows = (scheduler: Scheduler, id: string): number =>
	[...scheduler.jobs.get(id)?.occurrences.values() ?? []].flat().reduce((rows, {tasks}) => rows + 1 + tasks.length, 0);

/** Adds a worker with capacity for 200 of the tasks, whose lease does not expire. */
const addLargeWorker = (scheduler: Scheduler, now: number) => {
	const worker = addWorker(scheduler, createRegistration('w1', {capacity: {cpuMillis: workerCpuMillis, memoryMegabytes: 10_000, accelerators: 0}}), now);
	worker.latestLeaseExpiry = Number.POSITIVE_INFINITY;
	return worker;
};

const addOverdueJob = (scheduler: Scheduler, declaration: JobDeclaration, now: number): void => {
	scheduler.addJob(declaration, {isRestored: false, now, wallNow: now});
};

/** All running tasks of the workers end, on each worker in one report. */
const endAll = (scheduler: Scheduler, now: number): void => {
	for (const worker of scheduler.workers.values()) {
		const ended = [...worker.runs.values()].map(({task, run}, index) => ({
			sequence: worker.lastAppliedSequence + index + 1, task: task.name, run, reason: EndReason.Done, checkpoint: '',
		}));
		scheduler.applyRunReport({
			worker, sentAt: now, now, report: {
				incarnation: worker.incarnation, running: [], ended, hasMoreEnded: false,
			},
		});
	}
};

type Backlog = {readonly repetitions: number; readonly intervalMilliseconds: number; readonly overdueMilliseconds: number; readonly tasksByStep: readonly number[]};

const backlogs: readonly Backlog[] = [
	{
		repetitions: 2 * 86_400, intervalMilliseconds: 1000, overdueMilliseconds: 24 * hourMilliseconds, tasksByStep: [1],
	},
	{
		repetitions: 86_400, intervalMilliseconds: 1000, overdueMilliseconds: 12 * hourMilliseconds, tasksByStep: [1],
	},
	{
		repetitions: 3_000_000_000, intervalMilliseconds: 1, overdueMilliseconds: 20_000 * 24 * hourMilliseconds, tasksByStep: [3, 2],
	},
	{
		repetitions: 1_000_000, intervalMilliseconds: 0, overdueMilliseconds: 0, tasksByStep: [700, 1],
	},
	{
		repetitions: 1000, intervalMilliseconds: 60_000, overdueMilliseconds: 2000 * 60_000, tasksByStep: [4000],
	},
];

const createBacklogJob = ({repetitions, intervalMilliseconds, overdueMilliseconds, tasksByStep}: Backlog, wallNow: number): JobDeclaration => createJob('backlog', tasksByStep.map((taskCount, index) => createStep({
	taskCount, resources: {cpuMillis: 100, memoryMegabytes: 1, accelerators: 0}, after: index === 0 ? [] : [index - 1],
})), {repetitions, intervalMilliseconds, firstDueAt: wallNow - overdueMilliseconds});

// Guards against a recurring job whose first time lies far back: all its due occurrences were opened at once, the owner ran out of memory, and so did each one after it.
for (const backlog of backlogs) {
	const {repetitions, overdueMilliseconds, tasksByStep} = backlog;
	test(`a job of ${repetitions} occurrences, ${overdueMilliseconds / hourMilliseconds} h overdue, with steps of ${tasksByStep.join(' and ')} tasks stays small`, t => {
		const scheduler = createTestScheduler();
		const startedAt = 1_790_000_000_000;
		addLargeWorker(scheduler, startedAt);
		addOverdueJob(scheduler, createBacklogJob(backlog, startedAt), startedAt);
		let started = 0;
		for (let tick = 1; tick <= 20; tick += 1) {
			const now = startedAt + (tick * 50);
			const starts = startAll(scheduler, now).length;
			started += starts;
			t.true(starts > 0);
			t.true(countRows(scheduler, 'backlog') <= 4096);
			t.true(JSON.stringify(captureProgress(scheduler.jobs.get('backlog')!)).length < maximumValueBytes);
			endAll(scheduler, now);
		}

		t.true(started >= 600);
	});
}

// Guards against a backlog that is cut short, runs an occurrence twice, or begins anew with the next owner.
test('each occurrence of a backlog runs once, although the owner changes', t => {
	const declaration = createBacklogJob({
		repetitions: 3000, intervalMilliseconds: 1000, overdueMilliseconds: 2 * hourMilliseconds, tasksByStep: [2, 1],
	}, 2 * hourMilliseconds);
	let scheduler = createTestScheduler();
	const started = new Map<string, number>();
	let now = 2 * hourMilliseconds;
	let epoch = 1;
	addLargeWorker(scheduler, now);
	addOverdueJob(scheduler, declaration, now);
	while (scheduler.jobs.get('backlog')!.state !== JobState.Completed) {
		now += 50;
		for (const [task] of startAll(scheduler, now)) {
			started.set(task, (started.get(task) ?? 0) + 1);
		}

		endAll(scheduler, now);
		if (epoch < 4 && started.size > epoch * 2000) {
			epoch += 1;
			const progress = captureProgress(scheduler.jobs.get('backlog')!);
			scheduler = createTestScheduler(undefined, epoch);
			addLargeWorker(scheduler, now);
			scheduler.addJob(declaration, {
				progress, isRestored: true, now, wallNow: now,
			});
		}
	}

	t.is(epoch, 4);
	t.is(started.size, 3000 * 3);
	t.deepEqual([...started].filter(([, count]) => count !== 1), []);
});

// Guards against other jobs that wait until a backlog is worked off.
test('a job that can meet its objective starts before the rest of a backlog', t => {
	const scheduler = createTestScheduler();
	const startedAt = 2 * hourMilliseconds;
	const worker = addLargeWorker(scheduler, startedAt);
	addOverdueJob(scheduler, createBacklogJob(backlogs[0]!, startedAt), startedAt);
	for (let tick = 1; tick <= 10; tick += 1) {
		startAll(scheduler, startedAt + (tick * 50));
	}

	t.is(worker.runs.size, 200);
	addOverdueJob(scheduler, createJob('other', [createStep({resources: {cpuMillis: 100, memoryMegabytes: 1, accelerators: 0}})], {submittedAt: startedAt + 500}), startedAt + 500);
	t.deepEqual(startAll(scheduler, startedAt + 550), []);
	const [row] = worker.runs.values();
	scheduler.applyRunReport({
		worker, sentAt: startedAt + 600, now: startedAt + 600, report: {
			incarnation: 1, hasMoreEnded: true, running: [],
			ended: [{
				sequence: 1, task: row!.task.name, run: row!.run, reason: EndReason.Done, checkpoint: '',
			}],
		},
	});
	t.deepEqual(startAll(scheduler, startedAt + 650).map(([task]) => task), ['other.0.0.0']);
});

// Guards against occurrences that are held back although their turn has come: those of a step without an end never make room.
test('occurrences with a long-running step are all open', t => {
	const scheduler = createTestScheduler();
	addLargeWorker(scheduler, 0);
	scheduler.addJob(createJob('services', [createStep({longRunning: true, resources: {cpuMillis: 100, memoryMegabytes: 1, accelerators: 0}})], {repetitions: 100, intervalMilliseconds: 1}), {isRestored: false, now: 0, wallNow: 0});
	t.is(startAll(scheduler, 500).length, 100);
});
