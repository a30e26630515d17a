import test from 'ava';
import {createWorld, instances} from './world.js';
import type {World} from './world.js';

const tickMilliseconds = 500;
/** After this age an instance refuses keyed work (section 7 of the design page). */
const refusalAgeMilliseconds = 5000;

const advance = async (world: World, milliseconds: number, observe: () => void = () => undefined): Promise<void> => {
	for (let elapsed = 0; elapsed < milliseconds; elapsed += tickMilliseconds) {
		// eslint-disable-next-line no-await-in-loop -- ticks follow each other
		await world.round(tickMilliseconds);
		observe();
		// An exchange can start another fetch of the document, which the next round delivers.
		void world.exchange();
		// eslint-disable-next-line no-await-in-loop -- as above
		await world.flush();
	}
};

const start = async (): Promise<World> => {
	const world = createWorld();
	await advance(world, 6000);
	world.submit(0);
	await advance(world, 3000);
	return world;
};

const ages = (world: World): readonly number[] => world.members().map(({watch}) => watch.confirmationAgeMilliseconds() ?? Infinity);

const observeOldest = async (world: World, milliseconds: number): Promise<readonly number[]> => {
	const oldest = instances.map(() => 0);
	await advance(world, milliseconds, () => {
		for (const [position, age] of ages(world).entries()) {
			oldest[position] = Math.max(oldest[position] ?? 0, age);
		}
	});
	return oldest;
};

const cases: ReadonlyArray<readonly [title: string, fault: (world: World) => void]> = [
	['no fault', () => undefined],
	['the platform is out', world => {
		world.setOutage(true);
	}],
	['the platform hangs', world => {
		world.hangPlatform();
	}],
	['one zone reaches its peers but not the platform', world => {
		world.setCut(3, 0, true);
	}],
	['one instance reaches nobody', world => {
		world.isolate(3);
	}],
	['the platform is out and one instance restarts', world => {
		world.setOutage(true);
		world.restart(3);
	}],
	['the platform is out and one instance is cut off', world => {
		world.setOutage(true);
		world.isolate(3);
	}],
];

// Guards against confirmations that lapse although they need not, and against such that go on although nobody can know.
for (const [title, fault] of cases) {
	test(`oldest confirmation in 30 s: ${title}`, async t => {
		const world = await start();
		fault(world);
		const oldest = await observeOldest(world, 30_000);
		t.snapshot(Object.fromEntries(oldest.map((age, position) => [instances[position]?.instance ?? '', age])));
	});
}

// Guards against a withdrawn key that an instance accepts for longer than its bound.
test('an instance that is cut off refuses keyed work within its bound of a withdrawal', async t => {
	const world = await start();
	world.isolate(3);
	world.submit(0);
	const withdrawnAt = world.time();
	let lastAccepted = 0;
	await advance(world, 20_000, () => {
		const behind = world.members().filter(({watch}) => watch.status().version < world.commits.length);
		if (behind.some(({watch}) => (watch.confirmationAgeMilliseconds() ?? Infinity) <= refusalAgeMilliseconds)) {
			lastAccepted = world.time() - withdrawnAt;
		}
	});
	t.is(world.commits.length, 2);
	t.true(lastAccepted > 0 && lastAccepted <= refusalAgeMilliseconds, `last accepted after ${lastAccepted} ms`);
});

// Guards against an instance that cannot start while the platform is out, or that counts as confirmed since a moment of the outage.
test('an instance that starts during an outage takes the document from its peers', async t => {
	const world = await start();
	world.setOutage(true);
	world.restart(3);
	const seen = [];
	for (const elapsed of [1000, 4000]) {
		// eslint-disable-next-line no-await-in-loop -- the moments follow each other
		await advance(world, elapsed - (seen.length * 1000));
		const status = world.members().at(3)?.watch.status();
		seen.push({version: status?.version, platformReachable: status?.platformReachable, isConfirmedSinceOutage: (status?.confirmationAgeMilliseconds ?? Infinity) < elapsed});
	}

	const expected = {version: 1, platformReachable: false, isConfirmedSinceOutage: false};
	t.deepEqual(seen, [expected, expected]);
	world.heal();
	await advance(world, 3000);
	t.true((ages(world).at(3) ?? Infinity) <= 2000);
});
