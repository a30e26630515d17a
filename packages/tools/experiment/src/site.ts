/** A site in virtual time: instances with whole job services, the store, workers on machines, and callers. */
import {createFaultInjector, createKeyValueEngine, createMemoryStore} from '@turmericbay/fakes';
import type {Configuration, PlatformRecordCodec, ServiceLog} from '@turmericbay/job-service';
import {createJobService} from '@turmericbay/job-service';
import type {Policies, WorkerRegistration} from '@turmericbay/scheduler';
import type {
	MachineRow, Oracle, TaskWork, WorkerModel,
} from '@turmericbay/worker-model';
import {createGangs, createMachineModel, createWorkerModel} from '@turmericbay/worker-model';
import {createNetwork} from './network.js';
import {createRemoteStore} from './remote-store.js';
import type {SimulatedInstance} from './simulated-peers.js';
import {createSimulatedPeers} from './simulated-peers.js';
import {createMachineClient, createWorkerCaller} from './site-clients.js';
import type {VirtualTime} from './virtual-time.js';
import {ProcessState} from './virtual-time.js';

/** Leases of the store are looked at this often. */
const sweepMilliseconds = 20;
/** A worker that is silent leaves the list after this time; three reports of 1.5 s. */
const listedSilentMilliseconds = 4500;
/** A worker that starts shows in the list after this time at most. */
const reportLagMilliseconds = 200;
/** Wall clock at the start of virtual time, milliseconds since 1970. */
export const wallStart = 1_800_000_000_000;

const configurationKey = 'operator/configuration';
const workerPrefix = 'workers/';
const wavePrefix = 'operator/waves/';

export type SiteOptions = {
	readonly time: VirtualTime;
	readonly random: () => number;
	readonly instances: number;
	readonly policies: Policies;
	/** Machines of each pool. */
	readonly machines: ReadonlyMap<string, number>;
	readonly cpuMillis: number;
	readonly machinesPerRack: number;
	readonly leaseMilliseconds: number;
	readonly oracle: Oracle;
	readonly workOf: (task: string, run: number) => TaskWork;
	readonly log: (instance: string) => ServiceLog;
};

export type WorkerPlace = {readonly id: string; readonly machine: MachineRow; model: WorkerModel; isSilent: boolean; report: WorkerRegistration};

const encodeReport = (report: WorkerRegistration): string => JSON.stringify(report);

/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- Written by this program. */
const createRecords = (policies: () => Configuration): PlatformRecordCodec => ({
	configurationKey, workerPrefix, wavePrefix,
	decodeConfiguration: entry => ({...policies(), version: Number(entry.value)}),
	decodeWorker: entry => JSON.parse(entry.value) as WorkerRegistration,
	decodeWave: entry => JSON.parse(entry.value) as ReturnType<PlatformRecordCodec['decodeWave']>,
	encodeWaveStatus: ({wave, isCompleted}) => ({key: `status/${wave}`, value: String(isCompleted)}),
});
/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */

export type Site = ReturnType<typeof createSite>;

