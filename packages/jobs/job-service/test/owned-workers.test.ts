import type {StoredEntry} from '@turmericbay/types';
import test from 'ava';
import {createOwnedWorkers} from '../src/owned-workers.js';
import type {PlatformRecordCodec, WorkerClient} from '../src/ports.js';
import {runPrefix} from '../src/records.js';
import {createRunRecords} from '../src/run-records.js';
import {createDeclaration, createRegistration, createSchedulerWithWorker} from './support/builders.js';

const unused = (): never => {
	throw new Error('not used');
};

const createFixture = (taskCount = 1) => {
	const {scheduler, worker} = createSchedulerWithWorker(2);
	const clock = {now: () => 0, wallNow: () => 0};
	const recordCodec: PlatformRecordCodec = {
		configurationKey: '', workerPrefix: 'workers/', wavePrefix: '', evacuationPrefix: '', decodeEvacuation: unused, decodeConfiguration: unused, decodeWave: unused, encodeWaveStatus: unused,
		decodeWorker: ({key, value}) => createRegistration({id: key.slice('workers/'.length), incarnation: value === '' ? undefined : Number(value)}),
	};
	const workerClient: WorkerClient = {
		start: unused, stop: unused, heartbeat: unused, throttle: unused, disconnect: () => undefined,
	};
	const ownedWorkers = createOwnedWorkers({
		scheduler, recordCodec, workerClient, clock, tookOverAt: 0, workerLeaseMilliseconds: 3500, onChange: () => undefined,
		runRecords: createRunRecords({
			commitQueue: {commit: async () => undefined, flush: async () => undefined, end: () => 0}, epoch: 2, now: clock.now, persistChanges: async () => undefined, onUnreadable: unused,
		}),
		createSession: () => ({grantLease: () => undefined, wake: () => undefined, end: () => undefined}),
		log: {
			schedulerEvent: unused, startAttempted: unused, stopAttempted: unused, workerCallFailed: unused, workerRecovered: unused, jobFinished: unused, storeCallFailed: unused,
			jobsLoaded: unused, evacuationsMeasured: unused, ownerDelayed: unused, recordUnreadable: unused, changesNotStored: unused, progressTooLarge: unused, waveProgressed: unused, moveAttempted: unused,
			dispatcherGained: unused, dispatcherLost: unused, workerCallsCounted: unused, dispatchersCounted: unused,
		},
	});
	const job = scheduler.addJob(createDeclaration('job', taskCount), {isRestored: true, now: 0, wallNow: 0});
	const {tasks} = job.occurrences.get(0)![0]!;
	return {
		scheduler, worker, ownedWorkers, task: tasks[0]!, tasks,
	};
};

const toEntry = (key: string, value: string): StoredEntry => ({key, value, modifiedRevision: 1});

// Guards against a task that crashes one worker after the other while owners change in between.
test('a recorded run of an earlier process counts as crashed, one of the current process does not', t => {
	const {ownedWorkers, task} = createFixture();
	const record = (id: string, run: number) => ({
		worker: {
			id, address: 'a:1', pool: 'pool-1', bornAt: 5,
		}, runs: [['job.0.0.0', run]],
	});
	ownedWorkers.restore([toEntry(`${runPrefix}1-1`, JSON.stringify([record('restarted', 1), record('same', 2), record('unlisted', 3)]))]);
	ownedWorkers.applyEntries([toEntry('workers/restarted', '6'), toEntry('workers/same', '5')], true);
	ownedWorkers.restoreRuns(0);
	t.deepEqual(task.crashedRuns, [1]);
	t.deepEqual([...task.runs.keys()], [2, 3]);
});

