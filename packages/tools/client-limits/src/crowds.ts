/** Clients that do not behave. Each crowd is a set of TCP connections to one port. */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

export type Target = {readonly host: string; readonly port: number};

export type Crowd = {
	readonly connections: number;
	/** Opens the connections, which begin to send at once unless the crowd is simultaneous. */
	open(hasEnded: () => boolean): Promise<void>;
	/** Resolves once the crowd has sent everything, the server takes nothing more, or the process has ended. Its connections stay open. */
	send(hasEnded: () => boolean): Promise<void>;
	/** Bytes that the connections have handed to the operating system. */
	sentBytes(): number;
	close(): void;
};

/** Connections that are opened at a time; the backlog of a listening socket is longer. */
const connectBatch = 100;
const connectTimeoutMilliseconds = 5000;
const pollMilliseconds = 100;
/** A crowd that makes no progress for this time has sent what the server takes. */
const quietMilliseconds = 2000;
const maximumSendMilliseconds = 30_000;
const dripMilliseconds = 500;

type Sender = {
	readonly socket: Socket;
	readonly index: number;
	/** Sends the chunks one after the other, each once the operating system has taken the one before, and then calls `done`. */
	sendAll(chunks: Iterable<Uint8Array | string>, done?: () => void): void;
	/** Sends the chunk again and again, with pauses, until the crowd is closed. */
	drip(chunk: string): void;
};

