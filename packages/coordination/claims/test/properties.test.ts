import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {Settlement} from '@turmericbay/types';
import {
	disconnectThenKill, endFaults, scheduleFaults, timedFault,
} from '@turmericbay/membership/testing';
import {partitionCount} from '../src/index.js';
import {createCluster} from './support/cluster.js';
import type {Cluster} from './support/cluster.js';

const zones = ['a', 'b', 'c'];
const count = 6;
const runs = Number(process.env.TURMERICBAY_PROPERTY_RUNS ?? 20);

const scenario = fc.record({
	seed: fc.integer({min: 1, max: 2_000_000_000}),
	faults: fc.array(fc.oneof(timedFault({count, zones}), disconnectThenKill({count})), {minLength: 1, maxLength: 6}),
});

const settlements = [Settlement.Run, Settlement.Run, Settlement.NotRun, Settlement.Unknown];

/** Claims new keys continuously, each at several instances, at once and up to 40 s later. */
const load = (cluster: Cluster, milliseconds: number) => {
	const {simulation, fleet} = cluster;
	const {random} = simulation;
	const end = simulation.clock.monotonicMilliseconds() + milliseconds;
	const pick = (length: number) => Math.floor(random() * length);
	const step = () => {
		if (simulation.clock.monotonicMilliseconds() > end) {
			return;
		}

		const key = cluster.newKey(random() < 0.5 ? 0 : random() * 20_000);
		for (let attempt = 0; attempt < 6; attempt += 1) {
			const wait = random() < 0.4 ? random() * 50 : random() * 40_000;
			simulation.after(wait, () => {
				cluster.attempt(pick(fleet.members.length), key, settlements[pick(settlements.length)]);
			});
		}

		simulation.after(random() * 100, step);
	};

	step();
};

// Guards against duplicate sends and wrong not-run answers, and against partitions that no process serves after the faults end.
test('under any faults no key is sent twice and not-run answers are true, and afterwards every partition is served', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(scenario, async ({seed, faults}) => {
		const cluster = createCluster({seed, count, zones});
		await cluster.simulation.run(20_000);
		load(cluster, 60_000);
		scheduleFaults(cluster.simulation, cluster.fleet, faults);
		await cluster.simulation.run(80_000);
		endFaults(cluster.fleet);
		await cluster.simulation.run(100_000);
		if (cluster.violations.length > 0) {
			throw new Error(cluster.violations.join('; '));
		}

		const served = cluster.served();
		if (served.length !== partitionCount || new Set(served).size !== partitionCount) {
			throw new Error(`after healing ${new Set(served).size} partitions are served by ${served.length} owners`);
		}

		const granted = cluster.sent.size;
		for (let position = 0; position < count; position += 1) {
			cluster.attempt(position, cluster.newKey());
		}

		await cluster.simulation.run(5000);
		if (cluster.sent.size !== granted + count) {
			throw new Error(`after healing ${cluster.sent.size - granted} of ${count} new keys were granted`);
		}
	}), {seed: 20_263, numRuns: runs, endOnFailure: true}));
});
