/** Reads a request body whole, so that a request can be repeated and fingerprinted. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

export type BodyResult
	= | {readonly type: 'whole'; readonly body: Uint8Array}
		| {readonly type: 'too-large'}
		/** The connection broke or the rest was malformed; the caller-side server answers if it can. */
		| {readonly type: 'broken'};

export const readBody = async (request: IncomingMessage, maximumBytes: number): Promise<BodyResult> => {
	if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
		return {type: 'too-large'};
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		request.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maximumBytes) {
				request.removeAllListeners('data');
				resolve({type: 'too-large'});
			} else {
				chunks.push(chunk);
			}
		});
		request.once('end', () => {
			resolve({type: 'whole', body: Buffer.concat(chunks, size)});
		});
		request.once('error', () => {
			resolve({type: 'broken'});
		});
		request.once('close', () => {
			resolve({type: 'broken'});
		});
	});
};
