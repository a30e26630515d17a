/* eslint-disable no-await-in-loop -- each case is a sequence */
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {InstanceRole, unknownIncarnation} from '@turmericbay/types';
import {MovePhase, StepPhase} from '../src/index.js';
import {createWorld, longestRunMilliseconds} from './support/world.js';
import type {Entry, World} from './support/world.js';

const build = () => {
	const world = createWorld();
	for (const index of [0, 1, 2, 3]) {
		world.addInstance({
			instance: `runner-${index}`, role: InstanceRole.Upstream, pool: 'orders', zone: 'a', rack: `rack-${index}`,
		});
	}

	for (const instance of ['entry-0', 'entry-1', 'entry-2']) {
		world.addInstance({
			instance, role: InstanceRole.Entry, pool: 'entry', zone: 'a', rack: 'rack-9',
		});
		world.startEntry(instance);
	}

	return world;
};

/** One round of each awake entry instance after the given time; `settle` answers what they ask. */
const runRounds = async (world: World, rounds: number, options: {milliseconds?: number; only?: Entry; until?: () => boolean} = {}) => {
	for (let round = 0; round < rounds && !options.until?.(); round++) {
		world.clock.advance(options.milliseconds ?? 1000);
		for (const entry of world.entries.filter(other => !other.frozen && (options.only ?? other) === other)) {
			world.refreshList(entry);
			for (const other of world.entries.filter(candidate => !candidate.frozen)) {
				world.exchange(other, entry);
			}

			world.tick(entry);
			await nextTurn();
			while (world.settleFor(entry)) {
				await nextTurn();
			}
		}
	}
};

const readStep = (world: World, phase: StepPhase) => world.readState()?.steps.find(step => step.phase === phase);
const isAt = (world: World, phase: StepPhase) => () => readStep(world, phase) !== undefined;

/** Lets an entry instance send the longest possible work to every runner, once it gets a pool. */
const occupyRunners = async (world: World, index: number) => {
	const entry = world.entries[index]!;
	await runRounds(world, 60, {until: () => entry.ledger.effectivePool('runner-3') !== undefined});
	for (const pick of [0, 1, 2, 3]) {
		world.startWork(entry, pick, longestRunMilliseconds);
	}
};

// Guards against a reboot while an upstream still runs what a dead entry instance sent.
test('work of a killed entry instance ends before its instance reboots', async t => {
	const world = build();
	await occupyRunners(world, 2);
	await runRounds(world, 60, {until: isAt(world, StepPhase.Draining)});
	const {reboots} = world.counts;
	world.killEntry(2);
	await runRounds(world, 90);
	t.deepEqual(world.faults, []);
	t.true(world.counts.reboots > reboots);
});

// Guards against a second executor: the first may be about to send its reboot request when it wakes.
test('a frozen executor keeps its step until it is proven gone', async t => {
	const world = build();
	const first = world.entries[0]!;
	await runRounds(world, 60, {until: isAt(world, StepPhase.Rebooting)});
	const step = readStep(world, StepPhase.Rebooting)!;
	first.frozen = true;
	await runRounds(world, 30);
	t.deepEqual(readStep(world, StepPhase.Rebooting)?.executor, step.executor);
	t.is(world.counts.reboots, 0);
	first.frozen = false;
	await runRounds(world, 30);
	t.true(world.counts.reboots > 0);
	t.deepEqual(world.faults, []);
});

// Guards against a step that waits for ever for an executor that was replaced.
test('a step passes to another executor once the first is proven gone', async t => {
	const world = build();
	await runRounds(world, 60, {until: isAt(world, StepPhase.Rebooting)});
	const {instance} = readStep(world, StepPhase.Rebooting)!;
	world.killEntry(0);
	await runRounds(world, 60);
	t.true((world.readState()?.members[instance]?.maintainedAt ?? 0) > 0);
});

// Guards against a starting entry instance that sends work before the others know that it has to confirm.
test('a starting entry instance gets no pool until others must wait for it', async t => {
	const world = build();
	await runRounds(world, 10);
	world.killEntry(2);
	const fresh = world.entries.at(-1)!;
	await runRounds(world, 1, {only: fresh});
	t.is(fresh.ledger.effectivePool('runner-3'), undefined);
	await runRounds(world, 8);
	t.is(fresh.ledger.effectivePool('runner-3'), 'orders');
});

// Guards against planned work that goes on when failures have used up the budget.
test('a failure takes back a drain that has not gone to the platform', async t => {
	const world = build();
	await occupyRunners(world, 1);
	await runRounds(world, 60, {until: isAt(world, StepPhase.Draining)});
	const {instance} = readStep(world, StepPhase.Draining)!;
	const other = instance === 'runner-3' ? 'runner-2' : 'runner-3';
	world.dead.add(other);
	const {reboots} = world.counts;
	await runRounds(world, 3, {only: world.entries[0]!});
	t.is(readStep(world, StepPhase.Draining), undefined);
	t.is(world.counts.reboots, reboots);
	t.deepEqual(world.readState()?.failures.map(failure => failure.instance), [other]);
});

// Guards against an entry instance that never confirms and so blocks the whole pool.
test('a drain that nobody confirms is undone and put off', async t => {
	const world = build();
	await runRounds(world, 60, {until: isAt(world, StepPhase.Draining)});
	const {instance} = readStep(world, StepPhase.Draining)!;
	world.entries[2]!.frozen = true;
	world.entries[2]!.heard.clear();
	for (const entry of world.entries) {
		entry.heard.delete('entry-2');
	}

	await runRounds(world, 320, {milliseconds: 2000});
	t.true((world.readState()?.members[instance]?.notBefore ?? 0) > 0);
});

// Guards against steps that begin while the store cannot record them.
test('no step begins while the store is out', async t => {
	const world = build();
	await runRounds(world, 3);
	const before = world.readState();
	for (let round = 0; round < 30; round++) {
		world.clock.advance(1000);
		for (const entry of world.entries) {
			world.refreshList(entry);
			world.tick(entry);
			await nextTurn();
			world.settle(0, 'refuse');
			await nextTurn();
		}
	}

	t.deepEqual(world.readState(), before);
	t.is(world.counts.reboots, 0);
});

// Guards against a move whose pool assignment is used before it is recorded.
test('a move ends in the old pool before it begins in the new one', async t => {
	const world = build();
	await runRounds(world, 8);
	world.want('runner-2', 'reserve');
	await runRounds(world, 200, {until: () => world.readState()?.moves[0]?.phase === MovePhase.Released});
	t.true(world.entries.every(entry => entry.ledger.effectivePool('runner-2') === undefined));
	await runRounds(world, 30);
	t.true(world.entries.every(entry => entry.ledger.effectivePool('runner-2') === 'reserve'));
});

// Guards against a wave that waits for a process without a name, which never confirms.
test('no step begins while a listed entry instance has not answered', async t => {
	const world = build();
	world.addInstance({
		instance: 'entry-9', role: InstanceRole.Entry, pool: 'entry', zone: 'a', rack: 'rack-9',
	});
	const record = world.platform.get('entry-9')!;
	world.platform.set('entry-9', {...record, incarnation: unknownIncarnation});
	await runRounds(world, 60);
	t.is(world.counts.reboots, 0);
	t.is(readStep(world, StepPhase.Draining), undefined);
	world.platform.delete('entry-9');
	await runRounds(world, 90);
	t.true(world.counts.reboots > 0);
});
