/** Clients of an instance in the simulated cluster: for workers and the machine service. */
import type {
	MachineOutcome, MachineRecord, MachineClient, WorkerCallError, WorkerClient, WorkerResponse, WorkerTarget,
} from '@turmericbay/job-service';
import {MachineState, WorkerCallErrorKind} from '@turmericbay/job-service';
import type {RunReport} from '@turmericbay/scheduler';
import type {
	MachineResponse, MachineModel, Oracle, StartResponse, WorkerModel,
} from '@turmericbay/worker-model';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Network} from './network.js';
import {Service} from './network.js';
import type {SimulatedWorker} from './simulated-cluster.js';
import type {VirtualTime} from './virtual-time.js';

/** Latency in one direction. */
const workerOneWayMilliseconds = 1;
/** Deadline of the worker adapter. */
const workerTimeoutMilliseconds = 800;
const machinesOneWayMilliseconds = 10;
const machinesTimeoutMilliseconds = 1500;
/** Interval at which a waiting heartbeat call checks for ended runs. */
const waitPollMilliseconds = 10;

/** An order that arrives later than this after it was sent was held up in the network. */
const delayedMilliseconds = 1000;

const isDelayed = (sentAt: number, now: number): boolean => now - sentAt > delayedMilliseconds;

/** On the users' platform only a run report names the worker's process. */
const describeResponse = (clockMilliseconds: number): WorkerResponse => ({clockMilliseconds, incarnation: undefined});

const toError = (kind: WorkerCallErrorKind): WorkerCallError => ({kind, message: kind});

export const createWorkerClient = (options: {readonly network: Network; readonly time: VirtualTime; readonly workers: ReadonlyMap<string, SimulatedWorker>; readonly advanceWorkers: () => void}): WorkerClient => {
	const {network, time, workers, advanceWorkers} = options;

	/** True if another worker process listens at the address. */
	const isReplaced = (target: WorkerTarget): boolean =>
		[...workers.values()].some(({id, registration, isUnreachable}) => id !== target.id && registration.address === target.address && !isUnreachable);

	/** True if the call is for another process of the worker than the current one. A call that was held up may reach the next process all the same. */
	const isMisdirected = ({incarnation}: WorkerTarget, model: WorkerModel, sentAt: number): boolean =>
		incarnation !== undefined && incarnation !== model.incarnation && !isDelayed(sentAt, time.now());

	const call = async <Answer>(worker: WorkerTarget, timeout: number, execute: (model: WorkerModel, respond: (value: Answer) => void) => void): Promise<Result<Answer, WorkerCallError>> => {
		const sentAt = time.now();
		const outcome = await network.call<Result<Answer, WorkerCallError>>({
			service: Service.Workers, callee: worker.id, latency: workerOneWayMilliseconds, timeout,
			execute(respond) {
				const simulatedWorker = workers.get(worker.id);
				// A run that is due may end the process before it reads the request.
				simulatedWorker?.model.advance(time.now());
				if (simulatedWorker?.refusesConnections) {
					respond(err(toError(WorkerCallErrorKind.NotSent)));
				} else if (simulatedWorker && !simulatedWorker.isUnreachable) {
					const {model} = simulatedWorker;
					if (isMisdirected(worker, model, sentAt)) {
						respond(err(toError(WorkerCallErrorKind.NotSent)));
						return;
					}

					execute(model, value => {
						if (simulatedWorker.refusesConnections) {
							// The connection closed when the process ended.
							respond(err(toError(WorkerCallErrorKind.Unknown)));
						} else if (workers.get(worker.id)?.model === model && !simulatedWorker.isUnreachable) {
							// A worker that crashed or restarted since the request never responds to it.
							respond(ok(value));
						}
					});
				} else if (!simulatedWorker && isReplaced(worker)) {
					respond(err(toError(WorkerCallErrorKind.Gone)));
				}
			},
		});
		switch (outcome.type) {
			case 'answered': {
				return outcome.response;
			}

			case 'refused': {
				return err(toError(WorkerCallErrorKind.NotSent));
			}

			case 'timeout': {
				return err(toError(WorkerCallErrorKind.Unknown));
			}
		}
	};

	const isRefusing = (target: WorkerTarget): boolean => workers.get(target.id)?.refusesConnections ?? false;

	const describeProcess = (model: WorkerModel) => ({clockMilliseconds: model.readClock(time.now()), incarnation: model.incarnation});

	return {
		async start({worker, task, run, leaseExpiresAt, fencingToken, checkpoint}) {
			const started = await call<{response: StartResponse; clockMilliseconds: number}>(worker, workerTimeoutMilliseconds, (model, respond) => {
				respond({
					response: model.start({
						task, run, leaseExpiresAt, fencingToken, checkpoint,
					}, time.now()), clockMilliseconds: model.readClock(time.now()),
				});
			});
			return started.map(({response, clockMilliseconds}) => ({...describeResponse(clockMilliseconds), rejection: response === 'started' ? undefined : response}));
		},
		async stop({worker, task, run, fencingToken}) {
			const sentAt = time.now();
			const stopped = await call<{isAccepted: boolean; clockMilliseconds: number}>(worker, workerTimeoutMilliseconds, (model, respond) => {
				advanceWorkers();
				respond({
					isAccepted: model.stop({
						task, run, fencingToken, isDelayed: isDelayed(sentAt, time.now()),
					}, time.now()), clockMilliseconds: model.readClock(time.now()),
				});
			});
			return stopped.andThen(({isAccepted, clockMilliseconds}) => isAccepted ? ok(describeResponse(clockMilliseconds)) : err(toError(WorkerCallErrorKind.Fenced)));
		},
		async throttle({worker, task, run, percent, fencingToken}) {
			const throttled = await call<{isAccepted: boolean; clockMilliseconds: number}>(worker, workerTimeoutMilliseconds, (model, respond) => {
				respond({
					isAccepted: model.throttle({
						task, run, percent, fencingToken,
					}, time.now()), clockMilliseconds: model.readClock(time.now()),
				});
			});
			return throttled.andThen(({isAccepted, clockMilliseconds}) => isAccepted ? ok(describeResponse(clockMilliseconds)) : err(toError(WorkerCallErrorKind.Fenced)));
		},
		async heartbeat({worker, fencingToken, acknowledgedSequence, leaseExpiresAt, waitMilliseconds}) {
			const heartbeat = await call<{report: RunReport | undefined; clockMilliseconds: number; incarnation: number}>(worker, waitMilliseconds + workerTimeoutMilliseconds, (model, respond) => {
				const waitEnd = time.now() + waitMilliseconds;
				const firstReport = model.heartbeat({fencingToken, acknowledgedSequence, leaseExpiresAt}, time.now());
				const respondOrWait = (): void => {
					model.advance(time.now());
					if (firstReport === undefined || model.hasUnacknowledgedEnds(acknowledgedSequence) || time.now() >= waitEnd || isRefusing(worker)) {
						respond({report: firstReport && model.heartbeat({fencingToken, acknowledgedSequence, leaseExpiresAt: undefined}, time.now()), ...describeProcess(model)});
					} else {
						const nextCheckAt = Math.min(waitEnd, Math.max(time.now() + 1, Math.min(model.getNextEventTime(), time.now() + waitPollMilliseconds)));
						time.scheduleAt(nextCheckAt, respondOrWait);
					}
				};

				respondOrWait();
			});
			return heartbeat.andThen(({report, ...rest}) => report ? ok({...rest, report}) : err(toError(WorkerCallErrorKind.Fenced)));
		},
		disconnect: () => undefined,
	};
};

