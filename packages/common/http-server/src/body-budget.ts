/** Reads the bodies of requests within a limit for all of them together. */
import {Buffer} from 'node:buffer';
import type {Exchange} from './exchange.js';

export type BodyResult
	= | {readonly type: 'complete'; readonly text: string}
		/** Longer than the maximum. */
		| {readonly type: 'too-large'}
		/** All bodies together take too much memory. */
		| {readonly type: 'refused'};

export type BodyBudget = {
	/** Fails if the connection ends before the body is complete. */
	read(exchange: Exchange, maximumBytes: number): Promise<BodyResult>;
	/** Counts further bytes that the request takes until it is finished; returns false if they exceed the limit. */
	reserve(exchange: Exchange, bytes: number): boolean;
	/** Called once the request is finished. */
	release(exchange: Exchange): void;
	/** Called at each check interval: finds the bodies that come slowly. */
	check(): void;
};

type IncompleteBody = {
	readonly refuse: () => void;
	receivedBytes: number;
	receivedAtCheck: number;
	/** Less than `slowBodyBytes` came between the last two checks. */
	isSlow: boolean;
};

/** Rejected bodies that are read to their end at a time, so that their connections stay usable. What is read of them is garbage, which takes memory as well. */
const maximumDiscardedBodies = 4;

export const createBodyBudget = (options: {readonly limit: number; readonly slowBodyBytes: number; readonly onExceeded: () => void}): BodyBudget => {
	const {limit, slowBodyBytes, onExceeded} = options;
	/** The requests whose body is incomplete, the oldest first. */
	const incomplete = new Map<Exchange, IncompleteBody>();
	let total = 0;
	let discardedBodies = 0;

	const take = (exchange: Exchange, bytes: number): void => {
		exchange.bodyBytes += bytes;
		total += bytes;
	};

	const release = (exchange: Exchange): void => {
		total -= exchange.bodyBytes;
		exchange.bodyBytes = 0;
	};

	/** A single request is served whatever the limit; its body has a maximum of its own. */
	const isExceededBy = (exchange: Exchange, bytes: number): boolean => total + bytes > limit && total > exchange.bodyBytes;

	const refuseOldestSlow = (): boolean => {
		const slow = [...incomplete.values()].find(({isSlow}) => isSlow);
		slow?.refuse();
		return slow !== undefined;
	};

	/** Leaves the rest of a body unread, so that the connection closes after the response. */
	const leaveUnread = ({request, response}: Exchange): void => {
		request.pause();
		response?.setHeader('connection', 'close');
	};

	const discardRest = (exchange: Exchange): void => {
		if (discardedBodies >= maximumDiscardedBodies) {
			leaveUnread(exchange);
			return;
		}

		discardedBodies += 1;
		exchange.request.once('close', () => {
			discardedBodies -= 1;
		});
		exchange.request.resume();
	};

	return {
		release,
		check() {
			for (const body of incomplete.values()) {
				body.isSlow = body.receivedBytes - body.receivedAtCheck < slowBodyBytes;
				body.receivedAtCheck = body.receivedBytes;
			}
		},
		reserve(exchange, bytes) {
			if (isExceededBy(exchange, bytes)) {
				onExceeded();
				return false;
			}

			take(exchange, bytes);
			return true;
		},
		async read(exchange, maximumBytes) {
			const {request} = exchange;
			const announcedBytes = Number(request.headers['content-length'] ?? maximumBytes);
			if (announcedBytes > maximumBytes) {
				discardRest(exchange);
				return {type: 'too-large'};
			}

			while (isExceededBy(exchange, announcedBytes)) {
				onExceeded();
				if (!refuseOldestSlow()) {
					leaveUnread(exchange);
					return {type: 'refused'};
				}
			}

			take(exchange, announcedBytes);
			return new Promise((resolve, reject) => {
				const chunks: Uint8Array[] = [];
				const body: IncompleteBody = {
					refuse() {
						stop();
						release(exchange);
						leaveUnread(exchange);
						resolve({type: 'refused'});
					},
					receivedBytes: 0, receivedAtCheck: 0, isSlow: false,
				};
				const stop = (): void => {
					incomplete.delete(exchange);
					request.off('data', readChunk);
					request.off('end', finish);
					request.off('close', fail);
				};

				const fail = (): void => {
					stop();
					reject(new Error('the connection was closed before the body was complete'));
				};

				const readChunk = (chunk: Uint8Array): void => {
					if (exchange.isClosed) {
						fail();
						return;
					}

					chunks.push(chunk);
					body.receivedBytes += chunk.length;
					if (body.receivedBytes > maximumBytes) {
						stop();
						release(exchange);
						discardRest(exchange);
						resolve({type: 'too-large'});
					}
				};

				const finish = (): void => {
					stop();
					// A body without an announced length was counted with the maximum.
					take(exchange, body.receivedBytes - announcedBytes);
					resolve({type: 'complete', text: Buffer.concat(chunks).toString('utf8')});
				};

				if (request.destroyed) {
					fail();
				} else {
					incomplete.set(exchange, body);
					request.on('data', readChunk);
					request.on('end', finish);
					request.on('close', fail);
					request.on('error', () => {
						// The event `close` follows.
					});
				}
			});
		},
	};
};
