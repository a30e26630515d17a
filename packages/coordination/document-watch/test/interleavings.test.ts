import test from 'ava';
import fc from 'fast-check';
import {createCluster} from './cluster.js';
import type {Cluster} from './cluster.js';

type Step = {readonly label: string; readonly run: (cluster: Cluster) => Promise<void> | void};

const index = fc.nat({max: 60});
const step = (label: string, run: (cluster: Cluster, first: number, second: number) => Promise<void> | void): fc.Arbitrary<Step> => fc.tuple(index, index)
	.map(([first, second]) => ({
		label: `${label} ${first} ${second}`,
		run: async (cluster: Cluster) => run(cluster, first, second),
		toString: () => `${label} ${first} ${second}`,
	}));

const weighted = (weight: number, label: string, run: (cluster: Cluster, first: number, second: number) => Promise<void> | void) => ({weight, arbitrary: step(label, run)});

const steps = fc.array(fc.oneof(
	weighted(30, 'deliver', (cluster, first) => {
		cluster.deliver(first);
	}),
	weighted(6, 'deliver all', cluster => {
		for (let count = cluster.calls().length; count > 0; count--) {
			cluster.deliver(0);
		}
	}),
	weighted(8, 'tick', (cluster, first) => {
		cluster.tick(first);
	}),
	weighted(3, 'round', async cluster => cluster.runRound()),
	weighted(5, 'advance', (cluster, first) => {
		cluster.advance(first * 40);
	}),
	weighted(4, 'time out', (cluster, first) => {
		cluster.timeOut(first);
	}),
	weighted(3, 'time out write', cluster => {
		cluster.timeOutWrite();
	}),
	weighted(2, 'apply abandoned', cluster => {
		cluster.applyAbandoned();
	}),
	weighted(2, 'refuse', (cluster, first) => {
		cluster.refuse(first);
	}),
	weighted(4, 'submit', (cluster, first) => {
		cluster.submit(first);
	}),
	weighted(2, 'submit again', (cluster, first, second) => {
		cluster.submit(first, cluster.changes[second % Math.max(1, cluster.changes.length)]);
	}),
	weighted(1, 'restart', (cluster, first) => {
		cluster.restart(first);
	}),
	weighted(1, 'cut', (cluster, first, second) => {
		cluster.setDisconnected(first, second, true);
	}),
	weighted(1, 'heal one', (cluster, first, second) => {
		cluster.setDisconnected(first, second, false);
	}),
	weighted(2, 'outage', (cluster, first) => {
		cluster.setOutage(first % 3 > 0);
	}),
), {minLength: 40, maxLength: 160, size: 'max'});

const checkVersions = (cluster: Cluster): void => {
	for (const member of cluster.members()) {
		const envelope = member.watch.current();
		const version = envelope?.version ?? 0;
		if (version < member.highestVersion) {
			throw new Error(`version decreased from ${member.highestVersion} to ${version}`);
		}

		member.highestVersion = version;
		if (envelope !== undefined) {
			const known = cluster.contents.get(version) ?? envelope.changeId;
			cluster.contents.set(version, known);
			if (known !== envelope.changeId) {
				throw new Error(`version ${version} has two different contents: ${known} and ${envelope.changeId}`);
			}
		}
	}

	for (const [position, commit] of cluster.commits.entries()) {
		if (commit.version !== position + 1) {
			throw new Error(`the platform holds version ${commit.version} after ${position} commits`);
		}
	}
};

const checkConfirmations = (cluster: Cluster): void => {
	for (const {watch} of cluster.members()) {
		const age = watch.confirmationAgeMilliseconds();
		const version = watch.current()?.version ?? 0;
		const missed = cluster.commits.find(commit => age !== undefined && commit.version > version && commit.time < cluster.time() - age);
		if (missed !== undefined) {
			throw new Error(`confirmed at ${cluster.time() - (age ?? 0)} with version ${version}, but version ${missed.version} was stored at ${missed.time}`);
		}
	}
};

const checkOutcomes = (cluster: Cluster): void => {
	for (const {changeId, outcomes, submits} of cluster.changes) {
		const applied = cluster.commits.filter(commit => commit.changeId === changeId).length;
		const types = new Set(outcomes.map(({type}) => type));
		// `not-applied` refers to one request: the same change may be in progress on another instance.
		const isDenied = types.has('conflict') || (submits === 1 && types.has('not-applied'));
		if (applied > 1 || (applied === 1 && isDenied) || (applied === 0 && types.has('accepted'))) {
			throw new Error(`${changeId} was applied ${applied} times, outcomes ${JSON.stringify(outcomes)}`);
		}
	}
};

const run = async (list: readonly Step[], check: (cluster: Cluster) => void, atEnd: (cluster: Cluster) => Promise<void> | void = () => undefined): Promise<void> => {
	const cluster = createCluster();
	await cluster.flush();
	for (const {run: apply} of list) {
		// eslint-disable-next-line no-await-in-loop -- each step starts after the previous one has settled
		await apply(cluster);
		// eslint-disable-next-line no-await-in-loop -- as above
		await cluster.flush();
		check(cluster);
	}

	await atEnd(cluster);
};

const settle = async (cluster: Cluster): Promise<void> => {
	cluster.endFaults();
	for (let round = 0; round < 60; round++) {
		cluster.advance(250);
		for (const position of cluster.members().keys()) {
			cluster.tick(position);
		}

		for (let count = cluster.calls().length * 2; count > 0; count--) {
			cluster.deliver(0);
			// eslint-disable-next-line no-await-in-loop -- one message at a time
			await cluster.flush();
		}
	}
};

const parameters = {seed: 20_261_204, numRuns: 300, includeErrorInReport: true};

// Guards against an older document coming back into force, and against two contents of one version.
test('the version never decreases on any instance', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(steps, async list => run(list, checkVersions)), parameters));
});

// Guards against a withdrawn key that an instance still accepts because it wrongly counts as confirmed.
test('a confirmed instance misses no version stored before its confirmation', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(steps, async list => run(list, checkConfirmations)), {...parameters, numRuns: 1000}));
});

// Guards against a change that is applied twice or whose reported outcome is wrong, also after a late message.
test('a change is applied at most once and its reported outcome is correct', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(steps, async list => run(list, checkOutcomes, async cluster => {
		await settle(cluster);
		checkOutcomes(cluster);
	})), {...parameters, numRuns: 100}));
});

// Guards against an instance that stays outdated, unconfirmed or with pending changes after all faults have ended.
test('after all faults have ended, all instances agree, are confirmed and have nothing pending', async t => {
	await t.notThrowsAsync(fc.assert(fc.asyncProperty(steps, async list => run(list, () => undefined, async cluster => {
		await settle(cluster);
		const newest = cluster.commits.length;
		const late = cluster.members().map(({watch}) => watch.status()).filter(({version, confirmationAgeMilliseconds = Infinity, pendingChanges}) =>
			version !== newest || (newest > 0 && (confirmationAgeMilliseconds > 4000 || pendingChanges.length > 0)));
		if (late.length > 0) {
			throw new Error(`newest ${newest}, behind: ${JSON.stringify(late)}`);
		}
	})), {...parameters, numRuns: 100}));
});
