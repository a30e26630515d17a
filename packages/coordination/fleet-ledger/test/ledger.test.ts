/* eslint-disable no-await-in-loop -- the events of a schedule are sequential */
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {InstanceRole} from '@turmericbay/types';
import {
	isMoveActive, isStepActive,
} from '../src/index.js';
import type {InstancePlacement, FleetState} from '../src/index.js';
import {createCluster, limits} from './support/cluster.js';
import type {Entry, Cluster} from './support/cluster.js';

const actions = [
	'complete',
	'complete',
	'complete',
	'complete',
	'round',
	'round',
	'tick',
	'tick',
	'answer',
	'answer',
	'answer',
	'answer',
	'lose',
	'refuse',
	'delay',
	'apply-delayed',
	'advance',
	'advance',
	'exchange',
	'exchange',
	'list',
	'work',
	'work',
	'work',
	'finish',
	'finish',
	'pause',
	'resume',
	'resume',
	'kill',
	'fail',
	'heal',
	'heal',
	'move',
] as const;
type Action = typeof actions[number];
type Event = [Action, number, number];

const schedules = fc.array(fc.tuple(fc.constantFrom(...actions), fc.nat(97), fc.nat(97)), {minLength: 300, maxLength: 600, size: 'max'});
const upstreams = Array.from({length: 8}, (_, index) => `runner-${index}`);
const entryNames = ['entry-0', 'entry-1', 'entry-2'];

const isSameDomain = (left: InstancePlacement, right: InstancePlacement, key: 'pool' | 'rack' | 'zone') =>
	left[key] === right[key] && (key !== 'rack' || left.zone === right.zone);

const listActive = (state: FleetState | undefined) =>
	[...state?.steps.filter(step => isStepActive(step)) ?? [], ...state?.moves.filter(move => isMoveActive(move)) ?? []];

const checkBudgets = (cluster: Cluster, previous: FleetState | undefined, next: FleetState) => {
	const wasActive = new Set(listActive(previous).map(record => record.instance));
	const unavailable = [...new Map([...listActive(next), ...next.failures].map(record => [record.instance, record])).values()];
	for (const record of listActive(next).filter(other => !wasActive.has(other.instance))) {
		const counts = (['pool', 'rack', 'zone'] as const).map(key => unavailable.filter(other => isSameDomain(record, other, key)).length);
		const allowed = [record.pool === 'orders' ? limits.pool.orders : limits.pool.reserve, limits.rack, limits.zone];
		if (counts.some((count, index) => count > allowed[index]!) || next.failures.some(failure => failure.instance === record.instance)) {
			cluster.violations.push(`planned work on ${record.instance} exceeded a budget`);
		}
	}
};

const checkPools = (cluster: Cluster) => {
	for (const instance of upstreams) {
		const pools = new Set(cluster.entries.map(entry => entry.ledger.effectivePool(instance)).filter(pool => pool !== undefined));
		if (pools.size > 1) {
			cluster.violations.push(`${instance} is in two pools`);
		}
	}
};

const beginRound = (cluster: Cluster, entry: Entry) => {
	cluster.refreshList(entry);
	for (const other of cluster.entries.filter(candidate => !candidate.isPaused)) {
		cluster.sendConfirmation(other, entry);
	}

	cluster.tick(entry);
};

const runWithoutFaults = async (cluster: Cluster, rounds: number) => {
	for (let round = 0; round < rounds; round++) {
		cluster.clock.advance(4000);
		cluster.applyDelayed();
		for (const entry of cluster.entries) {
			entry.isPaused = false;
			beginRound(cluster, entry);
		}

		while (cluster.pendingCount() > 0) {
			cluster.settleOperation(0, 'answer');
			await nextTurn();
		}
	}
};

const buildCluster = async () => {
	const cluster = createCluster();
	cluster.observeWrites((previous, next) => {
		checkBudgets(cluster, previous, next);
	});
	for (const [index, instance] of upstreams.entries()) {
		cluster.addInstance({
			instance, role: InstanceRole.Upstream, pool: index < 5 ? 'orders' : 'reserve', zone: index % 2 === 0 ? 'a' : 'b', rack: `rack-${index % 4}`,
		});
	}

	for (const instance of entryNames) {
		cluster.addInstance({
			instance, role: InstanceRole.Entry, pool: 'entry', zone: 'a', rack: 'rack-9',
		});
	}

	for (const instance of entryNames) {
		cluster.startEntry(instance);
	}

	await runWithoutFaults(cluster, 3);
	return cluster;
};

