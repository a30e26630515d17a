/** Buffers a request body, so that the request can be retried and fingerprinted. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

export type BodyResult
	= | {readonly type: 'whole'; readonly body: Uint8Array}
		| {readonly type: 'too-large'}
		/** The connection was lost, or the rest was malformed and the HTTP server's `clientError` handler responds. */
		| {readonly type: 'broken'};

/**
 * A body that is too large is still read and discarded up to this multiple of
 * the limit: callers may read the response only after sending, and closing the
 * connection earlier could lose it.
 */
const maximumDiscardFactor = 4;

export const readBody = async (request: IncomingMessage, maximumBytes: number): Promise<BodyResult> => new Promise(resolve => {
	const chunks: Uint8Array[] = [];
	let size = 0;
	const stopAboveDiscardLimit = (bytes: number): void => {
		if (bytes > maximumBytes * maximumDiscardFactor) {
			resolve({type: 'too-large'});
		}
	};

	stopAboveDiscardLimit(Number(request.headers['content-length'] ?? 0));
	request.on('data', (chunk: Uint8Array) => {
		size += chunk.length;
		if (size <= maximumBytes) {
			chunks.push(chunk);
		}

		stopAboveDiscardLimit(size);
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
