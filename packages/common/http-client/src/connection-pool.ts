/**
 * Connections to the address of a server whose process may be replaced by another one. A connection
 * ends with its process, so a call that is meant for one process is sent on a connection on which
 * that process has answered. If the server closes each connection after a response, it is sent on
 * one that was open before the process answered on another: only that process or an earlier one,
 * which has ended, can have accepted it.
 */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {HttpConnection} from './connection.js';
import type {HttpCall, HttpFailure, HttpResponse} from './http-call.js';
import {HttpFailureKind} from './http-call.js';

/** Asks on a new connection which process answers there, by a call that is harmless to any of them. */
export type IdentifyProcess = (connection: HttpConnection, timeoutMilliseconds: number) => Promise<Result<number | undefined, HttpFailure>>;

/** A connection that is reserved for one call. */
export type PooledConnection = {
	readonly connection: HttpConnection;
	/** Fails with `NotSent` if the connection has closed since its last response; then `isStale` is true, and another connection can be acquired for the call. */
	call(call: Omit<HttpCall, 'address'>): Promise<Result<HttpResponse, HttpFailure>>;
	isStale(): boolean;
	/** The process that the connection reaches; undefined if that is not known. */
	process(): number | undefined;
	setProcess(process: number | undefined): void;
	/** Returns the connection to the pool. */
	release(): void;
};

export type ConnectionPool = {
	/** Reserves a connection to `process`, or to any process if that is undefined. Nothing of the intended call has been sent if it fails. */
	acquire(options: {readonly process: number | undefined; readonly timeoutMilliseconds: number; readonly identify: IdentifyProcess}): Promise<Result<PooledConnection, HttpFailure>>;
	/** Ends the calls on its connections, and those that wait for one. */
	close(): void;
};

type Entry = {readonly connection: HttpConnection; process: number | undefined; isReserved: boolean; responses: number; isStale: boolean};

type Identification = {readonly process: number; readonly deadline: number; readonly identify: IdentifyProcess};

const notSent = (message: string): HttpFailure => ({kind: HttpFailureKind.NotSent, message});

export const createConnectionPool = (options: {
	readonly open: (onClosed: () => void) => HttpConnection;
	readonly maximumConnections: number;
	/** An identification may outlast the call that needed it, so that the next call finds the process of a slow server known. */
	readonly identificationTimeoutMilliseconds: number;
	/** Monotonic clock, in milliseconds. */
	readonly now: () => number;
}): ConnectionPool => {
	const {open, maximumConnections, identificationTimeoutMilliseconds, now} = options;
	const entries = new Set<Entry>();
	/** Calls that wait for a connection, the longest waiting first. */
	const waiting = new Set<() => void>();
	let isClosed = false;
	/** False if the server has closed a connection directly after a response, until one carries a second response. */
	let keepsConnections = true;

	const wakeNext = (): void => {
		const [wake] = waiting;
		wake?.();
	};

	const waitForChange = async (timeoutMilliseconds: number): Promise<void> => {
		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, timeoutMilliseconds);
			waiting.add(wake);
		});
	};

	const addConnection = (): Entry => {
		const connection = open(() => {
			entries.delete(entry);
			wakeNext();
		});
		const entry: Entry = {
			connection, process: undefined, isReserved: true, responses: 0, isStale: false,
		};
		entries.add(entry);
		return entry;
	};

	const release = (entry: Entry): void => {
		entry.isReserved = false;
		wakeNext();
	};

	const reserve = (entry: Entry): PooledConnection => {
		entry.isReserved = true;
		return {
			connection: entry.connection,
			async call(call) {
				const result = await entry.connection.call(call);
				if (result.isOk()) {
					entry.responses += 1;
					keepsConnections ||= entry.responses > 1;
				} else if (result.error.kind === HttpFailureKind.NotSent && entry.responses > 0) {
					entry.isStale = true;
					keepsConnections &&= entry.responses > 1;
				}

				return result;
			},
			isStale: () => entry.isStale,
			process: () => entry.process,
			setProcess(process) {
				entry.process = process;
			},
			release() {
				release(entry);
			},
		};
	};

	const findIdle = (isSuitable: (entry: Entry) => boolean): Entry | undefined => [...entries].find(entry => !entry.isReserved && isSuitable(entry));

	const identifyOn = async (entry: Entry, identify: IdentifyProcess): Promise<Result<number | undefined, HttpFailure>> => {
		const identified = await identify(entry.connection, identificationTimeoutMilliseconds);
		entry.responses += identified.isOk() ? 1 : 0;
		return identified;
	};

	/** Opens the connection, then asks on another one. */
	const identifyBeside = async (entry: Entry, identify: IdentifyProcess): Promise<Result<number | undefined, HttpFailure>> => {
		const connected = await entry.connection.connect();
		if (connected.isErr()) {
			return err(connected.error);
		}

		const other = open(() => undefined);
		const identified = await identify(other, identificationTimeoutMilliseconds);
		other.close();
		return identified;
	};

	/** Hands the connection out if `process` has answered on it by the deadline. Otherwise it returns to the pool once any process has. */
	const identifyUntil = async (entry: Entry, {process, deadline, identify}: Identification): Promise<Result<PooledConnection, HttpFailure>> =>
		new Promise(resolve => {
			let isLate = false;
			const timer = setTimeout(() => {
				isLate = true;
				resolve(err(notSent('the process behind the address was not known before the deadline')));
			}, Math.max(1, deadline - now()));
			const finish = async (): Promise<void> => {
				const identified = await (keepsConnections ? identifyOn : identifyBeside)(entry, identify);
				clearTimeout(timer);
				if (identified.isErr()) {
					entry.connection.close();
					resolve(err(notSent(`the process behind the address is not known: ${identified.error.message}`)));
					return;
				}

				entry.process = identified.value;
				if (!isLate && entry.process === process) {
					resolve(ok(reserve(entry)));
					return;
				}

				release(entry);
				resolve(err(notSent('another process answers at the address')));
			};

			void finish();
		});

	return {
		async acquire({process, timeoutMilliseconds, identify}) {
			const deadline = now() + timeoutMilliseconds;
			for (;;) {
				if (isClosed) {
					return err(notSent('the pool has closed'));
				}

				const idle = findIdle(entry => process === undefined || entry.process === process);
				if (idle) {
					return ok(reserve(idle));
				}

				// A connection to another process would otherwise take the place of a new one.
				if (entries.size >= maximumConnections) {
					findIdle(() => true)?.connection.close();
				}

				if (entries.size < maximumConnections) {
					const added = addConnection();
					if (process === undefined) {
						return ok(reserve(added));
					}

					return identifyUntil(added, {process, deadline, identify});
				}

				if (now() >= deadline) {
					return err(notSent('no connection was free before the deadline'));
				}

				// eslint-disable-next-line no-await-in-loop -- Until a connection is free.
				await waitForChange(Math.max(1, deadline - now()));
			}
		},
		close() {
			isClosed = true;
			for (const {connection} of entries) {
				connection.close();
			}

			for (const wake of waiting) {
				wake();
			}
		},
	};
};
