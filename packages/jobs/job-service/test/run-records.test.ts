/** A start that the next owner does not know of may run twice; a record that is never removed makes takeovers slower and slower. */
import type {RunRow} from '@turmericbay/scheduler';
import {EndReason} from '@turmericbay/scheduler';
import type {StoreOperation} from '@turmericbay/types';
import test from 'ava';
import {createRunRecords} from '../src/run-records.js';
import {
	createDeclaration, createReport, createSchedulerWithWorker, settle,
} from './support/builders.js';

const createCase = () => {
	let now = 0;
	const store = new Map<string, string>();
	const transactions: StoreOperation[][] = [];
	const {scheduler, worker} = createSchedulerWithWorker(2);
	const lists = (ended: readonly string[]) => {
		scheduler.applyRunReport({
			worker, sentAt: now, now, report: {
				incarnation: 1, partial: false, running: [], ended: ended.map((task, index) => ({
					sequence: worker.lastAppliedSequence + index + 1, task, run: 1001, reason: EndReason.Done, checkpoint: '',
				})),
			},
		});
	};

	const records = createRunRecords({
		epoch: 2, now: () => now, onUnreadable: () => undefined,
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
			flush: async () => undefined, end: () => undefined,
		},
	});
	return {
		scheduler, worker, store, transactions, records, lists,
		place(id: string, taskCount: number): RunRow[] {
			scheduler.addJob(createDeclaration(id, taskCount), {restored: false, now, wallNow: 0});
			return scheduler.plan({now, wallNow: 0, mayStart: true}).flatMap(order => order.type === 'start' ? [order.row] : []);
		},
		pass(milliseconds: number) {
			now += milliseconds;
			records.tick();
		},
	};
};

test('all starts of a tick share one write, and each waits for it', async t => {
	const {place, records, transactions, store} = createCase();
	await Promise.all(place('job', 3).map(async row => records.record(row)));
	t.is(transactions.length, 1);
	t.deepEqual([...store.values()].map(value => JSON.parse(value) as unknown), [[{
		worker: {
			id: 'w1', address: '10.0.0.1:80', pool: 'pickups', bornAt: 1,
		}, runs: [['job.0.0.0', 1001], ['job.0.0.1', 1001], ['job.0.0.2', 1001]],
	}]]);
});

test('a segment is removed once all its runs have ended, not before', async t => {
	const {place, records, store, lists, pass} = createCase();
	await Promise.all(place('job', 2).map(async row => records.record(row)));
	lists(['job.0.0.0']);
	pass(1000);
	t.is(store.size, 1);
	lists(['job.0.0.1']);
	pass(1000);
	t.is(store.size, 0);
});

test('long runs are recorded anew before their old segments are removed', async t => {
	const {place, records, store, transactions, pass} = createCase();
	for (const id of ['first', 'second', 'third']) {
		// eslint-disable-next-line no-await-in-loop -- One segment after the other.
		await Promise.all(place(id, 2).map(async row => records.record(row)));
	}

	t.is(store.size, 3);
	pass(5000);
	await settle();
	t.is(store.size, 1);
	t.is(transactions.at(-1)![0]!.type, 'put');
	const [value = ''] = store.values();
	t.true(['first.0.0.0', 'second.0.0.1', 'third.0.0.0'].every(task => value.includes(task)));
	pass(5000);
	t.is(transactions.length, 4);
});

test('a segment of a former owner stays until its runs are settled', t => {
	const {scheduler, records, store, pass} = createCase();
	const silent = scheduler.registerWorker({
		registration: createReport({id: 'silent', incarnation: 5, address: '10.0.0.2:80'}), isRegistered: true, isReconciled: false, latestLeaseExpiry: 3000,
	});
	scheduler.addJob(createDeclaration('old', 1), {restored: true, now: 0, wallNow: 0});
	store.set('turmericbay/runs/1-1', 'x');
	const row = scheduler.restoreRun({
		worker: silent, task: 'old.0.0.0', run: 3, now: 0,
	});
	records.adoptSegment('turmericbay/runs/1-1', [row!]);
	pass(1000);
	t.is(store.size, 1);
	scheduler.plan({now: 3000, wallNow: 0, mayStart: false});
	pass(2500);
	t.is(store.size, 0);
});
