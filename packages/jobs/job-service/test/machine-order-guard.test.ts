import test from 'ava';
import {createMachineOrderGuard} from '../src/machine-order-guard.js';
import {machineOrderPrefix} from '../src/records.js';
import {createRevisionTimes} from '../src/revision-times.js';

const takeover = 10_000;

const createTestOrders = (options: {readonly now: () => number; readonly holder?: string; readonly revision: number}) => {
	const revisions = createRevisionTimes();
	for (const [revision, by] of [[100, 5000], [200, 6000], [300, 9800]] as const) {
		revisions.record(revision, by);
	}

	const orders = createMachineOrderGuard({
		clock: {now: options.now, wallNow: options.now}, holder: 'self', tookOverAt: takeover, reachedBy: revisions.reachedBy, mayOrder: () => true, commit: async () => undefined,
	});
	orders.restore([{key: `${machineOrderPrefix}m1`, value: options.holder ?? 'other', modifiedRevision: options.revision}]);
	return orders;
};

// Guards against two holders that order the same machine within three seconds.
test('a machine that another holder has just ordered is left alone', t => {
	let now = takeover;
	const orders = createTestOrders({now: () => now, revision: 250});
	t.false(orders.isFree('m1'));
	now = 13_300;
	t.false(orders.isFree('m1'));
	now = 13_301;
	t.true(orders.isFree('m1'));
});

// Guards against an order that was stored after the last answer that named a revision.
test('an order of which no answer has told yet counts as given at the takeover', t => {
	let now = takeover;
	const orders = createTestOrders({now: () => now, revision: 301});
	now = 13_500;
	t.false(orders.isFree('m1'));
	now = 13_501;
	t.true(orders.isFree('m1'));
});

// Pattern: the owner changes during a burst; pools short of machines must not wait for the pause.
test('a machine that no other holder has ordered lately is free at once', t => {
	const orders = createTestOrders({now: () => takeover, revision: 200});
	t.true(orders.isFree('m1'));
	t.true(orders.isFree('m2'));
});

// Pattern: the owner starts again and takes its own place; nobody takes turns with itself.
test('a machine that this holder has ordered in its former life is free at once', t => {
	t.true(createTestOrders({now: () => takeover, holder: 'self', revision: 300}).isFree('m1'));
});

// Guards against an order that is sent long after its record: the next holder would take it for older than it is.
test('an order whose record was stored slowly is not sent', async t => {
	for (const [milliseconds, isReady] of [[100, true], [400, false]] as const) {
		let now = 0;
		const orders = createMachineOrderGuard({
			clock: {now: () => now, wallNow: () => now}, holder: 'self', tookOverAt: 0, reachedBy: () => undefined, mayOrder: () => true,
			async commit() {
				now += milliseconds;
			},
		});
		// eslint-disable-next-line no-await-in-loop -- One case after the other.
		t.is(await orders.recordOrder('m1'), isReady);
	}
});
