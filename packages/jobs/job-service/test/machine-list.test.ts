import {createScheduler} from '@turmericbay/scheduler';
import test from 'ava';
import {createMachineList} from '../src/machine-list.js';
import type {MachineRecord, MachineClient} from '../src/ports.js';
import {MachineState} from '../src/ports.js';
import {settle} from './support/builders.js';

const createService = (records: readonly MachineRecord[]): MachineClient => ({
	async list() {
		return records;
	},
	async move() {
		return 'accepted';
	},
	async startMaintenance() {
		return 'accepted';
	},
});

const record = (overrides: Partial<MachineRecord>): MachineRecord => ({
	machine: 'm1', pool: 'pickups', state: MachineState.Up, worker: undefined, labels: [], cpuMillis: 4000, ...overrides,
});

// Guards against an upkeep of a machine that a move has just filled: by the old list nothing ran on it.
test('a machine counts as moving until a list was read after the newest order for it', async t => {
	let now = 1000;
	const list = createMachineList({
		machineClient: createService([record({})]), scheduler: createScheduler({epoch: 1, emit: () => undefined}), clock: {now: () => now, wallNow: () => now},
	});
	list.refresh();
	await settle();
	t.is(list.records()[0]!.state, MachineState.Up);
	now = 1200;
	list.markOrdered('m1');
	t.is(list.records()[0]!.state, MachineState.Moving);
	now = 2000;
	list.refresh();
	await settle();
	t.is(list.records()[0]!.state, MachineState.Up);
});

test('a machine whose worker has not been heard of counts as moving', async t => {
	const list = createMachineList({
		machineClient: createService([record({worker: 'unheard'})]), scheduler: createScheduler({epoch: 1, emit: () => undefined}), clock: {now: () => 1000, wallNow: () => 1000},
	});
	list.refresh();
	await settle();
	t.is(list.records()[0]!.state, MachineState.Moving);
});
