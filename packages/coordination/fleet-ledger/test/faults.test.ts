/* eslint-disable no-await-in-loop -- the steps of each case are sequential */
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {InstanceRole, unknownIncarnation} from '@turmericbay/types';
import {MovePhase, StepPhase} from '../src/index.js';
import {createCluster, longestRunMilliseconds} from './support/cluster.js';
import type {Entry, Cluster} from './support/cluster.js';

const buildCluster = () => {
	const cluster = createCluster();
	for (const index of [0, 1, 2, 3]) {
		cluster.addInstance({
			instance: `runner-${index}`, role: InstanceRole.Upstream, pool: 'orders', zone: 'a', rack: `rack-${index}`,
		});
	}

	for (const instance of ['entry-0', 'entry-1', 'entry-2']) {
		cluster.addInstance({
			instance, role: InstanceRole.Entry, pool: 'entry', zone: 'a', rack: 'rack-9',
		});
		cluster.startEntry(instance);
	}

	return cluster;
};

/** Ticks each running entry instance once per round, after advancing the clock, and completes its operations. */
const runRounds = async (cluster: Cluster, rounds: number, options: {milliseconds?: number; only?: Entry; until?: () => boolean} = {}) => {
	for (let round = 0; round < rounds && !options.until?.(); round++) {
		cluster.clock.advance(options.milliseconds ?? 1000);
		for (const entry of cluster.entries.filter(other => !other.isPaused && (options.only ?? other) === other)) {
			cluster.refreshList(entry);
			for (const other of cluster.entries.filter(candidate => !candidate.isPaused)) {
				cluster.sendConfirmation(other, entry);
			}

			cluster.tick(entry);
			await nextTurn();
			while (cluster.settleFor(entry)) {
				await nextTurn();
			}
		}
	}
};

const readStep = (cluster: Cluster, phase: StepPhase) => cluster.readState()?.steps.find(step => step.phase === phase);
const hasStepIn = (cluster: Cluster, phase: StepPhase) => () => readStep(cluster, phase) !== undefined;

/** Sends work of the longest run time from one entry instance to every runner, once it may route to them. */
const occupyRunners = async (cluster: Cluster, index: number) => {
	const entry = cluster.entries[index]!;
	await runRounds(cluster, 60, {until: () => entry.ledger.effectivePool('runner-3') !== undefined});
	for (const pick of [0, 1, 2, 3]) {
		cluster.startWork(entry, pick, longestRunMilliseconds);
	}
};

// Guards against a reboot while an upstream still runs work of an ended entry instance.
test('work of a killed entry instance ends before its upstream reboots', async t => {
	const cluster = buildCluster();
	await occupyRunners(cluster, 2);
	await runRounds(cluster, 60, {until: hasStepIn(cluster, StepPhase.Draining)});
	const {reboots} = cluster.counts;
	cluster.killEntry(2);
	await runRounds(cluster, 90);
	t.deepEqual(cluster.violations, []);
	t.true(cluster.counts.reboots > reboots);
});

// Guards against a second executor while the first is paused and may send its reboot request when it resumes.
test('a paused executor keeps its step until it is proven gone', async t => {
	const cluster = buildCluster();
	const first = cluster.entries[0]!;
	await runRounds(cluster, 60, {until: hasStepIn(cluster, StepPhase.Rebooting)});
	const step = readStep(cluster, StepPhase.Rebooting)!;
	first.isPaused = true;
	await runRounds(cluster, 30);
	t.deepEqual(readStep(cluster, StepPhase.Rebooting)?.executor, step.executor);
	t.is(cluster.counts.reboots, 0);
	first.isPaused = false;
	await runRounds(cluster, 30);
	t.true(cluster.counts.reboots > 0);
	t.deepEqual(cluster.violations, []);
});

// Guards against a step that waits forever for an executor that has ended.
test('a step passes to another executor once the first is proven gone', async t => {
	const cluster = buildCluster();
	await runRounds(cluster, 60, {until: hasStepIn(cluster, StepPhase.Rebooting)});
	const {instance} = readStep(cluster, StepPhase.Rebooting)!;
	cluster.killEntry(0);
	await runRounds(cluster, 60);
	t.true((cluster.readState()?.members[instance]?.maintainedAt ?? 0) > 0);
});

