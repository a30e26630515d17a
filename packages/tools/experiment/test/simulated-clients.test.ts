/** Calls to simulated workers that name the process that they are for. */
import {WorkerCallErrorKind} from '@turmericbay/job-service';
import {EndReason} from '@turmericbay/scheduler';
import {createGangs, createMachineModel, createWorkerModel} from '@turmericbay/worker-model';
import test from 'ava';
import type {NetworkFault} from '../src/network.js';
import {createNetwork, Service} from '../src/network.js';
import {createWorkerClient} from '../src/simulated-clients.js';
import type {SimulatedWorker} from '../src/simulated-cluster.js';
import {createVirtualTime} from '../src/virtual-time.js';

const formerIncarnation = 1000;
const currentIncarnation = 2000;
const resources = {cpuMillis: 1000, memoryMegabytes: 100, accelerators: 0};

/** Starts a run on a worker with a call that names an incarnation, and waits for all effects of the call. */
const startRun = async (options: {readonly incarnation: number | undefined; readonly effect?: NetworkFault['effect']}) => {
	const {incarnation, effect} = options;
	const time = createVirtualTime();
	const network = createNetwork({time, random: () => 0});
	const model = createWorkerModel({
		incarnation: currentIncarnation, capacity: resources, enforcesCapacity: true, startedAt: 0, clockRate: 1, stopDurationMilliseconds: 200, gangTimeoutMilliseconds: 3000,
		checkpointIntervalMilliseconds: 2000, restoreCostMilliseconds: 600, maximumLeaseMilliseconds: 10_000, gangs: createGangs(), onEvent: () => undefined,
		createWork: () => ({
			resources, durationMilliseconds: 60_000, outcome: EndReason.Done, longRunning: false, bestEffort: false, checkpointing: false, gangSize: undefined,
		}),
	});
	const machines = createMachineModel({
		moveMilliseconds: 1500, maintenanceMilliseconds: 2000, endWorker: () => undefined, startWorker: () => 'worker-1',
	});
	const registration = {
		id: 'worker-1', incarnation: currentIncarnation, address: 'machine-1:1', pool: 'pool', zone: 'zone', draining: false, capacity: resources, labels: [], slowStartMilliseconds: 0,
	};
	const worker: SimulatedWorker = {
		id: 'worker-1', model, isUnreachable: false, refusesConnections: false, registration, machine: machines.add({
			machine: 'machine-1', pool: 'pool', zone: 'zone', rack: 'rack',
		}, 0),
	};
	const client = createWorkerClient({
		network, time, workers: new Map([[worker.id, worker]]), advanceWorkers: () => undefined,
	});
	if (effect) {
		network.addFault({
			callers: undefined, service: Service.Workers, callees: undefined, effect, probability: 1, endsAt: 100,
		});
	}

	const pending = client.start({
		worker: {id: worker.id, address: registration.address, ...(incarnation === undefined ? {} : {incarnation})}, task: 'job.0.0.0', run: 1, payload: '',
		leaseExpiresAt: 1_000_000, fencingToken: 1, checkpoint: '', ticket: undefined,
	});
	await time.runUntil(9000);
	const started = await pending;
	return {outcome: started.isOk() ? started.value.rejection ?? 'started' : started.error.kind, running: model.countRunning()};
};

// Guards against a simulation in which calls for a former process of a worker cannot be told from others.
test('a call that names another process than the current one is not executed', async t => {
	t.deepEqual(await startRun({incarnation: formerIncarnation}), {outcome: WorkerCallErrorKind.NotSent, running: 0});
});

test('a call that names the current process, or none, is executed', async t => {
	t.deepEqual(await startRun({incarnation: currentIncarnation}), {outcome: 'started', running: 1});
	t.deepEqual(await startRun({incarnation: undefined}), {outcome: 'started', running: 1});
});

// Guards against a simulation in which a call that was held up never reaches the next process.
test('a call for a former process that is executed late reaches the current one', async t => {
	t.deepEqual(await startRun({incarnation: formerIncarnation, effect: 'late'}), {outcome: WorkerCallErrorKind.Unknown, running: 1});
});