export const createSite = (options: SiteOptions) => {
	const {time, random, oracle} = options;
	const network = createNetwork({time, random});
	const engine = createKeyValueEngine({clock: {monotonicMilliseconds: time.now, wallMilliseconds: () => wallStart + time.now()}});
	const operator = createMemoryStore({engine, faults: createFaultInjector(), zone: 'zone'});
	const workers = new Map<string, WorkerPlace>();
	const gangs = createGangs();
	let {policies} = options;
	let version = 1;
	let workerCount = 0;

	const put = (key: string, value: string): void => {
		void operator.transact({conditions: [], operations: [{type: 'put', key, value}]});
	};

	const remove = (key: string): void => {
		void operator.transact({conditions: [], operations: [{type: 'delete', key}]});
	};

	const createModel = (id: string, machine: MachineRow): WorkerModel => createWorkerModel({
		incarnation: Math.round(wallStart + time.now()), capacity: {cpuMillis: options.cpuMillis, memoryMegabytes: 1_000_000, accelerators: 0},
		enforcesCapacity: policies.pools.get(machine.pool)?.enforcesCapacity ?? true, startedAt: time.now(), clockRate: 0.98 + (random() * 0.02),
		stopDurationMilliseconds: 200, gangTimeoutMilliseconds: 3000, checkpointIntervalMilliseconds: 2000, restoreCostMilliseconds: 600, maximumLeaseMilliseconds: 10_000,
		gangs, createWork: options.workOf,
		onEvent(event, now) {
			oracle.recordWorkerEvent(event, {worker: id, pool: machine.pool, now});
		},
	});

	const startWorker = (machine: MachineRow): string => {
		workerCount += 1;
		const id = `worker-${workerCount}`;
		const model = createModel(id, machine);
		const report: WorkerRegistration = {
			id, incarnation: model.incarnation, address: `${id}:1`, pool: machine.pool, zone: machine.zone, draining: false,
			capacity: {cpuMillis: options.cpuMillis, memoryMegabytes: 1_000_000, accelerators: 0}, labels: ['a', machine.rack],
		};
		workers.set(id, {
			id, machine, model, isSilent: false, report,
		});
		time.after(random() * reportLagMilliseconds, () => {
			if (workers.get(id)?.report === report) {
				put(workerPrefix + id, encodeReport(report));
			}
		});
		return id;
	};

	const endWorker = (id: string): void => {
		const place = workers.get(id);
		if (place) {
			place.model.crash(time.now());
			workers.delete(id);
			time.after(listedSilentMilliseconds, () => {
				remove(workerPrefix + id);
			});
		}
	};

	const machines = createMachineModel({
		moveMilliseconds: 1500, maintenanceMilliseconds: 2000,
		endWorker(machine) {
			if (machine.worker !== undefined) {
				endWorker(machine.worker);
			}
		},
		startWorker,
	});
	let machineCount = 0;
	for (const [pool, count] of options.machines) {
		for (let index = 0; index < count; index += 1) {
			machineCount += 1;
			const rack = `r1-${Math.ceil(machineCount / options.machinesPerRack)}`;
			machines.add({
				machine: `machine-${machineCount}`, pool, zone: 'zone', rack,
			}, 0);
		}
	}

	const currentConfiguration = (): Configuration => ({
		...policies, version, queuesByHost: new Map(), workspaceByApiKey: new Map(), maximumBodyBytes: 1_000_000,
	});
	put(configurationKey, '1');

	const instances = new Map<string, SimulatedInstance>();

	const startInstance = (name: string): void => {
		const process = time.createProcess(name);
		time.deliver(process, () => {
			const service = createJobService({
				instance: name, store: createRemoteStore({engine, network, time}), recordCodec: createRecords(currentConfiguration),
				peers: createSimulatedPeers({
					name, network, time, find: other => instances.get(other),
				}),
				workerClient: createWorkerCaller({network, time, workers}), adviceClient: undefined,
				machineClient: createMachineClient({
					network, time, machines, oracle,
				}),
				clock: {now: time.now, wallNow: () => wallStart + time.now() + process.wallOffset},
				random, cores: 1, workerLeaseMilliseconds: options.leaseMilliseconds, log: options.log(name),
			});
			instances.set(name, {process, service});
		});
	};

	for (let index = 1; index <= options.instances; index += 1) {
		startInstance(`instance-${index}`);
	}

	const sweep = (): void => {
		engine.expireLeases();
		machines.advance(time.now());
		for (const {model} of workers.values()) {
			if (model.getNextEventTime() <= time.now()) {
				model.advance(time.now());
			}
		}

		time.after(sweepMilliseconds, sweep);
	};

	sweep();

	return {
		network, machines, workers, instances,
		/** The instance that owns now, if one does. */
		ownerName: (): string | undefined => [...instances.values()].find(({process, service}) => process.state !== ProcessState.Killed && service.owner())?.process.name,
		setPolicies(next: Policies): void {
			policies = next;
			version += 1;
			put(configurationKey, String(version));
		},
		requestWave(wave: {readonly wave: number; readonly machines: readonly string[]; readonly withinMilliseconds: number; readonly maximumAtOnce: number}): void {
			machines.waves.set(wave.wave, new Set(wave.machines));
			oracle.recordWave(wave.wave, wave.maximumAtOnce);
			put(`${wavePrefix}${wave.wave}`, JSON.stringify(wave));
		},
		kill(name: string, downMilliseconds: number): void {
			const instance = instances.get(name);
			if (instance) {
				instance.process.state = ProcessState.Killed;
				time.after(downMilliseconds, () => {
					startInstance(name);
				});
			}
		},
		freeze(name: string, forMilliseconds: number): void {
			const instance = instances.get(name);
			if (instance?.process.state === ProcessState.Running) {
				instance.process.state = ProcessState.Frozen;
				time.after(forMilliseconds, () => {
					if (instance.process.state === ProcessState.Frozen) {
						time.thaw(instance.process);
					}
				});
			}
		},
		stop(name: string, graceMilliseconds: number, downMilliseconds: number): void {
			const instance = instances.get(name);
			if (instance) {
				time.deliver(instance.process, instance.service.handOver);
				time.after(graceMilliseconds, () => {
					this.kill(name, downMilliseconds);
				});
			}
		},
		/** The process on the machine ends; another life starts under the same name or a new one. */
		crashWorker(id: string, downMilliseconds: number, keepsName: boolean): void {
			const place = workers.get(id);
			if (!place) {
				return;
			}

			place.model.crash(time.now());
			place.isSilent = true;
			time.after(downMilliseconds, () => {
				if (workers.get(id) !== place) {
					return;
				}

				if (keepsName) {
					place.model = createModel(id, place.machine);
					place.report = {...place.report, incarnation: place.model.incarnation};
					place.isSilent = false;
					put(workerPrefix + id, encodeReport(place.report));
				} else {
					workers.delete(id);
					remove(workerPrefix + id);
					place.machine.worker = startWorker(place.machine);
				}
			});
		},
	};
};