// Guards against a starting entry instance that sends work before the others wait for its confirmations.
test('a starting entry instance gets no pool until others must wait for its confirmation', async t => {
	const cluster = buildCluster();
	await runRounds(cluster, 10);
	cluster.killEntry(2);
	const fresh = cluster.entries.at(-1)!;
	await runRounds(cluster, 1, {only: fresh});
	t.is(fresh.ledger.effectivePool('runner-3'), undefined);
	await runRounds(cluster, 8);
	t.is(fresh.ledger.effectivePool('runner-3'), 'orders');
});

// Guards against planned work that continues after failures have used up the budget.
test('a failure cancels a drain that has not reached the platform', async t => {
	const cluster = buildCluster();
	await occupyRunners(cluster, 1);
	await runRounds(cluster, 60, {until: hasStepIn(cluster, StepPhase.Draining)});
	const {instance} = readStep(cluster, StepPhase.Draining)!;
	const other = instance === 'runner-3' ? 'runner-2' : 'runner-3';
	cluster.failedInstances.add(other);
	const {reboots} = cluster.counts;
	await runRounds(cluster, 3, {only: cluster.entries[0]!});
	t.is(readStep(cluster, StepPhase.Draining), undefined);
	t.is(cluster.counts.reboots, reboots);
	t.deepEqual(cluster.readState()?.failures.map(failure => failure.instance), [other]);
});

// Guards against an entry instance that never confirms and thereby blocks the whole pool.
test('a drain that is not confirmed is cancelled and postponed', async t => {
	const cluster = buildCluster();
	await runRounds(cluster, 60, {until: hasStepIn(cluster, StepPhase.Draining)});
	const {instance} = readStep(cluster, StepPhase.Draining)!;
	cluster.entries[2]!.isPaused = true;
	cluster.entries[2]!.receivedConfirmations.clear();
	for (const entry of cluster.entries) {
		entry.receivedConfirmations.delete('entry-2');
	}

	await runRounds(cluster, 320, {milliseconds: 2000});
	t.true((cluster.readState()?.members[instance]?.notBefore ?? 0) > 0);
});

// Guards against steps that begin while the store cannot record them.
test('no step begins during an outage of the store', async t => {
	const cluster = buildCluster();
	await runRounds(cluster, 3);
	const before = cluster.readState();
	for (let round = 0; round < 30; round++) {
		cluster.clock.advance(1000);
		for (const entry of cluster.entries) {
			cluster.refreshList(entry);
			cluster.tick(entry);
			await nextTurn();
			cluster.settleOperation(0, 'refuse');
			await nextTurn();
		}
	}

	t.deepEqual(cluster.readState(), before);
	t.is(cluster.counts.reboots, 0);
});

// Guards against a move whose pool assignment is used before it is recorded.
test('a moved instance leaves the old pool before it joins the new one', async t => {
	const cluster = buildCluster();
	await runRounds(cluster, 8);
	cluster.requestMove('runner-2', 'reserve');
	await runRounds(cluster, 200, {until: () => cluster.readState()?.moves[0]?.phase === MovePhase.Released});
	t.true(cluster.entries.every(entry => entry.ledger.effectivePool('runner-2') === undefined));
	await runRounds(cluster, 30);
	t.true(cluster.entries.every(entry => entry.ledger.effectivePool('runner-2') === 'reserve'));
});

// Guards against a drain that waits for a process of unknown incarnation, which never confirms.
test('no step begins while the incarnation of a listed entry instance is unknown', async t => {
	const cluster = buildCluster();
	cluster.addInstance({
		instance: 'entry-9', role: InstanceRole.Entry, pool: 'entry', zone: 'a', rack: 'rack-9',
	});
	const record = cluster.platform.get('entry-9')!;
	cluster.platform.set('entry-9', {...record, incarnation: unknownIncarnation});
	await runRounds(cluster, 60);
	t.is(cluster.counts.reboots, 0);
	t.is(readStep(cluster, StepPhase.Draining), undefined);
	cluster.platform.delete('entry-9');
	await runRounds(cluster, 90);
	t.true(cluster.counts.reboots > 0);
});
