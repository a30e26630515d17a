/** A site in virtual time: instances with whole job services, the store, workers on machines, and callers. */
import type {KeyValueEngine} from '@turmericbay/fakes';
import {createFaultSwitches, createKeyValueEngine, createMemoryStore} from '@turmericbay/fakes';
import type {
	Configuration, JobService, OwnerRecord, PeerTransport, PlatformRecords, ServiceLog,
} from '@turmericbay/job-service';
import {createJobService} from '@turmericbay/job-service';
import type {
	JobDeclaration, JobState, Policies, WorkerReport,
} from '@turmericbay/scheduler';
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {
	MachineRow, Oracle, TaskWork, WorkerModel,
} from '@turmericbay/worker-model';
import {createGangs, createMachineModel, createWorkerModel} from '@turmericbay/worker-model';
import type {Result} from 'neverthrow';
import {err} from 'neverthrow';
import type {Network} from './network.js';
import {createNetwork, Service} from './network.js';
import {createMachineClient, createWorkerCaller} from './site-clients.js';
import type {SimulatedProcess, VirtualTime} from './virtual-time.js';
import {ProcessState} from './virtual-time.js';

/** One way to the store: the users' sheets say 4 ms an answer. */
const storeLatencyMilliseconds = 2;
/** The adapter's deadline of a call to the store. */
const storeTimeoutMilliseconds = 1000;
/** One way between zones. */
const peerLatencyMilliseconds = 1;
const peerTimeoutMilliseconds = 300;
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

export type WorkerPlace = {readonly id: string; readonly machine: MachineRow; model: WorkerModel; isSilent: boolean; report: WorkerReport};

const encodeReport = (report: WorkerReport): string => JSON.stringify(report);

/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- Written by this program. */
const createRecords = (policies: () => Configuration): PlatformRecords => ({
	configurationKey, workerPrefix, wavePrefix,
	decodeConfiguration: entry => ({...policies(), version: Number(entry.value)}),
	decodeWorker: entry => JSON.parse(entry.value) as WorkerReport,
	decodeWave: entry => JSON.parse(entry.value) as ReturnType<PlatformRecords['decodeWave']>,
	encodeWaveStatus: ({wave, isCompleted}) => ({key: `status/${wave}`, value: String(isCompleted)}),
});
/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */

const toStoreError = (type: 'refused' | 'timeout'): StoreError => type === 'refused'
	? {kind: StoreErrorKind.NotApplied, code: 'STORE_REFUSED', message: 'status 503'}
	: {kind: StoreErrorKind.Unknown, code: 'STORE_NO_ANSWER', message: 'no complete answer within the deadline'};

