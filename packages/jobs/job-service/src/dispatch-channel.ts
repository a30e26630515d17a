/** Channel of lines between the owner and a dispatcher: one long-lived HTTP request with a chunked body in both directions. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {request as createRequest} from 'node:http';

/** Longer lines are malformed. The owner sends far shorter ones, even with the largest payloads. */
const maximumLineLength = 8_388_608;
const okStatus = 200;
const lineContentType = 'application/x-ndjson';

export type DispatchChannel = {
	/** Sends a line, which must not contain a line break. */
	send(line: string): void;
	/** Bytes that are not yet handed to the operating system. */
	bufferedBytes(): number;
	close(): void;
};

export type ChannelHandlers = {
	readonly onLine: (line: string) => void;
	/** Called once, unless the channel was closed from this side. */
	readonly onClosed: (reason: string) => void;
};

/** Opens a channel from the owner of the epoch to a dispatcher. */
export type OpenDispatchChannel = (options: {readonly address: string; readonly epoch: number} & ChannelHandlers) => DispatchChannel;

/** Called for a channel that an owner opens. Returns undefined to refuse it. */
export type AcceptDispatchChannel = (epoch: number, channel: DispatchChannel) => ChannelHandlers | undefined;

/** Splits a stream of text into lines; returns false once a line is too long. */
export const createLineSplitter = (onLine: (line: string) => void) => {
	let rest = '';
	return (chunk: string): boolean => {
		const lines = (rest + chunk).split('\n');
		rest = lines.pop() ?? '';
		for (const line of lines) {
			onLine(line);
		}

		return rest.length <= maximumLineLength;
	};
};

const readLines = (stream: IncomingMessage, onLine: (line: string) => void): void => {
	const split = createLineSplitter(onLine);
	stream.setEncoding('utf8');
	stream.on('data', (chunk: string) => {
		if (!split(chunk)) {
			stream.destroy(new Error('a line is too long'));
		}
	});
};

export const openHttpDispatchChannel: OpenDispatchChannel = ({address, epoch, onLine, onClosed}) => {
	let isClosed = false;
	const [host = '', port = ''] = address.split(':');
	// A connection of its own: it stays open as long as the channel.
	const request = createRequest({
		host, port, method: 'POST', path: `/worker-calls?epoch=${epoch}`, agent: false, headers: {'content-type': lineContentType},
	});
	const fail = (reason: string): void => {
		if (!isClosed) {
			isClosed = true;
			request.destroy();
			onClosed(reason);
		}
	};

	request.setNoDelay(true);
	request.flushHeaders();
	request.on('error', error => {
		fail(error.message);
	});
	request.on('close', () => {
		fail('the connection was closed');
	});
	request.on('response', response => {
		response.on('error', error => {
			fail(error.message);
		});
		response.on('close', () => {
			fail('the connection was closed');
		});
		if (response.statusCode === okStatus) {
			readLines(response, line => {
				if (!isClosed) {
					onLine(line);
				}
			});
		} else {
			fail(`status ${response.statusCode}`);
		}
	});
	return {
		send(line) {
			if (!isClosed) {
				request.write(`${line}\n`);
			}
		},
		bufferedBytes: () => request.writableLength,
		close() {
			isClosed = true;
			request.destroy();
		},
	};
};

/** Serves a request of an owner as a channel. */
export const serveHttpDispatchChannel = (options: {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly epoch: number;
	readonly refusedStatus: number;
	readonly accept: AcceptDispatchChannel;
}): void => {
	const {request, response, epoch, refusedStatus, accept} = options;
	let isClosed = false;
	const handlers = accept(epoch, {
		send(line) {
			if (!isClosed) {
				response.write(`${line}\n`);
			}
		},
		bufferedBytes: () => response.writableLength,
		close() {
			isClosed = true;
			response.destroy();
		},
	});
	if (!handlers) {
		response.writeHead(refusedStatus, {'content-length': 0, connection: 'close'});
		response.end();
		return;
	}

	const fail = (reason: string): void => {
		if (!isClosed) {
			isClosed = true;
			response.destroy();
			handlers.onClosed(reason);
		}
	};

	request.socket.setNoDelay(true);
	response.writeHead(okStatus, {'content-type': lineContentType});
	response.flushHeaders();
	for (const stream of [request, response]) {
		stream.on('error', error => {
			fail(error.message);
		});
		stream.on('close', () => {
			fail('the connection was closed');
		});
	}

	readLines(request, line => {
		if (!isClosed) {
			handlers.onLine(line);
		}
	});
};

