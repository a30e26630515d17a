import {createScheduler} from '@turmericbay/scheduler';
import type {StoredEntry, StoreOperation} from '@turmericbay/types';
import test from 'ava';
import {createMachineList} from '../src/machine-list.js';
import {createMachineOrderGuard} from '../src/machine-order-guard.js';
import {createMaintenance} from '../src/maintenance.js';
import type {MachineClient, MachineOutcome, PlatformRecordCodec} from '../src/ports.js';
import {MachineState} from '../src/ports.js';
import {machineOrderPrefix, waveProgressPrefix} from '../src/records.js';
import {createRegistration, settle} from './support/builders.js';

const recordCodec: Pick<PlatformRecordCodec, 'decodeWave' | 'encodeWaveStatus'> = {
	decodeWave: () => ({
		wave: 1, machines: ['m1'], withinMilliseconds: 1000, maximumAtOnce: 1,
	}),
	encodeWaveStatus: ({wave, isCompleted}) => ({key: `status/${wave}`, value: String(isCompleted)}),
};

const createFixture = (outcomes: MachineOutcome[], restored: readonly StoredEntry[] = [], tookOverAt = 0) => {
	let now = 10_000;
	let commitMilliseconds = 0;
	let duringOrder: () => void = () => undefined;
	const steps: string[] = [];
	const machineClient: MachineClient = {
		async list() {
			return [{
				machine: 'm1', pool: 'pool-1', state: MachineState.Up, worker: 'w1', labels: [], cpuMillis: 4000,
			}];
		},
		async move() {
			return 'refused';
		},
		async startMaintenance() {
			steps.push('maintenance');
			duringOrder();
			return outcomes.shift() ?? 'refused';
		},
	};
	const scheduler = createScheduler({epoch: 2, emit: () => undefined});
	const worker = scheduler.registerWorker({
		registration: createRegistration(), isRegistered: true, isReconciled: true, latestLeaseExpiry: 1_000_000,
	});
	const clock = {now: () => now, wallNow: () => now};
	const commit = async (operations: readonly StoreOperation[]): Promise<void> => {
		now += commitMilliseconds;
		const [first] = operations;
		if (first?.type === 'put' && !first.key.startsWith(machineOrderPrefix)) {
			steps.push(first.value);
		}
	};

	const orderGuard = createMachineOrderGuard({
		clock, holder: 'owner', getReachedTime: () => undefined, tookOverAt, mayOrder: () => true, commit,
	});
	const maintenance = createMaintenance({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that maintenance uses.
		scheduler, machineClient, machineList: createMachineList({machineClient, scheduler, clock}), recordCodec: recordCodec as PlatformRecordCodec, clock, holder: 'owner', epoch: 2,
		orderGuard, mayOrder: () => true, commit,
		retire() {
			steps.push('retired');
		},
		log: {waveProgressed: () => undefined},
	});
	maintenance.restore(restored);
	maintenance.addWave({key: 'wave/1', value: '', modifiedRevision: 1});
	return {
		steps, worker,
		/** The next process of the worker registers before the order is answered. */
		restartDuringOrder(): void {
			duringOrder = () => {
				scheduler.registerWorker({
					registration: createRegistration({incarnation: 2}), isRegistered: true, isReconciled: true, latestLeaseExpiry: Number.NEGATIVE_INFINITY,
				});
			};
		},
		slowDownCommits(milliseconds: number): void {
			commitMilliseconds = milliseconds;
		},
		async tick(milliseconds: number): Promise<void> {
			now += milliseconds;
			maintenance.tick();
			await settle();
			await settle();
		},
	};
};

// Guards against a second maintenance of a machine, ordered by a new owner that does not know of the first.
test('an order for maintenance is stored before it is sent', async t => {
	const {steps, tick} = createFixture(['accepted']);
	await tick(1000);
	await tick(3000);
	t.deepEqual(steps, [
		'{"begun":[],"ordered":[]}', '{"begun":[],"ordered":["m1"]}', 'maintenance', 'retired', '{"begun":["m1"],"ordered":[]}',
	]);
});

