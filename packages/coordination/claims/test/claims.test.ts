import test from 'ava';
import {Outcome, Settlement} from '@turmericbay/types';
import {partitionCount} from '../src/index.js';
import {createCluster} from './support/cluster.js';
import type {CallerResponse} from './support/cluster.js';

const zones = ['a', 'b', 'c'];

const start = async (seed: number, count = 6) => {
	const cluster = createCluster({seed, count, zones});
	await cluster.simulation.run(30_000);
	return cluster;
};

const countResponses = (cluster: ReturnType<typeof createCluster>, outcome: CallerResponse['outcome']) =>
	cluster.responses.filter(entry => entry.outcome === outcome).length;

// Guards against partitions without an owner or with two owners.
test('every partition gets exactly one owner', async t => {
	const cluster = await start(1);
	t.deepEqual(cluster.served().toSorted((left, right) => left - right), Array.from({length: partitionCount}, (_, index) => index));
});

// Guards against sending a request twice when a caller repeats its key at another instance.
test('a key is granted once, and later attempts are answered that it has run', async t => {
	const cluster = await start(2);
	const keys = Array.from({length: 50}, () => cluster.newKey());
	for (const key of keys) {
		for (const position of [0, 1, 2, 3]) {
			cluster.attempt(position, key);
		}
	}

	await cluster.simulation.run(5000);
	for (const key of keys) {
		cluster.attempt(4, key);
	}

	await cluster.simulation.run(5000);
	t.deepEqual(cluster.violations, []);
	t.is(countResponses(cluster, 'granted'), 50);
	t.is(countResponses(cluster, Outcome.Run), 50);
	t.is(countResponses(cluster, Outcome.NotRun), 0);
});

// Guards against a key that stays blocked although no attempt has run.
test('a key that was settled as not run can be used again, also after a takeover', async t => {
	const cluster = await start(3);
	const keys = Array.from({length: 20}, () => cluster.newKey());
	for (const key of keys) {
		cluster.attempt(1, key, Settlement.NotRun);
	}

	await cluster.simulation.run(8000);
	cluster.fleet.kill(0);
	cluster.fleet.kill(2);
	await cluster.simulation.run(40_000);
	for (const key of keys) {
		cluster.attempt(1, key);
	}

	await cluster.simulation.run(5000);
	t.deepEqual(cluster.violations, []);
	t.is(cluster.sent.size, 20);
});

// Guards against a planned stop after which partitions have no owner until the takeover timeout.
test('draining hands over all partitions at once', async t => {
	const cluster = await start(4);
	const {component} = cluster.fleet.members[0]!;
	t.true(component.status().owned.length > 0);
	component.startDraining();
	await cluster.simulation.run(3000);
	t.true(component.isDrained());
	t.is(component.status().owned.length, 0);
	await cluster.simulation.run(6000);
	t.is(new Set(cluster.served()).size, partitionCount);
});

// Guards against refusing all claims during an outage of the store.
test('during a store outage claims are refused as not run, then granted from memory, and recorded afterwards', async t => {
	const cluster = await start(5);
	for (const member of cluster.fleet.members) {
		member.store.reachable = false;
	}

	cluster.attempt(0, cluster.newKey());
	await cluster.simulation.run(4000);
	t.is(countResponses(cluster, 'granted'), 0);
	await cluster.simulation.run(16_000);
	const keys = Array.from({length: 30}, () => cluster.newKey());
	for (const key of keys) {
		cluster.attempt(0, key);
	}

	await cluster.simulation.run(10_000);
	t.is(countResponses(cluster, 'granted'), 30);
	for (const member of cluster.fleet.members) {
		member.store.reachable = true;
	}

	await cluster.simulation.run(30_000);
	for (const key of keys) {
		cluster.attempt(3, key);
	}

	await cluster.simulation.run(5000);
	t.is(countResponses(cluster, Outcome.Run), 30);
	t.deepEqual(cluster.violations, []);
});
