/** A single connection to a server. It is never replaced by a new one, so all its calls reach the process that accepted it. */
import type {Socket} from 'node:net';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {buildConnector, Client} from 'undici';
import type {HttpCall, HttpFailure, HttpResponse} from './http-call.js';
import {dispatchCall, HttpFailureKind} from './http-call.js';

export type HttpConnection = {
	/** Connects before the first call. Fails with `NotSent` if that is not possible. */
	connect(): Promise<Result<void, HttpFailure>>;
	/** Fails with `NotSent` once the connection has closed. Connects on the first call. A call that fails after it was sent closes the connection. */
	call(call: Omit<HttpCall, 'address'>): Promise<Result<HttpResponse, HttpFailure>>;
	close(): void;
};

export const openHttpConnection = (options: {
	readonly address: string;
	readonly connectTimeoutMilliseconds: number;
	/** The connection closes after it was idle for this time. */
	readonly keepAliveMilliseconds: number;
	/** Called once, when the connection has closed or could not be opened. */
	readonly onClosed: () => void;
}): HttpConnection => {
	const {address, connectTimeoutMilliseconds, keepAliveMilliseconds, onClosed} = options;
	const connector = buildConnector({timeout: connectTimeoutMilliseconds});
	let hasConnected = false;
	let isClosed = false;
	/** Connected before the first call, which takes it over. */
	let connectedSocket: Socket | undefined;
	const markClosed = (): void => {
		if (!isClosed) {
			isClosed = true;
			onClosed();
		}
	};

	const createClient = (): Client => {
		const client = new Client(`http://${address}`, {
			keepAliveTimeout: keepAliveMilliseconds,
			headersTimeout: 0,
			bodyTimeout: 0,
			connect(connectOptions, callback) {
				// The library replaces a closed connection by a new one, which another process may accept.
				if (hasConnected) {
					callback(new Error('the connection has closed'), null);
					return;
				}

				hasConnected = true;
				if (connectedSocket) {
					// The library expects to be called back later.
					queueMicrotask(callback.bind(undefined, null, connectedSocket));
					return;
				}

				connector(connectOptions, callback);
			},
		});
		client.on('disconnect', markClosed);
		client.on('connectionError', markClosed);
		return client;
	};

	let client: Client | undefined;
	const close = (): void => {
		markClosed();
		connectedSocket?.destroy();
		void client?.destroy();
	};

	return {
		async connect() {
			const [hostname, port] = address.split(':');
			return new Promise(resolve => {
				connector({hostname: hostname!, port: port!, protocol: 'http:'}, (error, socket) => {
					if (error) {
						markClosed();
						resolve(err({kind: HttpFailureKind.NotSent, message: error.message}));
						return;
					}

					connectedSocket = socket;
					// The server may close the connection before the first call.
					socket.on('error', markClosed);
					socket.on('end', markClosed);
					socket.on('close', markClosed);
					if (isClosed) {
						socket.destroy();
					}

					resolve(ok(undefined));
				});
			});
		},
		async call(call) {
			if (isClosed) {
				return err({kind: HttpFailureKind.NotSent, message: 'the connection has closed'});
			}

			const result = await dispatchCall((request, handler) => {
				client ??= createClient();
				return client.dispatch(request, handler);
			}, call);
			// The library closes the socket, but reports that only later.
			if (result.isErr() && result.error.kind !== HttpFailureKind.NotSent) {
				close();
			}

			return result;
		},
		close,
	};
};