// Guards against tasks that run twice: the platform also accepts a repeated order whose maintenance is already over, and then the current worker keeps running.
test('the worker is not retired if a previous owner may have sent the same order', async t => {
	const {steps, worker, tick} = createFixture(['accepted'], [{key: `${waveProgressPrefix}1`, value: '{"begun":[],"ordered":["m1"]}', modifiedRevision: 1}]);
	await tick(1000);
	await tick(3000);
	t.true(steps.includes('maintenance'));
	t.false(steps.includes('retired'));
	t.is(worker.unansweredCalls, 1);
});

// Guards against tasks that run twice after two changes of the owner: the second owner overwrote the record of the first one's order, so the third took the acceptance for its own.
test('an owner keeps the record of an order that a previous owner may have sent', async t => {
	const {steps, tick} = createFixture(['refused', 'unknown'], [{key: `${waveProgressPrefix}1`, value: '{"begun":[],"ordered":["m1"]}', modifiedRevision: 1}]);
	await tick(1000);
	await tick(3000);
	await tick(1000);
	await tick(1000);
	t.is(steps.filter(step => step === 'maintenance').length, 2);
	t.deepEqual(new Set(steps), new Set(['{"begun":[],"ordered":["m1"]}', 'maintenance']));
});

test('the worker is not retired if an earlier order had an unknown outcome', async t => {
	const {steps, tick} = createFixture(['unknown', 'accepted']);
	await tick(1000);
	await tick(3000);
	await tick(1000);
	await tick(1000);
	t.is(steps.filter(step => step === 'maintenance').length, 2);
	t.false(steps.includes('retired'));
});

// Guards against tasks that run twice: an acceptance that arrives after the next process of the worker has started counted its runs as ended.
test('the next process of a worker is not retired by an order for the machine that was sent before', async t => {
	const {steps, tick, restartDuringOrder} = createFixture(['accepted']);
	restartDuringOrder();
	await tick(1000);
	await tick(3000);
	t.true(steps.includes('maintenance'));
	t.false(steps.includes('retired'));
});

// Guards against orders of two holders for the same machine within three seconds, and against more machines in
// maintenance than a wave allows: the new owner does not know which ones the previous owner has ordered.
test('a new owner orders no maintenance before the takeover cooldown has passed', async t => {
	const {steps, tick} = createFixture(['accepted'], [], 10_000);
	await tick(1000);
	await tick(2000);
	t.false(steps.includes('maintenance'));
	await tick(1000);
	await tick(3000);
	t.true(steps.includes('maintenance'));
});

// Guards against more unavailable tasks than a step allows: an order of unknown outcome may still end the worker.
test('a withheld order does not hide an earlier one of unknown outcome', async t => {
	const {steps, worker, tick, slowDownCommits} = createFixture(['unknown']);
	await tick(1000);
	await tick(3000);
	t.true(worker.isTerminating);
	slowDownCommits(500);
	await tick(1000);
	t.is(steps.filter(step => step === 'maintenance').length, 1);
	t.true(worker.isTerminating);
});

// Guards against a worker that never gets a task again because its machine turned out not to need maintenance.
for (const outcome of ['foreign', 'invalid'] as const) {
	test(`a worker is used again after an order with the outcome ${outcome}`, async t => {
		const {worker, tick} = createFixture([outcome]);
		await tick(1000);
		await tick(3000);
		t.false(worker.isCordoned);
		t.false(worker.isTerminating);
	});
}

// Guards against a worker that never gets a task again because the accepted order was one whose maintenance is already over.
test('a worker that may have outlived an accepted order is used again once it reports', async t => {
	const {worker, tick} = createFixture(['accepted'], [{key: `${waveProgressPrefix}1`, value: '{"begun":[],"ordered":["m1"]}', modifiedRevision: 1}]);
	await tick(1000);
	await tick(3000);
	t.is(worker.unansweredCalls, 1);
	t.false(worker.isCordoned);
});
