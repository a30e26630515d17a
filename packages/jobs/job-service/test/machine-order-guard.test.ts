import test from 'ava';
import {createMachineOrderGuard} from '../src/machine-order-guard.js';
import {machineOrderPrefix} from '../src/records.js';
import {createRevisionTimes} from '../src/revision-times.js';

const takeoverAt = 10_000;

const createTestGuard = (options: {readonly now: () => number; readonly holder?: string; readonly revision: number}) => {
	const revisionTimes = createRevisionTimes();
	for (const [revision, by] of [[100, 5000], [200, 6000], [300, 9800]] as const) {
		revisionTimes.record(revision, by);
	}

	const orderGuard = createMachineOrderGuard({
		clock: {now: options.now, wallNow: options.now}, holder: 'self', tookOverAt: takeoverAt, getReachedTime: revisionTimes.getReachedTime, mayOrder: () => true, commit: async () => undefined,
	});
	orderGuard.restore([{key: `${machineOrderPrefix}m1`, value: options.holder ?? 'other', modifiedRevision: options.revision}]);
	return orderGuard;
};

// Guards against orders of two holders for the same machine within three seconds, which the platform forbids.
test('a machine that another holder has just ordered is not free until the cooldown has passed', t => {
	let now = takeoverAt;
	const orderGuard = createTestGuard({now: () => now, revision: 250});
	t.false(orderGuard.isFree('m1'));
	now = 13_300;
	t.false(orderGuard.isFree('m1'));
	now = 13_301;
	t.true(orderGuard.isFree('m1'));
});

// Guards against an order that is taken for older than it is because no response has shown its revision yet.
test('an order at a revision that no response has shown yet counts as sent at the takeover', t => {
	let now = takeoverAt;
	const orderGuard = createTestGuard({now: () => now, revision: 301});
	now = 13_500;
	t.false(orderGuard.isFree('m1'));
	now = 13_501;
	t.true(orderGuard.isFree('m1'));
});

// Guards against pools that lack machines during a burst because a new owner waits for the cooldown of all machines.
test('a machine that no other holder has ordered recently is free at once', t => {
	const orderGuard = createTestGuard({now: () => takeoverAt, revision: 200});
	t.true(orderGuard.isFree('m1'));
	t.true(orderGuard.isFree('m2'));
});

// Guards against a needless cooldown after a restart of the owner, whose earlier orders have the same holder.
test('a machine that an earlier incarnation of this holder has ordered is free at once', t => {
	t.true(createTestGuard({now: () => takeoverAt, holder: 'self', revision: 300}).isFree('m1'));
});

// Guards against an order that is sent long after it was recorded: the next holder would take it for older than it is.
test('an order that took too long to record is not sent', async t => {
	for (const [milliseconds, isReady] of [[100, true], [400, false]] as const) {
		let now = 0;
		const orderGuard = createMachineOrderGuard({
			clock: {now: () => now, wallNow: () => now}, holder: 'self', tookOverAt: 0, getReachedTime: () => undefined, mayOrder: () => true,
			async commit() {
				now += milliseconds;
			},
		});
		// eslint-disable-next-line no-await-in-loop -- Sequential cases.
		t.is(await orderGuard.recordOrder('m1'), isReady);
	}
});
