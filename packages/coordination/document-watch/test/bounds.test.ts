import test from 'ava';
import {createCluster, instances} from './cluster.js';
import type {Cluster} from './cluster.js';

const tickMilliseconds = 500;
/** Age of the last confirmation above which an instance refuses requests with team keys. */
const refusalAgeMilliseconds = 5000;

const advance = async (cluster: Cluster, milliseconds: number, observe: () => void = () => undefined): Promise<void> => {
	for (let elapsed = 0; elapsed < milliseconds; elapsed += tickMilliseconds) {
		// eslint-disable-next-line no-await-in-loop -- ticks are sequential
		await cluster.runRound(tickMilliseconds);
		observe();
		// An exchange can start a fetch of the document, which the next round delivers.
		void cluster.exchange();
		// eslint-disable-next-line no-await-in-loop -- as above
		await cluster.flush();
	}
};

const start = async (): Promise<Cluster> => {
	const cluster = createCluster();
	await advance(cluster, 6000);
	cluster.submit(0);
	await advance(cluster, 3000);
	return cluster;
};

const ages = (cluster: Cluster): readonly number[] => cluster.members().map(({watch}) => watch.confirmationAgeMilliseconds() ?? Infinity);

const observeOldest = async (cluster: Cluster, milliseconds: number): Promise<readonly number[]> => {
	const oldest = instances.map(() => 0);
	await advance(cluster, milliseconds, () => {
		for (const [position, age] of ages(cluster).entries()) {
			oldest[position] = Math.max(oldest[position] ?? 0, age);
		}
	});
	return oldest;
};

const cases: ReadonlyArray<readonly [title: string, fault: (cluster: Cluster) => void]> = [
	['stay below 5 s without faults', () => undefined],
	['stay below 5 s in a platform outage', cluster => {
		cluster.setOutage(true);
	}],
	['stay below 5 s while the platform hangs', cluster => {
		cluster.hangPlatform();
	}],
	['stay below 5 s while one zone is disconnected from the platform but not from its peers', cluster => {
		cluster.setDisconnected(3, 0, true);
	}],
	['expire only on the instance that is disconnected from all others', cluster => {
		cluster.isolate(3);
	}],
	['expire in a platform outage in which one instance restarts', cluster => {
		cluster.setOutage(true);
		cluster.restart(3);
	}],
	['expire in a platform outage in which one instance is disconnected from all others', cluster => {
		cluster.setOutage(true);
		cluster.isolate(3);
	}],
];

// Guards against confirmations that expire during faults which allow new ones, and against confirmations that no instance can justify.
// Each snapshot has the greatest age in ms of each instance's confirmation within 30 s.
for (const [title, fault] of cases) {
	test(`confirmations ${title}`, async t => {
		const cluster = await start();
		fault(cluster);
		const oldest = await observeOldest(cluster, 30_000);
		t.snapshot(Object.fromEntries(oldest.map((age, position) => [instances[position]?.instance ?? '', age])));
	});
}

// Guards against an instance that accepts a withdrawn team key for longer than 5 s.
test('a disconnected instance refuses requests with team keys within 5 s after a withdrawal', async t => {
	const cluster = await start();
	cluster.isolate(3);
	cluster.submit(0);
	const withdrawnAt = cluster.time();
	let lastAccepted = 0;
	await advance(cluster, 20_000, () => {
		const behind = cluster.members().filter(({watch}) => watch.status().version < cluster.commits.length);
		if (behind.some(({watch}) => (watch.confirmationAgeMilliseconds() ?? Infinity) <= refusalAgeMilliseconds)) {
			lastAccepted = cluster.time() - withdrawnAt;
		}
	});
	t.is(cluster.commits.length, 2);
	t.true(lastAccepted > 0 && lastAccepted <= refusalAgeMilliseconds, `last accepted after ${lastAccepted} ms`);
});

// Guards against an instance that cannot start during a platform outage, or that counts as confirmed at a time within the outage.
test('an instance that starts during an outage fetches the document from its peers', async t => {
	const cluster = await start();
	cluster.setOutage(true);
	cluster.restart(3);
	const seen = [];
	for (const elapsed of [1000, 4000]) {
		// eslint-disable-next-line no-await-in-loop -- the observations are sequential
		await advance(cluster, elapsed - (seen.length * 1000));
		const status = cluster.members().at(3)?.watch.status();
		seen.push({version: status?.version, platformReachable: status?.platformReachable, isConfirmedSinceOutage: (status?.confirmationAgeMilliseconds ?? Infinity) < elapsed});
	}

	const expected = {version: 1, platformReachable: false, isConfirmedSinceOutage: false};
	t.deepEqual(seen, [expected, expected]);
	cluster.endFaults();
	await advance(cluster, 3000);
	t.true((ages(cluster).at(3) ?? Infinity) <= 2000);
});
