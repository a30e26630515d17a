/** Answers of the upstream stand-in, right ones and wrong ones. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody, readHeader} from './http.js';

export enum UpstreamFault {
	None = 'none',
	/** Runs the request and never answers. */
	Hang = 'hang',
	/** Runs the request and answers after a delay. */
	Late = 'late',
	/** Runs the request and breaks the connection in the middle of the answer. */
	TruncatedResponse = 'cut-answer',
	/** Answers 503 without running the request. */
	Refuse = 'refuse',
	/** Runs the request and answers 500. */
	Fail = 'fail',
	/** Runs the request and answers with another request's identifier. */
	WrongRequestId = 'wrong-request-id',
	/** Runs the request and answers with the whole answer of the request before it. */
	PreviousResponse = 'other-answer',
	/** Answers, and sends the same answer again on the connection after a delay. */
	DuplicateResponse = 'double-answer',
}

export type UpstreamFaultSetting = {
	readonly mode: UpstreamFault;
	/** Number of requests affected; all if left out. */
	readonly count?: number;
	readonly delayMilliseconds?: number;
};

/** Longer request bodies are answered with their SHA-256 hash only. */
const maximumEchoedBytes = 4096;
const defaultRepeatMilliseconds = 5;

export type Received = {
	readonly method: string;
	readonly path: string;
	readonly query: URLSearchParams;
	readonly requestId: string;
	readonly idempotencyKey: string;
	readonly body: Uint8Array;
};

export const receive = async (request: IncomingMessage): Promise<Received> => {
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

const createAnswerBody = (instance: string, received: Received): string => {
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

type Answer = {readonly requestId: string; readonly text: string};

const createHeaders = ({requestId, text}: Answer): Readonly<Record<string, string>> => ({
	'Content-Type': 'application/json',
	'Content-Length': String(Buffer.byteLength(text)),
	'X-Request-Id': requestId,
});

const repeatLater = (response: ServerResponse, answer: Answer, milliseconds: number): void => {
	const {socket} = response;
	const headers = Object.entries(createHeaders(answer)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	setTimeout(() => {
		socket?.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${answer.text}`);
	}, milliseconds);
};

/** Writes answers and remembers the last right one, for the fault `other-answer`. */
export const createAnswerWriter = (instance: string) => {
	let last: Answer | undefined;

	const chooseAnswer = (received: Received, mode: UpstreamFault): Answer => {
		const right = {requestId: received.requestId, text: createAnswerBody(instance, received)};
		const other = last ?? right;
		last = right;
		if (mode === UpstreamFault.PreviousResponse) {
			return other;
		}

		return mode === UpstreamFault.WrongRequestId ? {...right, requestId: `${right.requestId}-other`} : right;
	};

	return (response: ServerResponse, received: Received, fault: UpstreamFaultSetting): void => {
		const answer = chooseAnswer(received, fault.mode);
		response.writeHead(fault.mode === UpstreamFault.Fail ? 500 : 200, createHeaders(answer));
		if (fault.mode === UpstreamFault.TruncatedResponse) {
			response.write(answer.text.slice(0, Math.ceil(answer.text.length / 2)), () => {
				response.destroy();
			});
			return;
		}

		if (fault.mode === UpstreamFault.DuplicateResponse) {
			repeatLater(response, answer, fault.delayMilliseconds ?? defaultRepeatMilliseconds);
		}

		response.end(answer.text);
	};
};

export const refuse = (response: ServerResponse, received: Received): void => {
	response.writeHead(503, {'Content-Length': 0, 'X-Request-Id': received.requestId});
	response.end();
};
