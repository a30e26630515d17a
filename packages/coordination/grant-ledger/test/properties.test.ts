import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {endFaults, scheduleFaults, timedFault} from '@turmericbay/membership/testing';
import {
	decodeShard, shardKey, shardOf, sumUnits,
} from '../src/index.js';
import {createCluster, longestRunMilliseconds} from './support/cluster.js';
import type {Cluster} from './support/cluster.js';

const zones = ['a', 'b', 'c'];
const count = 6;
const limits = {large: 30, small: 4, single: 1};
const teams = Object.keys(limits);
const runs = Number(process.env.TURMERICBAY_PROPERTY_RUNS ?? 40);

const scenario = fc.record({
	seed: fc.integer({min: 1, max: 2_000_000_000}),
	faults: fc.array(timedFault({count, zones}), {minLength: 1, maxLength: 6}),
});

/** Bursts of requests at random instances, far above the limits. */
const load = (cluster: Cluster, milliseconds: number) => {
	const {simulation, fleet} = cluster;
	const {random} = simulation;
	const end = simulation.clock.monotonicMilliseconds() + milliseconds;
	const step = () => {
		if (simulation.clock.monotonicMilliseconds() > end) {
			return;
		}

		const position = Math.floor(random() * fleet.members.length);
		for (const team of teams) {
			for (let request = 0; request < random() * 8; request += 1) {
				cluster.request(position, team);
			}
		}

		simulation.after(random() * 100, step);
	};

	step();
};

const ledgerSum = (cluster: Cluster, team: string) => {
	const entry = cluster.fleet.store.entries.get(shardKey(shardOf(team)));
	const row = entry && decodeShard(entry.value)?.get(team);
	return row ? sumUnits(row) : 0;
};

/** Acquires as many units as possible at every instance and returns the highest total. */
const acquireAll = async (cluster: Cluster, team: string) => {
	let peak = 0;
	for (let step = 0; step < 600; step += 1) {
		for (const position of cluster.fleet.members.keys()) {
			while (cluster.request(position, team)) {
				// Acquires every unit of this instance.
			}
		}

		peak = Math.max(peak, cluster.acquired(team));
		// eslint-disable-next-line no-await-in-loop -- Time passes between the steps.
		await cluster.simulation.run(50);
	}

	return peak;
};

// Guards against more running work than the limit allows, and against units that are lost permanently.
test('under any faults no team runs above its limit, and afterwards all units can be used', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(scenario, async ({seed, faults}) => {
		const cluster = createCluster({
			seed, count, zones, limits,
		});
		await cluster.simulation.run(20_000);
		load(cluster, 60_000);
		scheduleFaults(cluster.simulation, cluster.fleet, faults);
		await cluster.simulation.run(60_000);
		endFaults(cluster.fleet);
		// Covers a delayed instance list, the margin before processes known only from the ledger count as gone, and the run time.
		await cluster.simulation.run(100_000 + longestRunMilliseconds);
		for (const [team, limit] of Object.entries(limits)) {
			if ((cluster.peakRunning.get(team) ?? 0) > limit) {
				throw new Error(`${team} ran ${cluster.peakRunning.get(team)} of ${limit}`);
			}

			if (ledgerSum(cluster, team) > limit) {
				throw new Error(`the ledger holds ${ledgerSum(cluster, team)} units of ${team}, limit ${limit}`);
			}

			// eslint-disable-next-line no-await-in-loop -- One team after the other.
			const peak = await acquireAll(cluster, team);
			if (peak !== limit) {
				throw new Error(`after healing ${peak} of ${limit} units of ${team} could be used`);
			}
		}
	}), {seed: 20_261, numRuns: runs, endOnFailure: true}));
});

// Guards against new starts above a lowered limit, and against a limit that never takes effect.
test('a lowered limit applies to new starts at once and to the ledger within the longest run time', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(fc.integer({min: 1, max: 2_000_000_000}), fc.integer({min: 0, max: 29}), async (seed, lowered) => {
		const cluster = createCluster({
			seed, count, zones, limits: {large: 30},
		});
		await cluster.simulation.run(20_000);
		load(cluster, 60_000);
		await cluster.simulation.run(10_000);
		cluster.setLimits({large: lowered});
		// Each holder gets the document with its next tick.
		await cluster.simulation.run(60);
		const before = cluster.fleet.members.map(({component}) => component.units('large').inUse);
		for (let step = 0; step < 400; step += 1) {
			const acquired = cluster.acquired('large');
			// eslint-disable-next-line no-await-in-loop -- The count is compared after each step.
			await cluster.simulation.run(50);
			if (cluster.acquired('large') > Math.max(acquired, lowered)) {
				throw new Error(`${cluster.acquired('large')} acquired after ${acquired}, limit ${lowered}, before ${before.join(' ')}`);
			}
		}

		if (ledgerSum(cluster, 'large') > lowered) {
			throw new Error(`the ledger still holds ${ledgerSum(cluster, 'large')} units, limit ${lowered}`);
		}
	}), {seed: 20_262, numRuns: runs, endOnFailure: true}));
});
