/** Reads a request body whole, so that a request can be repeated and fingerprinted. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

export type BodyResult
	= | {readonly type: 'whole'; readonly body: Uint8Array}
		| {readonly type: 'too-large'}
		/** The connection broke or the rest was malformed; the server for callers answers if it can. */
		| {readonly type: 'broken'};

/**
 * A caller that sends a little too much reads its answer only after sending, and
 * closing earlier could destroy the answer. Far larger bodies are not awaited.
 */
const maximumDiscardFactor = 4;

export const readBody = async (request: IncomingMessage, maximumBytes: number): Promise<BodyResult> => new Promise(resolve => {
	const chunks: Uint8Array[] = [];
	let size = 0;
	const refuseFarTooLarge = (bytes: number): void => {
		if (bytes > maximumBytes * maximumDiscardFactor) {
			resolve({type: 'too-large'});
		}
	};

	refuseFarTooLarge(Number(request.headers['content-length'] ?? 0));
	request.on('data', (chunk: Uint8Array) => {
		size += chunk.length;
		if (size <= maximumBytes) {
			chunks.push(chunk);
		}

		refuseFarTooLarge(size);
	});
	request.once('end', () => {
		resolve(size <= maximumBytes ? {type: 'whole', body: Buffer.concat(chunks, size)} : {type: 'too-large'});
	});
	request.once('error', () => {
		resolve({type: 'broken'});
	});
	request.once('close', () => {
		resolve({type: 'broken'});
	});
});
