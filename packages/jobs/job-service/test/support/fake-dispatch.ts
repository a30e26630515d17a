/** Fakes for the tests of worker calls through dispatchers. */
import {mock} from 'node:test';
import type {Result} from 'neverthrow';
import {ok} from 'neverthrow';
import type {OpenDispatchChannel} from '../../src/dispatch-channel.js';
import {createDispatchServer} from '../../src/dispatch-server.js';
import {createOwnerDispatch} from '../../src/owner-dispatch.js';
import type {WorkerClient} from '../../src/ports.js';
import {settle} from './builders.js';

export const target = {id: 'w1', address: '10.0.0.1:80'};
export const startCall = {
	worker: target, task: 'job.0.0.0', run: 1, payload: '', leaseExpiresAt: 3500, fencingToken: 7, checkpoint: '', ticket: undefined,
};
export const heartbeatCall = {
	worker: target, fencingToken: 7, acknowledgedSequence: 0, leaseExpiresAt: 3500, waitMilliseconds: 900,
};

export const succeeds = async (call: Promise<Result<unknown, unknown>>): Promise<boolean> => {
	const result = await call;
	return result.isOk();
};

/** Replaces the timers of the process; tests that use it run one at a time. */
export const createFakeClock = () => {
	mock.timers.reset();
	mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	let now = 1000;
	let suspended = 0;
	return {
		clock: {now: () => now, wallNow: () => now + suspended},
		/** Time that only the wall clock counts. */
		suspend(milliseconds: number): void {
			suspended += milliseconds;
		},
		async advance(milliseconds: number): Promise<void> {
			for (let elapsed = 0; elapsed < milliseconds; elapsed += 1) {
				now += 1;
				mock.timers.tick(1);
				// eslint-disable-next-line no-await-in-loop -- One millisecond after the other.
				await settle();
			}
		},
	};
};

/** Records its calls; heartbeats are answered only if `answersHeartbeats` is set. */
export const createFakeWorkerClient = (options: {readonly answersHeartbeats?: boolean} = {}) => {
	const calls: string[] = [];
	const response = {clockMilliseconds: 5, incarnation: 1};
	const client: WorkerClient = {
		async start({task, run}) {
			calls.push(`start ${task}#${run}`);
			return ok({...response, rejection: undefined});
		},
		async stop({task, run}) {
			calls.push(`stop ${task}#${run}`);
			return ok(response);
		},
		async throttle({percent}) {
			calls.push(`throttle ${percent}`);
			return ok(response);
		},
		async heartbeat({waitMilliseconds}) {
			calls.push(`heartbeat ${waitMilliseconds}`);
			if (options.answersHeartbeats === false) {
				return new Promise(() => {
					// Never answered.
				});
			}

			return ok({
				...response, report: {
					incarnation: 1, running: [], ended: [], hasMoreEnded: false,
				},
			});
		},
		disconnect: () => undefined,
	};
	return {client, calls};
};

/** An owner with 65 workers of one zone, and one dispatcher. Links between them can be cut in one direction. */
export const createFakeDispatch = (options: {readonly workers?: number; readonly answersHeartbeats?: boolean} = {}) => {
	const {workers = 65, answersHeartbeats = true} = options;
	const {clock, advance} = createFakeClock();
	const direct = createFakeWorkerClient();
	const remote = createFakeWorkerClient({answersHeartbeats});
	const cut = {toDispatcher: false, toOwner: false};
	const events: string[] = [];
	let server = createDispatchServer({workerClient: remote.client, clock, onConnectionClosed: () => undefined});
	let sendToOwner: (line: string) => void = () => undefined;
	let closeOwnerEnd: () => void = () => undefined;

	const openChannel: OpenDispatchChannel = ({epoch, onLine, onClosed}) => {
		let isOpen = true;
		const close = (): void => {
			if (isOpen) {
				isOpen = false;
				onClosed('the connection was closed');
			}
		};

		sendToOwner = line => {
			queueMicrotask(() => {
				if (isOpen && !cut.toOwner) {
					onLine(line);
				}
			});
		};

		closeOwnerEnd = close;
		const handlers = server.accept(epoch, {
			send: sendToOwner, bufferedBytes: () => 0, close() {
				queueMicrotask(() => {
					if (!cut.toOwner) {
						close();
					}
				});
			},
		});
		if (!handlers) {
			queueMicrotask(close);
		}

		return {
			send(line) {
				queueMicrotask(() => {
					if (!cut.toDispatcher) {
						handlers?.onLine(line);
					}
				});
			},
			bufferedBytes: () => 0,
			close() {
				isOpen = false;
				queueMicrotask(() => {
					if (!cut.toDispatcher) {
						handlers?.onClosed('the connection was closed');
					}
				});
			},
		};
	};

	const workerTable = new Map(Array.from({length: workers}, (_, index) => [`w${index + 1}`, {registration: {zone: 'north'}}]));
	const createOwner = (epoch: number) => createOwnerDispatch({
		epoch, instance: 'owner', workerClient: direct.client, openDispatchChannel: openChannel, clock,
		workers: workerTable,
		log: {
			dispatcherGained(name) {
				events.push(`gained ${name}`);
			},
			dispatcherLost(name, reason) {
				events.push(`lost ${name}: ${reason}`);
			},
			workerCallsCounted: () => undefined, dispatchersCounted: () => undefined,
		},
	});
	const owner = createOwner(7);
	const register = (startedAt = 1): void => {
		owner.register({
			name: 'd1', address: '10.0.1.1:80', zone: 'north', cores: 1, startedAt,
		});
	};

	return {
		advance, direct, remote, cut, events, owner, createOwner, register, workerTable,
		/** Registers the dispatcher and waits for the connection. */
		async connect(): Promise<void> {
			register();
			await advance(60);
		},
		observeEpoch(epoch: number): void {
			server.observeEpoch(epoch);
		},
		stopDispatcher(): void {
			server.leave();
		},
		sendToOwner(line: string): void {
			sendToOwner(line);
		},
		/** Ends the dispatcher's process and starts it again. */
		restartDispatcher(): void {
			closeOwnerEnd();
			server = createDispatchServer({workerClient: remote.client, clock, onConnectionClosed: () => undefined});
		},
	};
};