const incarnations = [undefined, 5, 6, 6] as const;
const recordOrders: ReadonlyArray<readonly number[]> = [[0, 1, 2, 3], [3, 2, 1, 0], [1, 0, 3, 2], [2, 0, 1, 3]];
const registrations: ReadonlyMap<string, string | undefined> = new Map([
	['is missing', undefined],
	['names no process', ''],
	['names an earlier process than all records', '4'],
	['names the former process', '5'],
	['names the newest process', '6'],
	['names a later process', '7'],
]);
for (const [description, registration] of registrations) {
	// Guards against tasks that run twice: runs of the newest process were left out where an earlier record named a former one, and started elsewhere.
	test(`a new owner restores all runs that may be executing, in any order of their records; the registration ${description}`, t => {
		for (const order of recordOrders) {
			const {scheduler, worker, ownedWorkers, tasks} = createFixture(incarnations.length);
			const entries = order.map(index => toEntry(`${runPrefix}1-${index}`, JSON.stringify([{
				worker: {
					id: 'restarted', address: 'a:1', pool: 'pool-1', bornAt: incarnations[index],
				}, runs: [[tasks[index]!.name, 1]],
			}])));
			ownedWorkers.restore(entries);
			ownedWorkers.applyEntries(registration === undefined ? [] : [toEntry('workers/restarted', registration)], true);
			ownedWorkers.restoreRuns(0);
			const newest = Math.max(6, Number(registration ?? 0));
			const isGone = incarnations.map(incarnation => incarnation !== undefined && incarnation < newest);
			t.deepEqual(tasks.map(task => task.runs.size), isGone.map(gone => gone ? 0 : 1));
			t.deepEqual(tasks.map(task => task.crashedRuns.length), isGone.map(gone => gone ? 1 : 0));

			// The worker does not answer, another one does.
			const leaseEnd = Math.ceil(scheduler.workers.get('restarted')!.latestLeaseExpiry);
			const countStarts = (now: number): number => {
				scheduler.applyRunReport({
					worker, sentAt: now, now, report: {
						incarnation: 1, running: [], ended: [], hasMoreEnded: false,
					},
				});
				return scheduler.plan({now, wallNow: now, mayStart: true}).filter(({type}) => type === 'start').length;
			};

			const goneCount = isGone.filter(Boolean).length;
			t.is(countStarts(leaseEnd - 1), goneCount);
			t.is(countStarts(leaseEnd), incarnations.length - goneCount);
		}
	});
}

// Guards against jobs that fail because machines are moved or maintained.
test('the end of a worker whose machine was moved or maintained is not a crash, the end of any other is', t => {
	const {scheduler, worker, ownedWorkers, task} = createFixture();
	const startTask = (now: number): void => {
		t.is(scheduler.plan({now, wallNow: now, mayStart: true}).length, 1);
		for (const row of task.runs.values()) {
			scheduler.recordStartOutcome(row, {type: 'started'}, now);
		}
	};

	startTask(1);
	ownedWorkers.retire(worker);
	t.deepEqual(task.crashedRuns, []);

	ownedWorkers.applyEntries([toEntry('workers/next', '7')], false);
	const next = scheduler.workers.get('next')!;
	next.latestLeaseExpiry = 1_000_000;
	scheduler.applyRunReport({
		worker: next, sentAt: 2, now: 2, report: {
			incarnation: 7, running: [], ended: [], hasMoreEnded: false,
		},
	});
	startTask(3);
	ownedWorkers.removeLost(next);
	t.is(task.crashedRuns.length, 1);
});

// Guards against runs that never end: a machine order for a worker that had been removed and listed again took the listed one out of the table.
test('the retirement of a worker that has been removed and listed again leaves the listed one', t => {
	const {scheduler, worker, ownedWorkers, task} = createFixture();
	ownedWorkers.removeLost(worker);
	ownedWorkers.applyEntries([toEntry('workers/w1', '2')], false);
	const listed = scheduler.workers.get('w1')!;
	listed.latestLeaseExpiry = 1_000_000;
	scheduler.applyRunReport({
		worker: listed, sentAt: 1, now: 1, report: {
			incarnation: 2, running: [], ended: [], hasMoreEnded: false,
		},
	});
	t.is(scheduler.plan({now: 2, wallNow: 2, mayStart: true}).length, 1);

	ownedWorkers.retire(worker);
	t.is(scheduler.workers.get('w1'), listed);
	t.deepEqual([...task.runs.values()].map(row => row.worker), [listed]);
	ownedWorkers.applyEntries([toEntry('workers/w1', '2')], false);
	t.is(scheduler.workers.get('w1'), listed);
});

// Guards against an ended worker that gets tasks: the platform lists it for a while longer after the order that ended it.
test('a worker that was removed while an order for its machine was in flight is not used again once the order is accepted', t => {
	const {scheduler, worker, ownedWorkers} = createFixture();
	ownedWorkers.removeLost(worker);
	ownedWorkers.retire(worker);
	ownedWorkers.applyEntries([toEntry('workers/w1', '1')], false);
	t.false(scheduler.workers.has('w1'));
});

// Guards against tasks that wait for the lease of an ended worker: its entry was read again while the order was in flight.
test('the retirement of a worker removes the same process if it has been listed again', t => {
	const {scheduler, worker, ownedWorkers} = createFixture();
	ownedWorkers.removeLost(worker);
	ownedWorkers.applyEntries([toEntry('workers/w1', '1')], false);
	ownedWorkers.retire(worker);
	t.false(scheduler.workers.has('w1'));
});
