/** Writes answers to one caller. */
import type {ServerResponse} from 'node:http';
import type {ResponseHead, ResponseSink} from './response-reader.js';

export const sendBufferedResponse = (response: ServerResponse, head: ResponseHead, body: Uint8Array): void => {
	// Node.js leaves the length of answers to HEAD and of 304 to the handler: the upstream's own value stays.
	response.writeHead(head.status, body.length > 0 ? {...head.headers, 'content-length': String(body.length)} : head.headers);
	response.end(body);
};

export const createCallerSink = (response: ServerResponse, maximumBufferedBytes: number): ResponseSink => {
	let isWaiting = false;

	const waitForDrain = (onReady: () => void): void => {
		// Chunks that were on their way when the flow paused find the wait already set up.
		if (isWaiting) {
			return;
		}

		isWaiting = true;
		const ready = (): void => {
			isWaiting = false;
			response.off('drain', ready);
			response.off('close', ready);
			onReady();
		};

		response.on('drain', ready);
		response.on('close', ready);
	};

	return {
		maximumBufferedBytes,
		begin({status, headers}) {
			response.writeHead(status, headers);
		},
		write(chunk, onReady) {
			// A caller that hung up takes everything: the answer is read on to learn when the run ended.
			if (response.destroyed || response.write(chunk)) {
				return true;
			}

			waitForDrain(onReady);
			return false;
		},
		end() {
			response.end();
		},
	};
};
