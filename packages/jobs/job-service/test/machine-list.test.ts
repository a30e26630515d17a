import {createScheduler} from '@turmericbay/scheduler';
import test from 'ava';
import {createMachineList} from '../src/machine-list.js';
import type {MachineClient, MachineRecord} from '../src/ports.js';
import {MachineState} from '../src/ports.js';
import {settle} from './support/builders.js';

const createMachineClient = (records: readonly MachineRecord[]): MachineClient => ({
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

const createRecord = (overrides: Partial<MachineRecord>): MachineRecord => ({
	machine: 'm1', pool: 'pool-1', state: MachineState.Up, worker: undefined, labels: [], cpuMillis: 4000, ...overrides,
});

// Guards against maintenance of a machine on which a move has just started a worker: an older list shows it as empty.
test('a machine counts as moving until a list is requested after the newest order for it', async t => {
	let now = 1000;
	const list = createMachineList({
		machineClient: createMachineClient([createRecord({})]), scheduler: createScheduler({epoch: 1, emit: () => undefined}), clock: {now: () => now, wallNow: () => now},
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

test('a machine whose worker is not registered yet counts as moving', async t => {
	const list = createMachineList({
		machineClient: createMachineClient([createRecord({worker: 'unregistered'})]), scheduler: createScheduler({epoch: 1, emit: () => undefined}), clock: {now: () => 1000, wallNow: () => 1000},
	});
	list.refresh();
	await settle();
	t.is(list.records()[0]!.state, MachineState.Moving);
});
