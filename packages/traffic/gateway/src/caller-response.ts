/** Writes responses to callers. */
import type {ServerResponse} from 'node:http';
import type {ResponseHead, ResponseSink} from './response-reader.js';

export const sendBufferedResponse = (response: ServerResponse, head: ResponseHead, body: Uint8Array): void => {
	// Node.js does not set Content-Length on responses to HEAD and with status 304, so the value from the upstream is kept.
	response.writeHead(head.status, body.length > 0 ? {...head.headers, 'content-length': String(body.length)} : head.headers);
	response.end(body);
};

export const createCallerSink = (response: ServerResponse, maximumBufferedBytes: number): ResponseSink => {
	let isWaiting = false;

	const waitForDrain = (onReady: () => void): void => {
		// Further chunks can arrive after the response was paused; the first one has registered the listeners.
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
			// After the caller has disconnected, the response is still read to its end, because that shows when the run has ended.
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