const createCrowd = (options: {
	readonly target: Target;
	readonly connections: number;
	/** Whether the connections wait for `send`. */
	readonly isSimultaneous?: boolean;
	readonly onConnected: (sender: Sender) => void;
}): Crowd => {
	const {target, connections, isSimultaneous = false, onConnected} = options;
	const waiting: Sender[] = [];
	const sockets = new Set<Socket>();
	const timers = new Set<NodeJS.Timeout>();
	const unfinished = new Set<Socket>();
	let progress = 0;
	let sentBytes = 0;

	const createSender = (socket: Socket, index: number): Sender => ({
		socket, index,
		sendAll(chunks, done) {
			const iterator = chunks[Symbol.iterator]();
			const finish = (): void => {
				unfinished.delete(socket);
			};

			unfinished.add(socket);

			const sendNext = (): void => {
				const next = iterator.next();
				if (next.done === true || socket.destroyed) {
					finish();
					done?.();
					return;
				}

				socket.write(next.value, error => {
					if (!error) {
						progress += 1;
						sentBytes += next.value.length;
						sendNext();
					}
				});
			};

			socket.once('close', finish);
			sendNext();
		},
		drip(chunk) {
			const timer = setInterval(() => {
				socket.write(chunk);
			}, dripMilliseconds);
			timers.add(timer);
			socket.once('close', () => {
				clearInterval(timer);
			});
		},
	});

	const open = async (index: number): Promise<void> => {
		const socket = connect(target.port, target.host);
		sockets.add(socket);
		socket.on('error', () => {
			// The server may refuse or reset any connection of the crowd.
			socket.destroy();
		});
		socket.once('close', () => {
			sockets.delete(socket);
		});
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, connectTimeoutMilliseconds);
			socket.once('connect', () => {
				progress += 1;
				clearTimeout(timer);
				const sender = createSender(socket, index);
				if (isSimultaneous) {
					waiting.push(sender);
				} else {
					onConnected(sender);
				}

				resolve();
			});
			socket.once('close', () => {
				clearTimeout(timer);
				resolve();
			});
		});
	};

	return {
		connections,
		async open(hasEnded) {
			for (let first = 0; first < connections && !hasEnded(); first += connectBatch) {
				// eslint-disable-next-line no-await-in-loop -- A longer queue of new connections would overflow.
				await Promise.all(Array.from({length: Math.min(connectBatch, connections - first)}, async (_, index) => open(first + index)));
			}
		},
		async send(hasEnded) {
			for (const sender of waiting.splice(0)) {
				onConnected(sender);
			}

			const deadline = performance.now() + maximumSendMilliseconds;
			let lastProgress = progress;
			let progressAt = performance.now();
			while (unfinished.size > 0 && !hasEnded() && performance.now() < deadline && performance.now() - progressAt < quietMilliseconds) {
				// eslint-disable-next-line no-await-in-loop -- Polls until the crowd is quiet.
				await sleep(pollMilliseconds);
				if (progress !== lastProgress) {
					lastProgress = progress;
					progressAt = performance.now();
				}
			}
		},
		sentBytes: () => sentBytes,
		close() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

const repeat = function * <Chunk>(chunk: Chunk, times: number): Generator<Chunk> {
	for (let sent = 0; sent < times; sent += 1) {
		yield chunk;
	}
};

const chunkBytes = 65_536;
const fillChunk = (request: string): Uint8Array => Buffer.from(request.repeat(Math.floor(chunkBytes / request.length)));

/** Sends requests ahead without reading the responses. */
export const createPipeliningCrowd = (options: {readonly target: Target; readonly request: string; readonly connections: number; readonly bytesPerConnection: number}): Crowd => {
	const {target, request, connections, bytesPerConnection} = options;
	const chunk = fillChunk(request);
	return createCrowd({
		target, connections, isSimultaneous: true,
		onConnected({socket, sendAll}) {
			socket.pause();
			sendAll(repeat(chunk, Math.ceil(bytesPerConnection / chunk.length)));
		},
	});
};

/** Opens connections and sends nothing. */
export const createSilentCrowd = (options: {readonly target: Target; readonly connections: number}): Crowd => createCrowd({
	...options,
	onConnected({socket}) {
		socket.resume();
	},
});

/** Every fourth connection sends huge headers at once, the others send headers slowly and without an end. */
export const createHeaderCrowd = (options: {readonly target: Target; readonly requestLine: string; readonly connections: number; readonly hugeBytes: number}): Crowd => {
	const {target, requestLine, connections, hugeBytes} = options;
	const header = `x-filler: ${'x'.repeat(1000)}\r\n`;
	return createCrowd({
		target, connections,
		onConnected({socket, index, sendAll, drip}) {
			socket.resume();
			if (index % 4 === 0) {
				sendAll([requestLine, ...repeat(header, Math.ceil(hugeBytes / header.length))]);
			} else {
				sendAll([requestLine, header]);
				drip('x-more: 1\r\n');
			}
		},
	});
};

/**
 * Announces bodies. Of ten connections one announces a body over the limit and sends it, two send one at a trickle, and the others
 * send all of a body just under the limit except its last byte.
 */
export const createBodyCrowd = (options: {readonly target: Target; readonly getHeader: (index: number) => string; readonly connections: number; readonly maximumBodyBytes: number}): Crowd => {
	const {target, getHeader, connections, maximumBodyBytes} = options;
	const text = Buffer.alloc(maximumBodyBytes - 1, 'x');
	return createCrowd({
		target, connections,
		onConnected({socket, index, sendAll, drip}) {
			const sendBody = (length: number, body: Iterable<Uint8Array>): void => {
				sendAll([`${getHeader(index)}content-length: ${length}\r\n\r\n`, ...body]);
			};

			socket.resume();
			switch (index % 10) {
				case 0: {
					sendBody(maximumBodyBytes * 8, repeat(text, 7));
					break;
				}

				case 1:
				case 2: {
					sendBody(maximumBodyBytes, []);
					drip('x');
					break;
				}

				default: {
					sendBody(maximumBodyBytes, [text]);
				}
			}
		},
	});
};

/** Sends some requests on each connection, one by one, and reads no response. */
export const createUnreadCrowd = (options: {readonly target: Target; readonly request: string; readonly connections: number; readonly requestsPerConnection: number}): Crowd => {
	const {target, request, connections, requestsPerConnection} = options;
	return createCrowd({
		target, connections, isSimultaneous: true,
		onConnected({socket, sendAll}) {
			socket.pause();
			sendAll(repeat(request, requestsPerConnection));
		},
	});
};

/** Sends one whole request on each connection and resets the connection at once. */
export const createLeavingCrowd = (options: {readonly target: Target; readonly getRequest: (index: number) => string; readonly connections: number}): Crowd => {
	const {target, getRequest, connections} = options;
	return createCrowd({
		target, connections,
		onConnected({socket, index, sendAll}) {
			sendAll([getRequest(index)], () => {
				socket.resetAndDestroy();
			});
		},
	});
};