/** The store as one process sees it over the network. */
const createRemoteStore = (options: {readonly engine: KeyValueEngine; readonly network: Network; readonly time: VirtualTime}): KeyValueStore => {
	const {engine, network, time} = options;
	const local = createMemoryStore({engine, faults: createFaultSwitches(), zone: 'zone'});
	const call = async <Value>(act: () => Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> => {
		const outcome = await network.call<Result<Value, StoreError>>({
			service: Service.Store, called: 'store', latency: storeLatencyMilliseconds, timeout: storeTimeoutMilliseconds,
			handle(answer) {
				void act().then(answer);
			},
		});
		return outcome.type === 'answered' ? outcome.answer : err(toStoreError(outcome.type));
	};

	return {
		read: async request => call(async () => local.read(request)),
		list: async request => call(async () => local.list(request)),
		transact: async request => call(async () => local.transact(request)),
		grantLease: async request => call(async () => local.grantLease(request)),
		renewLease: async request => call(async () => local.renewLease(request)),
		revokeLease: async request => call(async () => local.revokeLease(request)),
		watch(request) {
			const owner = time.current();
			let isStopped = false;
			const deliver = (act: () => void): void => {
				if (network.isCut(owner?.name ?? '', Service.Store)) {
					// A change that does not arrive breaks the watch; the caller lists everything anew.
					time.after(storeTimeoutMilliseconds, () => {
						time.deliver(owner, () => {
							if (!isStopped) {
								isStopped = true;
								inner.stop();
								request.onEnd(toStoreError('timeout'));
							}
						});
					});
					return;
				}

				time.after(storeLatencyMilliseconds, () => {
					time.deliver(owner, () => {
						if (!isStopped) {
							act();
						}
					});
				});
			};

			const inner = local.watch({
				prefix: request.prefix,
				onChange(entries) {
					deliver(() => {
						request.onChange(entries);
					});
				},
				onDelete(keys) {
					deliver(() => {
						request.onDelete?.(keys);
					});
				},
				onStart() {
					deliver(() => {
						request.onStart?.();
					});
				},
				onEnd: request.onEnd,
			});
			return {
				stop() {
					isStopped = true;
					inner.stop();
				},
			};
		},
	};
};

export type Site = ReturnType<typeof createSite>;

export const createSite = (options: SiteOptions) => {
	const {time, random, oracle} = options;
	const network = createNetwork({time, random});
	const engine = createKeyValueEngine({clock: {monotonicMilliseconds: time.now, wallMilliseconds: () => wallStart + time.now()}});
	const operator = createMemoryStore({engine, faults: createFaultSwitches(), zone: 'zone'});
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
		bornAt: Math.round(wallStart + time.now()), capacity: {cpuMillis: options.cpuMillis, memoryMegabytes: 1_000_000, accelerators: 0},
		enforcesCapacity: policies.pools.get(machine.pool)?.enforcesCapacity ?? true, startedAt: time.now(), clockRate: 0.98 + (random() * 0.02),
		stopMilliseconds: 200, gangTimeoutMilliseconds: 3000, checkpointMilliseconds: 2000, restoreMilliseconds: 600, longestLeaseMilliseconds: 10_000,
		gangs, workOf: options.workOf,
		observe(event, now) {
			oracle.noteWorker(event, {worker: id, pool: machine.pool, now});
		},
	});

	const startWorker = (machine: MachineRow): string => {
		workerCount += 1;
		const id = `worker-${workerCount}`;
		const model = createModel(id, machine);
		const report: WorkerReport = {
			id, bornAt: model.bornAt, address: `${id}:1`, pool: machine.pool, zone: machine.zone, draining: false,
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
		moveMilliseconds: 1500, upkeepMilliseconds: 2000,
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
		...policies, version, queuesByHost: new Map(), workspaceByKey: new Map(), maximumBodyBytes: 1_000_000,
	});
	put(configurationKey, '1');

	const instances = new Map<string, {readonly process: SimulatedProcess; readonly service: JobService; readonly local: {owner: () => ReturnType<JobService['owner']>}}>();

	const createPeers = (name: string): PeerTransport => {
		const ask = async <Answer>(address: string | undefined, act: (owner: NonNullable<ReturnType<JobService['owner']>>) => Answer): Promise<Answer | undefined> => {
			if (address === undefined) {
				return undefined;
			}

			const outcome = await network.call<Answer | undefined>({
				service: Service.Peers, called: address, latency: peerLatencyMilliseconds, timeout: peerTimeoutMilliseconds,
				handle(answer) {
					const callee = instances.get(address);
					if (callee) {
						time.deliver(callee.process, () => {
							const owner = callee.local.owner();
							answer(owner && act(owner));
						});
					}
				},
			});
			return outcome.type === 'answered' ? outcome.answer : undefined;
		};

		return {
			address: name,
			createLink: ({localOwner, remoteOwner}: {localOwner: () => ReturnType<JobService['owner']>; remoteOwner: () => OwnerRecord | undefined}) => ({
				announceJob(declaration: JobDeclaration, revision: number) {
					const owner = localOwner();
					if (owner) {
						owner.addJob(declaration, revision);
					} else {
						void ask(remoteOwner()?.address, other => {
							other.addJob(declaration, revision);
						});
					}
				},
				announceCancellation(id: string) {
					const owner = localOwner();
					if (owner) {
						owner.cancel(id);
					} else {
						void ask(remoteOwner()?.address, other => {
							other.cancel(id);
						});
					}
				},
				describe: async (id: string): Promise<JobState | undefined> => localOwner()?.describe(id) ?? ask(remoteOwner()?.address, other => other.describe(id)),
				countPending: async (queue: string): Promise<number | undefined> => localOwner()?.countPending(queue) ?? ask(remoteOwner()?.address, other => other.countPending(queue)),
			}),
			serve: () => undefined,
			close: () => undefined,
		};
	};

	const startInstance = (name: string): void => {
		const process = time.createProcess(name);
		time.deliver(process, () => {
			const service = createJobService({
				instance: name, peers: createPeers(name), store: createRemoteStore({engine, network, time}), records: createRecords(currentConfiguration),
				workerClient: createWorkerCaller({network, time, workers}), advice: undefined,
				machines: createMachineClient({
					network, time, machines, oracle,
				}),
				clock: {now: time.now, wallNow: () => wallStart + time.now() + process.wallOffset},
				random, cores: 1, leaseMilliseconds: options.leaseMilliseconds, log: options.log(name),
			});
			instances.set(name, {process, service, local: {owner: service.owner}});
		});
	};

	for (let index = 1; index <= options.instances; index += 1) {
		startInstance(`instance-${index}`);
	}

	const sweep = (): void => {
		engine.expireLeases();
		machines.advance(time.now());
		for (const {model} of workers.values()) {
			if (model.nextEventAt() <= time.now()) {
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
			oracle.noteWave(wave.wave, wave.maximumAtOnce);
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
					place.report = {...place.report, bornAt: place.model.bornAt};
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