const completeRound = async (cluster: Cluster, entry: Entry) => {
	beginRound(cluster, entry);
	await nextTurn();
	while (cluster.settleFor(entry)) {
		await nextTurn();
	}
};

const applyEvent = async (cluster: Cluster, [action, first, second]: Event) => {
	const index = first % cluster.entries.length;
	const entry = cluster.entries[index]!;
	const instance = upstreams[first % upstreams.length]!;
	const unlessPaused = (run: () => void) => () => {
		if (!entry.isPaused) {
			run();
		}
	};

	const handlers: Record<Action, () => unknown> = {
		complete: async () => entry.isPaused ? undefined : completeRound(cluster, entry),
		round: unlessPaused(() => {
			beginRound(cluster, entry);
		}),
		tick: unlessPaused(() => {
			cluster.tick(entry);
		}),
		answer() {
			cluster.settleOperation(first, 'answer');
		},
		lose() {
			cluster.settleOperation(first, 'lose');
		},
		refuse() {
			cluster.settleOperation(first, 'refuse');
		},
		delay() {
			cluster.settleOperation(first, 'delay');
		},
		'apply-delayed'() {
			cluster.applyDelayed();
		},
		advance() {
			cluster.clock.advance((second % 20) * 500);
		},
		exchange: unlessPaused(() => {
			cluster.sendConfirmation(entry, cluster.entries[second % cluster.entries.length]!);
		}),
		list: unlessPaused(() => {
			cluster.refreshList(entry);
		}),
		work: unlessPaused(() => {
			cluster.startWork(entry, second);
		}),
		finish() {
			cluster.finishWork(first);
		},
		pause() {
			entry.isPaused ||= second % 3 === 0;
		},
		resume() {
			entry.isPaused = false;
		},
		kill() {
			if (second % 6 === 0) {
				cluster.killEntry(index);
			}
		},
		fail() {
			if (second % 4 === 0) {
				cluster.failedInstances.add(instance);
			}
		},
		heal() {
			if (cluster.failedInstances.delete(instance)) {
				cluster.restart(instance);
			}
		},
		move() {
			cluster.requestMove(instance, cluster.platform.get(instance)?.pool === 'reserve' ? 'orders' : 'reserve');
		},

	};
	await handlers[action]();
};

const runSchedule = async (events: Event[]) => {
	const cluster = await buildCluster();
	for (const event of events) {
		await applyEvent(cluster, event);
		await nextTurn();
		checkPools(cluster);
	}

	return cluster;
};

const parameters = {seed: 20_261_204, endOnFailure: true, includeErrorInReport: true};

// Guards against planned work that exceeds a budget, a reboot that interrupts work, and an instance used in two pools,
// under concurrent and paused proposers, failures, lost and late responses, restarts and missing peer messages.
test('no schedule exceeds a budget, reboots an instance with work or uses an instance in two pools', async t => {
	const totals = {reboots: 0, assignments: 0};
	await fc.assert(fc.asyncProperty(schedules, async events => {
		const cluster = await runSchedule(events);
		totals.reboots += cluster.counts.reboots;
		totals.assignments += cluster.counts.assignments;
		if (cluster.violations.length > 0) {
			throw new Error(cluster.violations[0]);
		}
	}), {...parameters, numRuns: 200});
	t.log(totals);
	t.true(totals.reboots > 100 && totals.assignments > 50, 'the schedules reach reboots and moves');
});

// Guards against a step or move that never finishes although all faults have ended.
test('every recorded step finishes after all faults have ended', async t => {
	let runs = 0;
	await fc.assert(fc.asyncProperty(schedules, async events => {
		const cluster = await runSchedule(events);
		cluster.failedInstances.clear();
		cluster.requestMove('runner-7', 'reserve');
		runs++;
		await runWithoutFaults(cluster, 700);
		const state = cluster.readState()!;
		const unmaintained = upstreams.filter(instance => state.members[instance]?.maintainedAt === 0);
		const open = [...listActive(state), ...state.failures, ...unmaintained];
		if (open.length > 0 || cluster.violations.length > 0) {
			throw new Error(JSON.stringify({open, faults: cluster.violations}));
		}
	}), {...parameters, numRuns: 10});
	t.is(runs, 10);
});
