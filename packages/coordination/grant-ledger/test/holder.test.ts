import test from 'ava';
import {
	decodeShard, shardKey, shardOf, sumUnits,
} from '../src/index.js';
import {createCluster} from './support/cluster.js';

const zones = ['a', 'b', 'c'];

const rowOf = (cluster: ReturnType<typeof createCluster>, team: string) => {
	const entry = cluster.fleet.store.entries.get(shardKey(shardOf(team)));
	return entry && decodeShard(entry.value)?.get(team);
};

// Guards against a zone that is cut off before it held a unit.
test('each zone holds its floor before any demand', async t => {
	const cluster = createCluster({
		seed: 1, count: 6, zones, limits: {large: 40, small: 3},
	});
	await cluster.simulation.run(30_000);
	for (const [team, floor] of [['large', 4], ['small', 1]] as const) {
		const holdings = [...rowOf(cluster, team)!.holdings.values()];
		for (const zone of zones) {
			const units = holdings.filter(holding => holding.zone === zone).reduce((sum, holding) => sum + holding.units, 0);
			t.is(units, floor, `${team} in ${zone}`);
		}
	}
});

// Guards against units that stay with idle holders while another one needs them.
test('demand at one holder draws all units but the floors of the other zones', async t => {
	const cluster = createCluster({
		seed: 2, count: 6, zones, limits: {team: 40},
	});
	await cluster.simulation.run(10_000);
	let most = 0;
	for (let step = 0; step < 400; step += 1) {
		for (let attempt = 0; attempt < 20; attempt += 1) {
			cluster.request(0, 'team');
		}

		// eslint-disable-next-line no-await-in-loop -- Time passes between the steps.
		await cluster.simulation.run(50);
		most = Math.max(most, cluster.fleet.members[0]!.part.units('team').inUse);
	}

	t.is(most, 32);
	t.true(cluster.highest.get('team')! <= 40);
});

// Guards against a stop that leaves units with a process that no longer exists.
test('draining gives every unit back', async t => {
	const cluster = createCluster({
		seed: 3, count: 3, zones, limits: {team: 30},
	});
	await cluster.simulation.run(10_000);
	const {part} = cluster.fleet.members[0]!;
	t.true(cluster.request(0, 'team'));
	part.startDraining();
	await cluster.simulation.run(10_000);
	t.true(part.isDrained());
	t.false(part.tryAcquire({team: 'team'}));
	t.is(sumUnits(rowOf(cluster, 'team')!), cluster.fleet.members[1]!.part.units('team').held
	+ cluster.fleet.members[2]!.part.units('team').held);
});
