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

// Guards against a zone without units when it is cut off before any demand.
test('each zone holds its minimum before any demand', async t => {
	const cluster = createCluster({
		seed: 1, count: 6, zones, limits: {large: 40, small: 3},
	});
	await cluster.simulation.run(30_000);
	for (const [team, zoneMinimum] of [['large', 4], ['small', 1]] as const) {
		const holdings = [...rowOf(cluster, team)!.holdings.values()];
		for (const zone of zones) {
			const units = holdings.filter(holding => holding.zone === zone).reduce((sum, holding) => sum + holding.units, 0);
			t.is(units, zoneMinimum, `${team} in ${zone}`);
		}
	}
});

// Guards against units that stay at idle holders while another holder needs them.
test('demand at one holder gets all units except the minimum of the other zones', async t => {
	const cluster = createCluster({
		seed: 2, count: 6, zones, limits: {team: 40},
	});
	await cluster.simulation.run(10_000);
	let peak = 0;
	for (let step = 0; step < 400; step += 1) {
		for (let attempt = 0; attempt < 20; attempt += 1) {
			cluster.request(0, 'team');
		}

		// eslint-disable-next-line no-await-in-loop -- Time passes between the steps.
		await cluster.simulation.run(50);
		peak = Math.max(peak, cluster.fleet.members[0]!.component.units('team').inUse);
	}

	t.is(peak, 32);
	t.true(cluster.peakRunning.get('team')! <= 40);
});

// Guards against a stop that leaves units at a process that no longer exists.
test('draining returns every unit', async t => {
	const cluster = createCluster({
		seed: 3, count: 3, zones, limits: {team: 30},
	});
	await cluster.simulation.run(10_000);
	const {component} = cluster.fleet.members[0]!;
	t.true(cluster.request(0, 'team'));
	component.startDraining();
	await cluster.simulation.run(10_000);
	t.true(component.isDrained());
	t.false(component.tryAcquire({team: 'team'}));
	t.is(sumUnits(rowOf(cluster, 'team')!), cluster.fleet.members[1]!.component.units('team').held
	+ cluster.fleet.members[2]!.component.units('team').held);
});

const requestTransfer = async (cluster: ReturnType<typeof createCluster>, options: {from: number; to: number}) => {
	const {identity} = cluster.fleet.members[options.to]!;
	const answer = cluster.fleet.members[options.from]!.component.handleTransfer({team: 'team', units: 4, holder: identity});
	await cluster.simulation.run(3000);
	return answer;
};

// Guards against a zone that transfers its minimum and has no units left when it is cut off.
test('idle units move within a zone, but the minimum of a zone never moves to another', async t => {
	const cluster = createCluster({
		seed: 4, count: 6, zones, limits: {team: 40},
	});
	await cluster.simulation.run(30_000);
	t.is(await requestTransfer(cluster, {from: 0, to: 1}), 0);
	t.is(await requestTransfer(cluster, {from: 0, to: 3}), 1);
});

// Guards against losing the units of processes that no running process has seen in the instance list.
test('after all instances were replaced at once all units can be used again', async t => {
	const cluster = createCluster({
		seed: 5, count: 3, zones, limits: {team: 6},
	});
	await cluster.simulation.run(30_000);
	// The new processes never see the old ones in the instance list.
	cluster.fleet.network.listLagMilliseconds = 0;
	for (const position of [0, 1, 2]) {
		cluster.fleet.kill(position);
	}

	for (const position of [0, 1, 2]) {
		cluster.fleet.restart(position);
	}

	await cluster.simulation.run(90_000);
	let peak = 0;
	for (let step = 0; step < 100; step += 1) {
		for (const position of [0, 1, 2]) {
			cluster.request(position, 'team');
		}

		// eslint-disable-next-line no-await-in-loop -- Time passes between the steps.
		await cluster.simulation.run(50);
		peak = Math.max(peak, cluster.acquired('team'));
	}

	t.is(peak, 6);
});
