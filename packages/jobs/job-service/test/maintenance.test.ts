import {createScheduler} from '@turmericbay/scheduler';
import type {StoredEntry, StoreOperation} from '@turmericbay/types';
import test from 'ava';
import {createMachineList} from '../src/machine-list.js';
import {createMachineOrderGuard} from '../src/machine-order-guard.js';
import {createMaintenance} from '../src/maintenance.js';
import type {MachineOutcome, MachineClient, PlatformRecordCodec} from '../src/ports.js';
import {MachineState} from '../src/ports.js';
import {machineOrderPrefix, waveProgressPrefix} from '../src/records.js';
import {createReport, settle} from './support/builders.js';

const records: Pick<PlatformRecordCodec, 'decodeWave' | 'encodeWaveStatus'> = {
	decodeWave: () => ({
		wave: 1, machines: ['m1'], withinMilliseconds: 1000, maximumAtOnce: 1,
	}),
	encodeWaveStatus: ({wave, isCompleted}) => ({key: `status/${wave}`, value: String(isCompleted)}),
};

const createHarness = (outcomes: MachineOutcome[], restored: readonly StoredEntry[] = [], tookOverAt = 0) => {
	let now = 10_000;
	const trail: string[] = [];
	const machines: MachineClient = {
		async list() {
			return [{
				machine: 'm1', pool: 'pickups', state: MachineState.Up, worker: 'w1', labels: [], cpuMillis: 4000,
			}];
		},
		async move() {
			return 'refused';
		},
		async startMaintenance() {
			trail.push('upkeep');
			return outcomes.shift() ?? 'refused';
		},
	};
	const scheduler = createScheduler({epoch: 2, emit: () => undefined});
	const worker = scheduler.registerWorker({
		registration: createReport(), isRegistered: true, isReconciled: true, latestLeaseExpiry: 1_000_000,
	});
	const clock = {now: () => now, wallNow: () => now};
	const commit = async (operations: readonly StoreOperation[]): Promise<void> => {
		const [first] = operations;
		if (first?.type === 'put' && !first.key.startsWith(machineOrderPrefix)) {
			trail.push(first.value);
		}
	};

	const orders = createMachineOrderGuard({
		clock, holder: 'owner', reachedBy: () => undefined, tookOverAt, mayOrder: () => true, commit,
	});
	const maintenance = createMaintenance({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The members that maintenance uses.
		scheduler, machineClient: machines, machineList: createMachineList({machineClient: machines, scheduler, clock}), recordCodec: records as PlatformRecordCodec, clock, holder: 'owner', epoch: 2,
		orderGuard: orders, mayOrder: () => true, commit,
		retire() {
			trail.push('retired');
		},
		log: {waveStep: () => undefined},
	});
	maintenance.restore(restored);
	maintenance.addWave({key: 'wave/1', value: '', modifiedRevision: 1});
	return {
		trail, worker,
		async tick(milliseconds: number): Promise<void> {
			now += milliseconds;
			maintenance.tick();
			await settle();
			await settle();
		},
	};
};

// Guards against an upkeep that a later owner orders again without knowing of the first.
test('an upkeep is stored before it is ordered', async t => {
	const {trail, tick} = createHarness(['accepted']);
	await tick(1000);
	await tick(3000);
	t.deepEqual(trail, [
		'{"begun":[],"ordered":[]}', '{"begun":[],"ordered":["m1"]}', 'upkeep', 'retired', '{"begun":["m1"],"ordered":[]}',
	]);
});

// Guards against work that is started twice: the platform also accepts an upkeep that is already over, and the worker of now runs on.
test('the worker is not given up if the upkeep may have been an earlier one', async t => {
	const {trail, worker, tick} = createHarness(['accepted'], [{key: `${waveProgressPrefix}1`, value: '{"begun":[],"ordered":["m1"]}', modifiedRevision: 1}]);
	await tick(1000);
	await tick(3000);
	t.true(trail.includes('upkeep'));
	t.false(trail.includes('retired'));
	t.is(worker.unansweredCalls, 1);
});

test('after an unknown outcome the next acceptance gives up no worker', async t => {
	const {trail, tick} = createHarness(['unknown', 'accepted']);
	await tick(1000);
	await tick(3000);
	await tick(1000);
	await tick(1000);
	t.is(trail.filter(step => step === 'upkeep').length, 2);
	t.false(trail.includes('retired'));
});

// Guards against two holders that order the same machine within three seconds, and against more machines
// down than a wave allows: those of the former owner are still down and unknown to the new one.
test('a new owner orders no upkeep in its first three seconds', async t => {
	const {trail, tick} = createHarness(['accepted'], [], 10_000);
	await tick(1000);
	await tick(2000);
	t.false(trail.includes('upkeep'));
	await tick(1000);
	await tick(3000);
	t.true(trail.includes('upkeep'));
});