const toOutcome = (response: MachineResponse): MachineOutcome => response;

export const createMachineClient = (options: {readonly network: Network; readonly time: VirtualTime; readonly machines: MachineModel; readonly oracle: Oracle}): MachineClient => {
	const {network, time, machines, oracle} = options;
	const callMachine = async (machine: string, ownership: {readonly holder: string; readonly fencingToken: number}, operation: (isDelayed: boolean) => MachineResponse): Promise<MachineOutcome> => {
		const sentAt = time.now();
		const outcome = await network.call<MachineResponse>({
			service: Service.Machines, callee: machine, latency: machinesOneWayMilliseconds, timeout: machinesTimeoutMilliseconds,
			execute(respond) {
				oracle.recordMachineOrder({machine, ...ownership, now: time.now()});
				respond(operation(isDelayed(sentAt, time.now())));
			},
		});
		switch (outcome.type) {
			case 'answered': {
				return toOutcome(outcome.response);
			}

			case 'refused':
			case 'timeout': {
				return 'unknown';
			}
		}
	};

	return {
		async list() {
			const outcome = await network.call<readonly MachineRecord[]>({
				service: Service.Machines, callee: '', latency: machinesOneWayMilliseconds, timeout: machinesTimeoutMilliseconds,
				execute(respond) {
					const states = new Map(Object.values(MachineState).map(state => [String(state), state]));
					respond([...machines.machines.values()].map(({machine, pool, state, worker, rack}) => ({
						machine, pool, state: states.get(state) ?? MachineState.Down, worker, labels: [rack], cpuMillis: 16_000,
					})));
				},
			});
			return outcome.type === 'answered' ? outcome.response : undefined;
		},
		async move({machine, pool, ...ownership}) {
			return callMachine(machine, ownership, isDelayed => machines.move({machine, pool, isDelayed}, time.now()));
		},
		async startMaintenance({machine, wave, ...ownership}) {
			return callMachine(machine, ownership, isDelayed => {
				const response = machines.maintain({machine, wave, isDelayed}, time.now());
				oracle.recordMaintenance([...machines.machines.values()].filter(row => row.maintenanceWave === wave).length, wave, time.now());
				return response;
			});
		},
	};
};
