/** Reads the bodies of requests within a limit for all of them together. */
import {Buffer} from 'node:buffer';
import type {Exchange} from './exchange.js';

export type BodyResult
	= | {readonly type: 'complete'; readonly text: string}
		/** Longer than the maximum. The rest of the body is discarded. */
		| {readonly type: 'too-large'}
		/** All bodies together take too much memory. The rest of the body is discarded. */
		| {readonly type: 'refused'};

export type BodyBudget = {
	/** Fails if the connection ends before the body is complete. */
	read(exchange: Exchange, maximumBytes: number): Promise<BodyResult>;
	/** Counts further bytes that the request takes until it is finished; returns false if they exceed the limit. */
	reserve(exchange: Exchange, bytes: number): boolean;
	/** Called once the request is finished. */
	release(exchange: Exchange): void;
};

export const createBodyBudget = (options: {readonly limit: number; readonly onExceeded: () => void}): BodyBudget => {
	const {limit, onExceeded} = options;
	/** The requests whose body is incomplete, the oldest first, each with the function that refuses it. */
	const incomplete = new Map<Exchange, () => void>();
	let total = 0;

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

	return {
		release,
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
			return new Promise((resolve, reject) => {
				const chunks: Uint8Array[] = [];
				const stop = (): void => {
					incomplete.delete(exchange);
					request.off('data', readChunk);
					request.off('end', finish);
					request.off('close', fail);
				};

				const discard = (type: 'too-large' | 'refused'): void => {
					stop();
					release(exchange);
					request.resume();
					resolve({type});
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
					take(exchange, chunk.length);
					if (exchange.bodyBytes > maximumBytes) {
						discard('too-large');
						return;
					}

					for (const refuse of incomplete.values()) {
						if (!isExceededBy(exchange, 0)) {
							break;
						}

						onExceeded();
						refuse();
					}
				};

				const finish = (): void => {
					stop();
					resolve({type: 'complete', text: Buffer.concat(chunks).toString('utf8')});
				};

				if (Number(request.headers['content-length']) > maximumBytes) {
					discard('too-large');
				} else if (request.destroyed) {
					fail();
				} else {
					incomplete.set(exchange, () => {
						discard('refused');
					});
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
