/** Responses of the fake upstream, both correct and faulty. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody, readHeader} from './http.js';

export enum UpstreamFault {
	None = 'none',
	/** Runs the request and never responds. */
	Hang = 'hang',
	/** Runs the request and responds after a delay. */
	Late = 'late',
	/** Runs the request and closes the connection in the middle of the response. */
	TruncatedResponse = 'cut-answer',
	/** Responds with 503 without running the request. */
	Refuse = 'refuse',
	/** Runs the request and responds with 500. */
	Fail = 'fail',
	/** Runs the request and responds with another request's identifier. */
	WrongRequestId = 'wrong-request-id',
	/** Runs the request and sends the complete response of the previous request. */
	PreviousResponse = 'other-answer',
	/** Responds, and sends the same response again on the connection after a delay. */
	DuplicateResponse = 'double-answer',
}

export type UpstreamFaultSetting = {
	readonly mode: UpstreamFault;
	/** Number of requests affected; all if left out. */
	readonly count?: number;
	readonly delayMilliseconds?: number;
};

/** For longer request bodies the response contains only the SHA-256 hash. */
const maximumEchoedBytes = 4096;
const defaultDuplicateDelayMilliseconds = 5;

export type ReceivedRequest = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly requestId: string;
	readonly idempotencyKey: string;
	readonly body: Uint8Array;
};

export const readRequest = async (request: IncomingMessage): Promise<ReceivedRequest> => {
	const url = new URL(request.url ?? '/', 'http://upstream');
	return {
		method: request.method ?? '',
		path: url.pathname,
		query: url.searchParams,
		requestId: readHeader(request, 'x-request-id') ?? '',
		idempotencyKey: readHeader(request, 'idempotency-key') ?? '',
		body: await readBody(request),
	};
};

const createResponseBody = (instance: string, received: ReceivedRequest): string => {
	const {
		method, path, query, requestId, idempotencyKey, body,
	} = received;
	return JSON.stringify({
		instance,
		requestId,
		idempotencyKey,
		method,
		path,
		body: body.length <= maximumEchoedBytes ? new TextDecoder().decode(body) : undefined,
		bodyHash: createHash('sha256').update(body).digest('hex'),
		padding: 'x'.repeat(Number(query.get('size') ?? 0)),
	});
};

type UpstreamResponse = {readonly requestId: string; readonly text: string};

const createHeaders = ({requestId, text}: UpstreamResponse): Readonly<Record<string, string>> => ({
	'Content-Type': 'application/json',
	'Content-Length': String(Buffer.byteLength(text)),
	'X-Request-Id': requestId,
});

const sendDuplicateLater = (response: ServerResponse, content: UpstreamResponse, milliseconds: number): void => {
	const {socket} = response;
	const headers = Object.entries(createHeaders(content)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	setTimeout(() => {
		socket?.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${content.text}`);
	}, milliseconds);
};

/** Writes responses and keeps the last correct one for the fault `other-answer`. */
export const createResponseWriter = (instance: string) => {
	let lastCorrect: UpstreamResponse | undefined;

	const selectResponse = (received: ReceivedRequest, mode: UpstreamFault): UpstreamResponse => {
		const correct = {requestId: received.requestId, text: createResponseBody(instance, received)};
		const previous = lastCorrect ?? correct;
		lastCorrect = correct;
		if (mode === UpstreamFault.PreviousResponse) {
			return previous;
		}

		return mode === UpstreamFault.WrongRequestId ? {...correct, requestId: `${correct.requestId}-other`} : correct;
	};

	return (response: ServerResponse, received: ReceivedRequest, fault: UpstreamFaultSetting): void => {
		const content = selectResponse(received, fault.mode);
		response.writeHead(fault.mode === UpstreamFault.Fail ? 500 : 200, createHeaders(content));
		if (fault.mode === UpstreamFault.TruncatedResponse) {
			response.write(content.text.slice(0, Math.ceil(content.text.length / 2)), () => {
				response.destroy();
			});
			return;
		}

		if (fault.mode === UpstreamFault.DuplicateResponse) {
			sendDuplicateLater(response, content, fault.delayMilliseconds ?? defaultDuplicateDelayMilliseconds);
		}

		response.end(content.text);
	};
};

export const sendRefusal = (response: ServerResponse, received: ReceivedRequest): void => {
	response.writeHead(503, {'Content-Length': 0, 'X-Request-Id': received.requestId});
	response.end();
};
