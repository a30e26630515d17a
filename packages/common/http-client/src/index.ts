/** HTTP/1.1 client with a deadline for each call. */
import type {Result} from 'neverthrow';
import {Pool} from 'undici';
import type {HttpConnection} from './connection.js';
import {openHttpConnection} from './connection.js';
import type {HttpCall, HttpFailure, HttpResponse} from './http-call.js';
import {dispatchCall} from './http-call.js';

export type {HttpConnection} from './connection.js';
export type {ConnectionPool, IdentifyProcess, PooledConnection} from './connection-pool.js';
export {createConnectionPool} from './connection-pool.js';
export type {HttpCall, HttpFailure, HttpResponse} from './http-call.js';
export {HttpFailureKind} from './http-call.js';

export type HttpClient = {
	call(call: HttpCall): Promise<Result<HttpResponse, HttpFailure>>;
	/** A connection of its own, which the other calls do not use. */
	openConnection(options: {readonly address: string; readonly onClosed: () => void}): HttpConnection;
	close(): void;
};

export type HttpClientOptions = {
	/** Maximum number of connections to one address for `call`. */
	readonly connections: number;
	/** Shorter than the deadlines of the calls, so that a failed connect is distinguished from a late response. */
	readonly connectTimeoutMilliseconds: number;
	/** Idle connections are closed after this time. */
	readonly keepAliveMilliseconds: number;
};

export const createHttpClient = (options: HttpClientOptions): HttpClient => {
	const pools = new Map<string, Pool>();
	/** Connections opened by themselves. */
	const connections = new Set<HttpConnection>();
	const getPool = (address: string): Pool => {
		let pool = pools.get(address);
		if (pool === undefined) {
			pool = new Pool(`http://${address}`, {
				connections: options.connections,
				connect: {timeout: options.connectTimeoutMilliseconds},
				keepAliveTimeout: options.keepAliveMilliseconds,
				// The deadline of each call replaces the coarse timeouts of the library.
				headersTimeout: 0,
				bodyTimeout: 0,
			});
			pools.set(address, pool);
		}

		return pool;
	};

	return {
		async call({address, ...call}) {
			return dispatchCall((request, handler) => getPool(address).dispatch(request, handler), call);
		},
		openConnection({address, onClosed}) {
			const connection = openHttpConnection({
				address, connectTimeoutMilliseconds: options.connectTimeoutMilliseconds, keepAliveMilliseconds: options.keepAliveMilliseconds,
				onClosed() {
					connections.delete(connection);
					onClosed();
				},
			});
			connections.add(connection);
			return connection;
		},
		close() {
			for (const pool of pools.values()) {
				void pool.destroy();
			}

			pools.clear();

			for (const connection of connections) {
				connection.close();
			}
		},
	};
};

/** Parses JSON; undefined if the text is not JSON. */
export const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
