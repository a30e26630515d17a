import test from 'ava';
import {createMachineOrders} from '../src/machine-orders.js';
import {machineOrderPrefix} from '../src/records.js';

const createTestOrders = (now: () => number, orderedAt: number) => {
	const orders = createMachineOrders({
		clock: {now, wallNow: now}, tookOverAt: 10_000, mayOrder: () => true, commit: async () => undefined,
	});
	orders.restore([{key: `${machineOrderPrefix}m1`, value: String(orderedAt), modifiedRevision: 1}]);
	return orders;
};

// Guards against two holders that order the same machine within three seconds.
test('a machine that a former owner has just ordered is left alone', t => {
	let now = 10_000;
	const orders = createTestOrders(() => now, 9500);
	t.false(orders.isFree('m1'));
	now = 13_400;
	t.false(orders.isFree('m1'));
	now = 13_600;
	t.true(orders.isFree('m1'));
});

// Pattern: the owner changes during a burst; pools short of machines must not wait for the pause.
test('a machine that no former owner has ordered lately is free at once', t => {
	const orders = createTestOrders(() => 10_000, 1000);
	t.true(orders.isFree('m1'));
	t.true(orders.isFree('m2'));
});

// Guards against clocks of two instances that differ: an order from the future counts as recent.
test('an order with a later time than now counts as recent', t => {
	t.false(createTestOrders(() => 10_000, 14_000).isFree('m1'));
});
