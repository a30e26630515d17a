/** Cluster in virtual time: instances that run the complete job service, the store, and workers on machines. */
import {createFaultInjector, createKeyValueEngine, createMemoryStore} from '@turmericbay/fakes';
import type {Configuration, ServiceLog} from '@turmericbay/job-service';
import {createJobService} from '@turmericbay/job-service';
import type {Policies, WorkerRegistration} from '@turmericbay/scheduler';
import type {
	MachineRow, Oracle, TaskWork, WorkerModel,
} from '@turmericbay/worker-model';
import {createGangs, createMachineModel, createWorkerModel} from '@turmericbay/worker-model';
import type {EvacuationCheck} from './evacuation-check.js';
import {createNetwork} from './network.js';
import {createRemoteStore} from './remote-store.js';
import type {SimulatedInstance} from './simulated-peers.js';
import {createSimulatedPeers} from './simulated-peers.js';
import {createMachineClient, createWorkerClient} from './simulated-clients.js';
import {
	configurationKey, createRecordCodec, evacuationPrefix, wavePrefix, workerPrefix,
} from './simulated-records.js';
import type {VirtualTime} from './virtual-time.js';
import {ProcessState} from './virtual-time.js';

/** Interval at which store leases, machines and workers advance. */
const advanceIntervalMilliseconds = 20;
/** An unreachable worker leaves the worker list after this time: three heartbeats of 1.5 s. */
const registrationExpiryMilliseconds = 4500;
/** A started worker appears in the worker list within this time. */
const maximumRegistrationDelayMilliseconds = 200;
/** Bounds of the time that a worker process takes to be back after a task has crashed it. */
const minimumRestartMilliseconds = 1500;
const maximumRestartMilliseconds = 6000;
/** Longest lease that workers take. */
const maximumLeaseMilliseconds = 10_000;
/** Wall clock at the start of virtual time, in milliseconds since the Unix epoch. */
export const startWallMilliseconds = 1_800_000_000_000;
/** Each pool has machines in all of them, if it has enough. */
export const evacuationZones = ['zone-1', 'zone-2', 'zone-3'] as const;

export type SimulatedClusterOptions = {
	readonly time: VirtualTime;
	readonly random: () => number;
	readonly instances: number;
	readonly policies: Policies;
	/** Number of machines in each pool. */
	readonly machines: ReadonlyMap<string, number>;
	readonly cpuMillis: number;
	readonly machinesPerRack: number;
	readonly leaseMilliseconds: number;
	readonly listingBytesPerSecond: number;
	/** Undefined if no zone is evacuated; then all machines are in one zone. */
	readonly evacuation: {readonly milliseconds: number; readonly check: EvacuationCheck} | undefined;
	readonly largestDirectFleet: number;
	readonly oracle: Oracle;
	readonly createWork: (task: string, run: number) => TaskWork;
	readonly createLog: (instance: string) => ServiceLog;
};

export type SimulatedWorker = {
	readonly id: string;
	readonly machine: MachineRow;
	model: WorkerModel;
	isUnreachable: boolean;
	/** The process has ended while its machine is up, so that connections are refused. */
	refusesConnections: boolean;
	registration: WorkerRegistration;
};

/** Largest value that the users' store takes. */
const maximumValueBytes = 1_048_576;

const encodeRegistration = (registration: WorkerRegistration): string => JSON.stringify(registration);

export type SimulatedCluster = ReturnType<typeof createSimulatedCluster>;

