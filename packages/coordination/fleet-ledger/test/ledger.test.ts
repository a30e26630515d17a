/* eslint-disable no-await-in-loop -- a schedule is a sequence */
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {InstanceRole} from '@turmericbay/types';
import {
	isMoveActive, isStepActive,
} from '../src/index.js';
import type {InstancePlacement, FleetState} from '../src/index.js';
import {createWorld, limits} from './support/world.js';
import type {Entry, World} from './support/world.js';

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
	'freeze',
	'thaw',
	'thaw',
	'kill',
	'fail',
	'heal',
	'heal',
	'want',
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

const checkBudgets = (world: World, previous: FleetState | undefined, next: FleetState) => {
	const wasActive = new Set(listActive(previous).map(record => record.instance));
	const unavailable = [...new Map([...listActive(next), ...next.failures].map(record => [record.instance, record])).values()];
	for (const record of listActive(next).filter(other => !wasActive.has(other.instance))) {
		const counts = (['pool', 'rack', 'zone'] as const).map(key => unavailable.filter(other => isSameDomain(record, other, key)).length);
		const allowed = [record.pool === 'orders' ? limits.pool.orders : limits.pool.reserve, limits.rack, limits.zone];
		if (counts.some((count, index) => count > allowed[index]!) || next.failures.some(failure => failure.instance === record.instance)) {
			world.faults.push(`planned work on ${record.instance} overdrew a budget`);
		}
	}
};

const checkPools = (world: World) => {
	for (const instance of upstreams) {
		const pools = new Set(world.entries.map(entry => entry.ledger.effectivePool(instance)).filter(pool => pool !== undefined));
		if (pools.size > 1) {
			world.faults.push(`${instance} is in two pools`);
		}
	}
};

const beginRound = (world: World, entry: Entry) => {
	world.refreshList(entry);
	for (const other of world.entries.filter(candidate => !candidate.frozen)) {
		world.exchange(other, entry);
	}

	world.tick(entry);
};

const runHealthy = async (world: World, rounds: number) => {
	for (let round = 0; round < rounds; round++) {
		world.clock.advance(4000);
		world.applyDelayed();
		for (const entry of world.entries) {
			entry.frozen = false;
			beginRound(world, entry);
		}

		while (world.pendingCount() > 0) {
			world.settle(0, 'answer');
			await nextTurn();
		}
	}
};

const build = async () => {
	const world = createWorld();
	world.observeWrites((previous, next) => {
		checkBudgets(world, previous, next);
	});
	for (const [index, instance] of upstreams.entries()) {
		world.addInstance({
			instance, role: InstanceRole.Upstream, pool: index < 5 ? 'orders' : 'reserve', zone: index % 2 === 0 ? 'a' : 'b', rack: `rack-${index % 4}`,
		});
	}

	for (const instance of entryNames) {
		world.addInstance({
			instance, role: InstanceRole.Entry, pool: 'entry', zone: 'a', rack: 'rack-9',
		});
	}

	for (const instance of entryNames) {
		world.startEntry(instance);
	}

	await runHealthy(world, 3);
	return world;
};

const completeRound = async (world: World, entry: Entry) => {
	beginRound(world, entry);
	await nextTurn();
	while (world.settleFor(entry)) {
		await nextTurn();
	}
};

const handle = async (world: World, [action, pick, other]: Event) => {
	const index = pick % world.entries.length;
	const entry = world.entries[index]!;
	const instance = upstreams[pick % upstreams.length]!;
	const whileAwake = (run: () => void) => () => {
		if (!entry.frozen) {
			run();
		}
	};

	const handlers: Record<Action, () => unknown> = {
		complete: async () => entry.frozen ? undefined : completeRound(world, entry),
		round: whileAwake(() => {
			beginRound(world, entry);
		}),
		tick: whileAwake(() => {
			world.tick(entry);
		}),
		answer() {
			world.settle(pick, 'answer');
		},
		lose() {
			world.settle(pick, 'lose');
		},
		refuse() {
			world.settle(pick, 'refuse');
		},
		delay() {
			world.settle(pick, 'delay');
		},
		'apply-delayed'() {
			world.applyDelayed();
		},
		advance() {
			world.clock.advance((other % 20) * 500);
		},
		exchange: whileAwake(() => {
			world.exchange(entry, world.entries[other % world.entries.length]!);
		}),
		list: whileAwake(() => {
			world.refreshList(entry);
		}),
		work: whileAwake(() => {
			world.startWork(entry, other);
		}),
		finish() {
			world.finishWork(pick);
		},
		freeze() {
			entry.frozen ||= other % 3 === 0;
		},
		thaw() {
			entry.frozen = false;
		},
		kill() {
			if (other % 6 === 0) {
				world.killEntry(index);
			}
		},
		fail() {
			if (other % 4 === 0) {
				world.dead.add(instance);
			}
		},
		heal() {
			if (world.dead.delete(instance)) {
				world.restart(instance);
			}
		},
		want() {
			world.want(instance, world.platform.get(instance)?.pool === 'reserve' ? 'orders' : 'reserve');
		},

	};
	await handlers[action]();
};

const runSchedule = async (events: Event[]) => {
	const world = await build();
	for (const event of events) {
		await handle(world, event);
		await nextTurn();
		checkPools(world);
	}

	return world;
};

const parameters = {seed: 20_261_204, endOnFailure: true, includeErrorInReport: true};

// Guards against planned work that overdraws a budget, a reboot that cuts work, and an instance used in two pools,
// under racing and frozen proposers, failures, lost and late answers, restarts and missing peer messages.
test('budgets and pools hold under every schedule', async t => {
	const totals = {reboots: 0, assignments: 0};
	await fc.assert(fc.asyncProperty(schedules, async events => {
		const world = await runSchedule(events);
		totals.reboots += world.counts.reboots;
		totals.assignments += world.counts.assignments;
		if (world.faults.length > 0) {
			throw new Error(world.faults[0]);
		}
	}), {...parameters, numRuns: 200});
	t.log(totals);
	t.true(totals.reboots > 100 && totals.assignments > 50, 'the schedules reach reboots and moves');
});

// Guards against a step or move that stays unfinished for ever after a fault that was healed.
test('every recorded step ends after healing', async t => {
	let runs = 0;
	await fc.assert(fc.asyncProperty(schedules, async events => {
		const world = await runSchedule(events);
		world.dead.clear();
		world.want('runner-7', 'reserve');
		runs++;
		await runHealthy(world, 700);
		const state = world.readState()!;
		const unmaintained = upstreams.filter(instance => state.members[instance]?.maintainedAt === 0);
		const open = [...listActive(state), ...state.failures, ...unmaintained];
		if (open.length > 0 || world.faults.length > 0) {
			throw new Error(JSON.stringify({open, faults: world.faults}));
		}
	}), {...parameters, numRuns: 10});
	t.is(runs, 10);
});
