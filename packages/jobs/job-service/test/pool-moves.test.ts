/** Guards against machines of an evacuated zone that are moved into a pool for capacity that it may not use. */
import type {PoolMove} from '@turmericbay/scheduler';
import {createScheduler} from '@turmericbay/scheduler';
import test from 'ava';
import {createMachineList} from '../src/machine-list.js';
import {createMachineOrderGuard} from '../src/machine-order-guard.js';
import {createPoolMoves} from '../src/pool-moves.js';
import type {MachineClient, MachineRecord} from '../src/ports.js';
import {MachineState} from '../src/ports.js';
import {createDeclaration, createRegistration, settle} from './support/builders.js';

const createRecord = (machine: string, pool: string, worker: string | undefined): MachineRecord => ({
	machine, pool, worker, state: MachineState.Up, labels: ['r1-1'], cpuMillis: 100,
});

/** A pool whose only worker is full, and a machine of the same rack in standby. */
const createFixture = async ({spareWorker}: {readonly spareWorker?: string} = {}) => {
	let now = 10_000;
	const moves: PoolMove[] = [];
	const ordered: string[] = [];
	let stored: () => void = () => undefined;
	const machineClient: MachineClient = {
		list: async () => [createRecord('m1', 'pool-1', 'w1'), createRecord('m2', 'standby', spareWorker)],
		async move({machine}) {
			ordered.push(machine);
			return 'accepted';
		},
		startMaintenance: async () => 'refused',
	};
	const scheduler = createScheduler({epoch: 1, emit: () => undefined});
	scheduler.setPolicies({
		queues: new Map([['queue-1', {
			name: 'queue-1', pool: 'pool-1', priority: 0, maximumAttempts: 2, stretch: 2, objectiveMilliseconds: 600, advice: undefined,
		}]]),
		pools: new Map([['standby', {name: 'standby', enforcesCapacity: true, standby: true}]]), workspaces: new Map(),
	});
	scheduler.registerWorker({
		registration: createRegistration({capacity: {cpuMillis: 100, memoryMegabytes: 1000, accelerators: 0}}), isRegistered: true, isReconciled: true, latestLeaseExpiry: 1_000_000,
	});
	scheduler.addJob(createDeclaration('job', 50), {isRestored: false, now, wallNow: 0});
	const clock = {now: () => now, wallNow: () => now};
	const machineList = createMachineList({machineClient, scheduler, clock});
	machineList.refresh();
	await settle();
	const poolMoves = createPoolMoves({
		scheduler, machineClient, machineList, clock, holder: 'owner', epoch: 1, mayOrder: () => true, isReserved: () => false, retire: () => undefined,
		orderGuard: createMachineOrderGuard({
			clock, holder: 'owner', getReachedTime: () => undefined, tookOverAt: 0, mayOrder: () => true,
			async commit() {
				await new Promise<void>(resolve => {
					stored = resolve;
				});
			},
		}),
		log: {
			moveAttempted(move) {
				moves.push(move);
			},
		},
	});
	return {
		scheduler, ordered,
		async tick(): Promise<void> {
			now += 200;
			poolMoves.tick();
			await settle();
		},
		async store(): Promise<void> {
			stored();
			await settle();
			await settle();
		},
	};
};

// Guards against a fixture in which no machine would move anyway.
test('without an evacuation the machine in standby joins the full pool', async t => {
	const {ordered, tick, store} = await createFixture();
	await tick();
	await store();
	t.deepEqual(ordered, ['m2']);
});

// Guards against a machine in standby, which has no worker that names its zone.
test('a machine whose rack is in an evacuated zone does not move', async t => {
	const {scheduler, ordered, tick, store} = await createFixture();
	scheduler.setEvacuatedZones(new Set(['north']), 10_000);
	await tick();
	await store();
	t.deepEqual(ordered, []);
	scheduler.setEvacuatedZones(new Set(), 10_200);
	await tick();
	await store();
	t.deepEqual(ordered, ['m2']);
});

// Guards against a move that was decided before the evacuation was read.
test('a move is not ordered if the zone is evacuated while the order is being stored', async t => {
	const {scheduler, ordered, tick, store} = await createFixture();
	await tick();
	scheduler.setEvacuatedZones(new Set(['north']), 10_200);
	await store();
	t.deepEqual(ordered, []);
});

// Guards against tasks that are ended by a move of their machine: the worker reported a run while the order was being stored.
test('a machine is not moved if its worker turns out to have runs', async t => {
	const {scheduler, ordered, tick, store} = await createFixture({spareWorker: 'w2'});
	const worker = scheduler.registerWorker({
		registration: createRegistration({id: 'w2', pool: 'standby'}), isRegistered: true, isReconciled: true, latestLeaseExpiry: 1_000_000,
	});
	await tick();
	t.true(worker.isCordoned);
	scheduler.applyRunReport({
		worker, sentAt: 10_200, now: 10_200, report: {
			incarnation: undefined, ended: [], hasMoreEnded: false, running: [{
				task: 'job.0.0.0', run: 1, checkpoint: '', percent: 10, latencyOrCpuUsage: 0,
			}],
		},
	});
	await store();
	t.deepEqual(ordered, []);
	t.false(worker.isCordoned);
});
