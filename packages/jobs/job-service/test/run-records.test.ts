/** Guards against tasks that run twice because the next owner does not know of a start, and against takeovers that slow down because segments are never deleted. */
import type {RunRow} from '@turmericbay/scheduler';
import {EndReason} from '@turmericbay/scheduler';
import type {StoreOperation} from '@turmericbay/types';
import test from 'ava';
import {createRunRecords} from '../src/run-records.js';
import {
	createDeclaration, createRegistration, createSchedulerWithWorker, settle,
} from './support/builders.js';

const createFixture = () => {
	let now = 0;
	const store = new Map<string, string>();
	const transactions: StoreOperation[][] = [];
	/** For each time that changes of jobs were queued, the number of transactions before. */
	const persistedBefore: number[] = [];
	const {scheduler, worker} = createSchedulerWithWorker(2);
	const reportEnded = (ended: readonly string[]) => {
		scheduler.applyRunReport({
			worker, sentAt: now, now, report: {
				incarnation: 1, hasMoreEnded: false, running: [], ended: ended.map((task, index) => ({
					sequence: worker.lastAppliedSequence + index + 1, task, run: 1001, reason: EndReason.Done, checkpoint: '',
				})),
			},
		});
	};

	const records = createRunRecords({
		epoch: 2, now: () => now, onUnreadable: () => undefined,
		async persistChanges() {
			persistedBefore.push(transactions.length);
		},
		commitQueue: {
			async commit(operations) {
				transactions.push([...operations]);
				for (const operation of operations) {
					if (operation.type === 'put') {
						store.set(operation.key, operation.value);
					} else if (operation.type === 'delete') {
						store.delete(operation.key);
					}
				}
			},
			flush: async () => undefined, end: () => 0,
		},
	});
	return {
		scheduler, worker, store, transactions, persistedBefore, records, reportEnded,
		planStarts(id: string, taskCount: number): RunRow[] {
			scheduler.addJob(createDeclaration(id, taskCount), {isRestored: false, now, wallNow: 0});
			return scheduler.plan({now, wallNow: 0, mayStart: true}).flatMap(order => order.type === 'start' ? [order.row] : []);
		},
		advance(milliseconds: number) {
			now += milliseconds;
			records.tick();
		},
	};
};

test('all starts of a tick share one write, and each waits for it', async t => {
	const {planStarts, records, transactions, store} = createFixture();
	await Promise.all(planStarts('job', 3).map(async row => records.record(row)));
	t.is(transactions.length, 1);
	t.deepEqual([...store.values()].map(value => JSON.parse(value) as unknown), [[{
		worker: {
			id: 'w1', address: '10.0.0.1:80', pool: 'pool-1', bornAt: 1,
		}, runs: [['job.0.0.0', 1001], ['job.0.0.1', 1001], ['job.0.0.2', 1001]],
	}]]);
});

test('a segment is deleted once all its runs have ended, not before', async t => {
	const {planStarts, records, store, reportEnded, advance} = createFixture();
	await Promise.all(planStarts('job', 2).map(async row => records.record(row)));
	reportEnded(['job.0.0.0']);
	advance(1000);
	t.is(store.size, 1);
	reportEnded(['job.0.0.1']);
	advance(1000);
	t.is(store.size, 0);
});

test('old segments of long runs are merged into a new one, which is written before they are deleted', async t => {
	const {planStarts, records, store, transactions, advance} = createFixture();
	for (const id of ['first', 'second', 'third']) {
		// eslint-disable-next-line no-await-in-loop -- One segment at a time.
		await Promise.all(planStarts(id, 2).map(async row => records.record(row)));
	}

	t.is(store.size, 3);
	advance(5000);
	await settle();
	t.is(store.size, 1);
	t.is(transactions.at(-1)![0]!.type, 'put');
	const [value = ''] = store.values();
	t.true(['first.0.0.0', 'second.0.0.1', 'third.0.0.0'].every(task => value.includes(task)));
	advance(5000);
	t.is(transactions.length, 4);
});

test('a segment of a previous owner stays until the leases of its runs have expired', t => {
	const {scheduler, records, store, advance} = createFixture();
	const unreachable = scheduler.registerWorker({
		registration: createRegistration({id: 'unreachable', incarnation: 5, address: '10.0.0.2:80'}), isRegistered: true, isReconciled: false, latestLeaseExpiry: 3000,
	});
	scheduler.addJob(createDeclaration('old', 1), {isRestored: true, now: 0, wallNow: 0});
	store.set('turmericbay/runs/1-1', 'x');
	const row = scheduler.restoreRun({
		worker: unreachable, task: 'old.0.0.0', run: 3, now: 0,
	});
	records.adoptSegment('turmericbay/runs/1-1', [row!]);
	advance(1000);
	t.is(store.size, 1);
	scheduler.plan({now: 3000, wallNow: 0, mayStart: false});
	advance(2500);
	t.is(store.size, 0);
});

// Guards against tasks that run again after a change of the owner: the next owner found neither their run nor their end.
test('the ends of runs are queued for the store before their segment is deleted', async t => {
	const {planStarts, records, transactions, persistedBefore, reportEnded, advance} = createFixture();
	await Promise.all(planStarts('job', 1).map(async row => records.record(row)));
	reportEnded(['job.0.0.0']);
	advance(600);
	await settle();
	t.is(transactions.findIndex(operations => operations[0]?.type === 'delete'), 1);
	t.deepEqual(persistedBefore, [1]);
});
