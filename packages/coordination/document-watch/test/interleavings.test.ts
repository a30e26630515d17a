import test from 'ava';
import fc from 'fast-check';
import {createWorld} from './world.js';
import type {World} from './world.js';

type Step = {readonly label: string; readonly run: (world: World) => Promise<void> | void};

const index = fc.nat({max: 60});
const step = (label: string, run: (world: World, first: number, second: number) => Promise<void> | void): fc.Arbitrary<Step> => fc.tuple(index, index)
	.map(([first, second]) => ({
		label: `${label} ${first} ${second}`,
		run: async (world: World) => run(world, first, second),
		toString: () => `${label} ${first} ${second}`,
	}));

const weighted = (weight: number, label: string, run: (world: World, first: number, second: number) => Promise<void> | void) => ({weight, arbitrary: step(label, run)});

const steps = fc.array(fc.oneof(
	weighted(30, 'deliver', (world, first) => {
		world.deliver(first);
	}),
	weighted(6, 'deliver all', world => {
		for (let count = world.calls().length; count > 0; count--) {
			world.deliver(0);
		}
	}),
	weighted(8, 'tick', (world, first) => {
		world.tick(first);
	}),
	weighted(3, 'round', async world => world.round()),
	weighted(5, 'advance', (world, first) => {
		world.advance(first * 40);
	}),
	weighted(4, 'time out', (world, first) => {
		world.timeOut(first);
	}),
	weighted(3, 'time out write', world => {
		world.timeOutWrite();
	}),
	weighted(2, 'apply abandoned', world => {
		world.applyAbandoned();
	}),
	weighted(2, 'refuse', (world, first) => {
		world.refuse(first);
	}),
	weighted(4, 'submit', (world, first) => {
		world.submit(first);
	}),
	weighted(2, 'submit again', (world, first, second) => {
		world.submit(first, world.changes[second % Math.max(1, world.changes.length)]);
	}),
	weighted(1, 'restart', (world, first) => {
		world.restart(first);
	}),
	weighted(1, 'cut', (world, first, second) => {
		world.setCut(first, second, true);
	}),
	weighted(1, 'heal one', (world, first, second) => {
		world.setCut(first, second, false);
	}),
	weighted(2, 'outage', (world, first) => {
		world.setOutage(first % 3 > 0);
	}),
), {minLength: 40, maxLength: 160, size: 'max'});

const checkVersions = (world: World): void => {
	for (const member of world.members()) {
		const envelope = member.watch.current();
		const version = envelope?.version ?? 0;
		if (version < member.highestVersion) {
			throw new Error(`version went back from ${member.highestVersion} to ${version}`);
		}

		member.highestVersion = version;
		if (envelope !== undefined) {
			const known = world.contents.get(version) ?? envelope.changeId;
			world.contents.set(version, known);
			if (known !== envelope.changeId) {
				throw new Error(`version ${version} has two contents: ${known} and ${envelope.changeId}`);
			}
		}
	}

	for (const [position, commit] of world.commits.entries()) {
		if (commit.version !== position + 1) {
			throw new Error(`the platform holds version ${commit.version} after ${position} commits`);
		}
	}
};

const checkConfirmations = (world: World): void => {
	for (const {watch} of world.members()) {
		const age = watch.confirmationAgeMilliseconds();
		const version = watch.current()?.version ?? 0;
		const missed = world.commits.find(commit => age !== undefined && commit.version > version && commit.time < world.time() - age);
		if (missed !== undefined) {
			throw new Error(`confirmed at ${world.time() - (age ?? 0)} with version ${version}, but version ${missed.version} was stored at ${missed.time}`);
		}
	}
};

const checkOutcomes = (world: World): void => {
	for (const {changeId, outcomes, submits} of world.changes) {
		const applied = world.commits.filter(commit => commit.changeId === changeId).length;
		const types = new Set(outcomes.map(({type}) => type));
		// `not-applied` speaks of one request: the same change may be under way through another instance.
		const isDenied = types.has('conflict') || (submits === 1 && types.has('not-applied'));
		if (applied > 1 || (applied === 1 && isDenied) || (applied === 0 && types.has('accepted'))) {
			throw new Error(`${changeId} was applied ${applied} times, outcomes ${JSON.stringify(outcomes)}`);
		}
	}
};

const run = async (list: readonly Step[], check: (world: World) => void, atEnd: (world: World) => Promise<void> | void = () => undefined): Promise<void> => {
	const world = createWorld();
	await world.flush();
	for (const {run: apply} of list) {
		// eslint-disable-next-line no-await-in-loop -- each step starts when the one before has settled
		await apply(world);
		// eslint-disable-next-line no-await-in-loop -- as above
		await world.flush();
		check(world);
	}

	await atEnd(world);
};

const settle = async (world: World): Promise<void> => {
	world.heal();
	for (let round = 0; round < 60; round++) {
		world.advance(250);
		for (const position of world.members().keys()) {
			world.tick(position);
		}

		for (let count = world.calls().length * 2; count > 0; count--) {
			world.deliver(0);
			// eslint-disable-next-line no-await-in-loop -- one message at a time
			await world.flush();
		}
	}
};

const parameters = {seed: 20_261_204, numRuns: 300, includeErrorInReport: true};

// Guards against an older document coming back into force, and against two contents of one version.
test('versions never go back anywhere', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(steps, async list => run(list, checkVersions)), parameters));
});

// Guards against a withdrawn key that stays accepted because its instance believes itself confirmed.
test('a confirmed instance misses no version stored before its confirmation', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(steps, async list => run(list, checkConfirmations)), {...parameters, numRuns: 1000}));
});

// Guards against a change applied twice, or reported otherwise than it ended, also by a late message.
test('a change is applied at most once and its outcome is true', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(steps, async list => run(list, checkOutcomes, async world => {
		await settle(world);
		checkOutcomes(world);
	})), {...parameters, numRuns: 100}));
});

// Guards against an instance that stays behind, unconfirmed or uncertain after the faults have ended.
test('after healing all instances agree, are confirmed and have nothing pending', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(steps, async list => run(list, () => undefined, async world => {
		await settle(world);
		const newest = world.commits.length;
		const late = world.members().map(({watch}) => watch.status()).filter(({version, confirmationAgeMilliseconds = Infinity, pendingChanges}) =>
			version !== newest || (newest > 0 && (confirmationAgeMilliseconds > 4000 || pendingChanges.length > 0)));
		if (late.length > 0) {
			throw new Error(`newest ${newest}, behind: ${JSON.stringify(late)}`);
		}
	})), {...parameters, numRuns: 100}));
});