export const createSimulatedCluster = (options: SimulatedClusterOptions) => {
	const {time, random, oracle} = options;
	const network = createNetwork({time, random});
	const engine = createKeyValueEngine({clock: {monotonicMilliseconds: time.now, wallMilliseconds: () => startWallMilliseconds + time.now()}});
	const operatorStore = createMemoryStore({engine, faults: createFaultInjector(), zone: 'zone'});
	const workers = new Map<string, SimulatedWorker>();
	const gangs = createGangs();
	let {policies} = options;
	let configurationVersion = 1;
	let startedWorkers = 0;

	const put = (key: string, value: string): void => {
		void operatorStore.transact({conditions: [], operations: [{type: 'put', key, value}]});
	};

	const remove = (key: string): void => {
		void operatorStore.transact({conditions: [], operations: [{type: 'delete', key}]});
	};

	const createModel = (id: string, machine: MachineRow): WorkerModel => createWorkerModel({
		incarnation: Math.round(startWallMilliseconds + time.now()), capacity: {cpuMillis: options.cpuMillis, memoryMegabytes: 1_000_000, accelerators: 0},
		enforcesCapacity: policies.pools.get(machine.pool)?.enforcesCapacity ?? true, startedAt: time.now(), clockRate: 0.98 + (random() * 0.02),
		stopDurationMilliseconds: 200, gangTimeoutMilliseconds: 3000, checkpointIntervalMilliseconds: 2000, restoreCostMilliseconds: 600, maximumLeaseMilliseconds,
		gangs, createWork: options.createWork,
		onEvent(event, now) {
			oracle.recordWorkerEvent(event, {worker: id, pool: machine.pool, now});
			if (event.type === 'started') {
				options.evacuation?.check.recordStart({task: event.task, zone: machine.zone, now});
			}

			if (event.type === 'crashed') {
				restartCrashedWorker(id);
			}
		},
	});

	/** Starts the worker under another name at the same address. */
	const restartCrashedWorker = (id: string): void => {
		const worker = workers.get(id);
		if (!worker) {
			return;
		}

		worker.isUnreachable = true;
		worker.refusesConnections = true;
		time.scheduleAfter(registrationExpiryMilliseconds, () => {
			remove(workerPrefix + id);
		});
		time.scheduleAfter(minimumRestartMilliseconds + (random() * (maximumRestartMilliseconds - minimumRestartMilliseconds)), () => {
			if (workers.get(id) === worker) {
				workers.delete(id);
				worker.machine.worker = startWorker(worker.machine);
			}
		});
	};

	const startWorker = (machine: MachineRow): string => {
		startedWorkers += 1;
		const id = `worker-${startedWorkers}`;
		const model = createModel(id, machine);
		const registration: WorkerRegistration = {
			id, incarnation: model.incarnation, address: `${machine.machine}:1`, pool: machine.pool, zone: machine.zone, draining: false,
			capacity: {cpuMillis: options.cpuMillis, memoryMegabytes: 1_000_000, accelerators: 0}, labels: ['a', machine.rack], slowStartMilliseconds: 0,
		};
		workers.set(id, {
			id, machine, model, isUnreachable: false, refusesConnections: false, registration,
		});
		time.scheduleAfter(random() * maximumRegistrationDelayMilliseconds, () => {
			if (workers.get(id)?.registration === registration) {
				put(workerPrefix + id, encodeRegistration(registration));
			}
		});
		return id;
	};

	/** Starts a new process of a crashed worker under its name. */
	const replaceProcess = (worker: SimulatedWorker): void => {
		worker.model = createModel(worker.id, worker.machine);
		worker.registration = {...worker.registration, incarnation: worker.model.incarnation};
		worker.isUnreachable = false;
	};

	/** An order that ends a run is judged by the state of all workers at that time. */
	const advanceWorkers = (): void => {
		for (const {model} of workers.values()) {
			model.advance(time.now());
		}
	};

	const removeWorker = (id: string, isDelayed: boolean): void => {
		const worker = workers.get(id);
		if (worker) {
			advanceWorkers();
			worker.model.terminate(isDelayed, time.now());
			workers.delete(id);
			time.scheduleAfter(registrationExpiryMilliseconds, () => {
				remove(workerPrefix + id);
			});
		}
	};

	const machines = createMachineModel({
		moveMilliseconds: 1500, maintenanceMilliseconds: 2000,
		endWorker(machine, isDelayed) {
			if (machine.worker !== undefined) {
				removeWorker(machine.worker, isDelayed);
			}
		},
		startWorker,
	});
	let machineCount = 0;
	for (const [pool, count] of options.machines) {
		for (let index = 0; index < count; index += 1) {
			machineCount += 1;
			const zone = machineCount % evacuationZones.length;
			machines.add({
				machine: `machine-${machineCount}`, pool,
				...(options.evacuation ? {zone: evacuationZones[zone]!, rack: `r${zone + 1}-1`} : {zone: 'zone', rack: `r1-${Math.ceil(machineCount / options.machinesPerRack)}`}),
			}, 0);
		}
	}

	const getConfiguration = (): Configuration => ({
		...policies, version: configurationVersion, queuesByHost: new Map(), workspaceByApiKey: new Map(), maximumBodyBytes: 1_000_000,
	});
	put(configurationKey, '1');

	const instances = new Map<string, SimulatedInstance>();

	const startInstance = (name: string): void => {
		const process = time.createProcess(name);
		time.runInProcess(process, () => {
			const service = createJobService({
				instance: name, zone: 'zone', maximumValueBytes, store: createRemoteStore({
					engine, network, time, listingBytesPerSecond: options.listingBytesPerSecond,
				}), recordCodec: createRecordCodec(getConfiguration),
				peers: createSimulatedPeers({
					name, network, time, findInstance: other => instances.get(other),
				}),
				workerClient: createWorkerClient({
					network, time, workers, advanceWorkers,
				}), adviceClient: undefined,
				machineClient: createMachineClient({
					network, time, machines, oracle,
				}),
				clock: {now: time.now, wallNow: () => startWallMilliseconds + time.now() + process.wallClockOffsetMilliseconds},
				random, cores: 1, largestDirectFleet: options.largestDirectFleet, workerLeaseMilliseconds: options.leaseMilliseconds, maximumLeaseMilliseconds, evacuationMilliseconds: options.evacuation?.milliseconds, log: options.createLog(name),
			});
			instances.set(name, {process, service});
		});
	};

	for (let index = 1; index <= options.instances; index += 1) {
		startInstance(`instance-${index}`);
	}

	const advanceModels = (): void => {
		engine.expireLeases();
		machines.advance(time.now());
		for (const {model} of workers.values()) {
			if (model.getNextEventTime() <= time.now()) {
				model.advance(time.now());
			}
		}

		time.scheduleAfter(advanceIntervalMilliseconds, advanceModels);
	};

	advanceModels();

	return {
		network, machines, workers, instances,
		/** Returns the instance that is the owner of the jobs, if there is one. */
		getOwnerName: (): string | undefined => [...instances.values()].find(({process, service}) => process.state !== ProcessState.Killed && service.owner())?.process.name,
		setPolicies(next: Policies): void {
			policies = next;
			configurationVersion += 1;
			put(configurationKey, String(configurationVersion));
		},
		requestWave(wave: {readonly wave: number; readonly machines: readonly string[]; readonly withinMilliseconds: number; readonly maximumAtOnce: number}): void {
			machines.waves.set(wave.wave, new Set(wave.machines));
			oracle.recordWave(wave.wave, wave.maximumAtOnce);
			put(`${wavePrefix}${wave.wave}`, JSON.stringify(wave));
		},
		evacuateZone(zone: string, milliseconds: number): void {
			put(evacuationPrefix + zone, '{}');
			options.evacuation?.check.recordRequest(zone, time.now());
			time.scheduleAfter(milliseconds, () => {
				remove(evacuationPrefix + zone);
				options.evacuation?.check.recordCancellation(zone);
			});
		},
		kill(name: string, downMilliseconds: number): void {
			const instance = instances.get(name);
			if (instance) {
				instance.process.state = ProcessState.Killed;
				time.scheduleAfter(downMilliseconds, () => {
					startInstance(name);
				});
			}
		},
		pause(name: string, pauseMilliseconds: number): void {
			const instance = instances.get(name);
			if (instance?.process.state === ProcessState.Running) {
				instance.process.state = ProcessState.Paused;
				time.scheduleAfter(pauseMilliseconds, () => {
					if (instance.process.state === ProcessState.Paused) {
						time.resume(instance.process);
					}
				});
			}
		},
		stop(name: string, graceMilliseconds: number, downMilliseconds: number): void {
			const instance = instances.get(name);
			if (instance) {
				time.runInProcess(instance.process, instance.service.handOver);
				time.scheduleAfter(graceMilliseconds, () => {
					this.kill(name, downMilliseconds);
				});
			}
		},
		/** Crashes the worker process; the machine starts it again later, under the same name or a new one. */
		crashWorker(id: string, downMilliseconds: number, keepsName: boolean): void {
			const worker = workers.get(id);
			if (!worker) {
				return;
			}

			worker.model.crash(time.now());
			worker.isUnreachable = true;
			time.scheduleAfter(downMilliseconds, () => {
				if (workers.get(id) !== worker) {
					return;
				}

				if (keepsName) {
					replaceProcess(worker);
					put(workerPrefix + id, encodeRegistration(worker.registration));
				} else {
					workers.delete(id);
					remove(workerPrefix + id);
					worker.machine.worker = startWorker(worker.machine);
				}
			});
		},
		/** Crashes the worker process. The next one answers under the same name before its entry in the worker list is updated. */
		restartWorker(id: string, downMilliseconds: number, registrationDelayMilliseconds: number): void {
			const worker = workers.get(id);
			if (!worker || worker.isUnreachable) {
				return;
			}

			worker.model.crash(time.now());
			worker.isUnreachable = true;
			time.scheduleAfter(downMilliseconds, () => {
				if (workers.get(id) !== worker) {
					return;
				}

				replaceProcess(worker);
				const {registration} = worker;
				time.scheduleAfter(registrationDelayMilliseconds, () => {
					if (workers.get(id)?.registration === registration) {
						put(workerPrefix + id, encodeRegistration(registration));
					}
				});
			});
		},
	};
};
