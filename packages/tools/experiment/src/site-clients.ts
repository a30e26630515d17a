/** What an instance calls in a simulated site: workers and the machine service. */
import type {
	MachineOutcome, MachineRecord, MachineClient, WorkerCallError, WorkerClient, WorkerTarget,
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
import type {WorkerPlace} from './site.js';
import type {VirtualTime} from './virtual-time.js';

/** One way to a worker. */
const workerLatencyMilliseconds = 1;
/** The adapter's deadline of a call to a worker. */
const workerTimeoutMilliseconds = 800;
const machinesLatencyMilliseconds = 10;
const machinesTimeoutMilliseconds = 1500;
/** A waiting call looks for an end this often. */
const waitStepMilliseconds = 10;

const toError = (kind: WorkerCallErrorKind): WorkerCallError => ({kind, message: kind});

export const createWorkerCaller = (options: {readonly network: Network; readonly time: VirtualTime; readonly workers: ReadonlyMap<string, WorkerPlace>}): WorkerClient => {
	const {network, time, workers} = options;

	const call = async <Answer>(worker: WorkerTarget, timeout: number, handle: (model: WorkerModel, answer: (value: Answer) => void) => void): Promise<Result<Answer, WorkerCallError>> => {
		const outcome = await network.call<Answer>({
			service: Service.Workers, called: worker.id, latency: workerLatencyMilliseconds, timeout,
			handle(answer) {
				const place = workers.get(worker.id);
				if (place && !place.isSilent) {
					const {model} = place;
					handle(model, value => {
						// A life that has ended answers nothing more.
						if (workers.get(worker.id)?.model === model && !place.isSilent) {
							answer(value);
						}
					});
				}
			},
		});
		switch (outcome.type) {
			case 'answered': {
				return ok(outcome.answer);
			}

			case 'refused': {
				return err(toError(WorkerCallErrorKind.NotSent));
			}

			case 'timeout': {
				return err(toError(WorkerCallErrorKind.Unknown));
			}
		}
	};

	const answerOf = (model: WorkerModel) => ({clockMilliseconds: model.readClock(time.now()), incarnation: model.incarnation});

	return {
		async start({worker, task, run, leaseExpiresAt, fencingToken, checkpoint}) {
			const started = await call<{answer: StartResponse; clockMilliseconds: number; incarnation: number}>(worker, workerTimeoutMilliseconds, (model, answer) => {
				answer({
					answer: model.start({
						task, run, leaseExpiresAt, fencingToken, checkpoint,
					}, time.now()), ...answerOf(model),
				});
			});
			return started.map(({answer, ...rest}) => ({...rest, rejection: answer === 'started' ? undefined : answer}));
		},
		async stop({worker, task, run, fencingToken}) {
			const stopped = await call<{isTaken: boolean; clockMilliseconds: number; incarnation: number}>(worker, workerTimeoutMilliseconds, (model, answer) => {
				answer({isTaken: model.stop({task, run, fencingToken}, time.now()), ...answerOf(model)});
			});
			return stopped.andThen(({isTaken, ...rest}) => isTaken ? ok(rest) : err(toError(WorkerCallErrorKind.Fenced)));
		},
		async throttle({worker, task, run, percent, fencingToken}) {
			const paced = await call<{isTaken: boolean; clockMilliseconds: number; incarnation: number}>(worker, workerTimeoutMilliseconds, (model, answer) => {
				answer({
					isTaken: model.throttle({
						task, run, percent, fencingToken,
					}, time.now()), ...answerOf(model),
				});
			});
			return paced.andThen(({isTaken, ...rest}) => isTaken ? ok(rest) : err(toError(WorkerCallErrorKind.Fenced)));
		},
		async heartbeat({worker, fencingToken, acknowledgedSequence, leaseExpiresAt, waitMilliseconds}) {
			const held = await call<{report: RunReport | undefined; clockMilliseconds: number; incarnation: number}>(worker, waitMilliseconds + workerTimeoutMilliseconds, (model, answer) => {
				const waitEnd = time.now() + waitMilliseconds;
				const first = model.heartbeat({fencingToken, acknowledgedSequence, leaseExpiresAt}, time.now());
				const look = (): void => {
					model.advance(time.now());
					if (first === undefined || model.hasUnacknowledgedEnds(acknowledgedSequence) || time.now() >= waitEnd) {
						answer({report: first && model.heartbeat({fencingToken, acknowledgedSequence, leaseExpiresAt: undefined}, time.now()), ...answerOf(model)});
					} else {
						const next = Math.min(waitEnd, Math.max(time.now() + 1, Math.min(model.getNextEventTime(), time.now() + waitStepMilliseconds)));
						time.at(next, look);
					}
				};

				look();
			});
			return held.andThen(({report, ...rest}) => report ? ok({...rest, report}) : err(toError(WorkerCallErrorKind.Fenced)));
		},
		disconnect: () => undefined,
	};
};

const toOutcome = (answer: MachineResponse): MachineOutcome => answer;

export const createMachineClient = (options: {readonly network: Network; readonly time: VirtualTime; readonly machines: MachineModel; readonly oracle: Oracle}): MachineClient => {
	const {network, time, machines, oracle} = options;
	const order = async (machine: string, duty: {readonly holder: string; readonly fencingToken: number}, act: () => MachineResponse): Promise<MachineOutcome> => {
		const outcome = await network.call<MachineResponse>({
			service: Service.Machines, called: machine, latency: machinesLatencyMilliseconds, timeout: machinesTimeoutMilliseconds,
			handle(answer) {
				oracle.recordMachineOrder({machine, ...duty, now: time.now()});
				answer(act());
			},
		});
		switch (outcome.type) {
			case 'answered': {
				return toOutcome(outcome.answer);
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
				service: Service.Machines, called: '', latency: machinesLatencyMilliseconds, timeout: machinesTimeoutMilliseconds,
				handle(answer) {
					const states = new Map(Object.values(MachineState).map(state => [String(state), state]));
					answer([...machines.machines.values()].map(({machine, pool, state, worker, rack}) => ({
						machine, pool, state: states.get(state) ?? MachineState.Down, worker, labels: [rack], cpuMillis: 16_000,
					})));
				},
			});
			return outcome.type === 'answered' ? outcome.answer : undefined;
		},
		async move({machine, pool, ...duty}) {
			return order(machine, duty, () => machines.move({machine, pool}, time.now()));
		},
		async startMaintenance({machine, wave, ...duty}) {
			return order(machine, duty, () => {
				const answer = machines.maintain({machine, wave}, time.now());
				oracle.recordMaintenance([...machines.machines.values()].filter(row => row.maintenanceWave === wave).length, wave, time.now());
				return answer;
			});
		},
	};
};
