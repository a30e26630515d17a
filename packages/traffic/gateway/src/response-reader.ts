/**
 * Reads one response of an upstream. Short responses are buffered; longer ones
 * are streamed to the caller. Detects responses that are incomplete or belong to
 * another request.
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {getForwardedResponseHeaders, requestIdHeader} from './headers.js';

export type ResponseHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
};

/** Destination of a streamed response. */
export type ResponseSink = {
	/** Responses up to this size are buffered instead of streamed. */
	readonly maximumBufferedBytes: number;
	begin(head: ResponseHead): void;
	/** Returns false while the receiver cannot accept more; `onReady` is called once it can. */
	write(chunk: Uint8Array, onReady: () => void): boolean;
	end(): void;
};

export type ReadResult
	= | {readonly type: 'answer'; readonly head: ResponseHead; readonly body: Uint8Array}
		| {readonly type: 'streamed'; readonly status: number}
		/** The response ended early, or its end could not be recognized. */
		| {readonly type: 'cut'; readonly streaming: boolean; readonly responseStarted: boolean}
		/** The response carries the request identifier of another request. */
		| {readonly type: 'crossed'};

type FlowControl = {pause(): void; resume(): void};

export type ResponseReader = {
	/** Returns a result if the headers alone end the attempt. */
	start(flow: FlowControl, status: number, headers: IncomingHttpHeaders): ReadResult | undefined;
	data(chunk: Uint8Array): void;
	end(): ReadResult;
	endEarly(): ReadResult;
	isStreaming(): boolean;
};

const statusesWithoutBody = new Set([204, 304]);
const firstFinalStatus = 200;

/** Without Content-Length or chunked encoding, a lost connection cannot be told from the end of the response. */
const isFramed = (method: string, status: number, headers: IncomingHttpHeaders): boolean =>
	method === 'HEAD'
	|| statusesWithoutBody.has(status)
	|| headers['content-length'] !== undefined
	|| /(?:^|,)\s*chunked\s*$/iv.test(headers['transfer-encoding'] ?? '');

export const createResponseReader = ({method, requestId, sink}: {
	readonly method: string;
	readonly requestId: string;
	readonly sink: ResponseSink;
}): ResponseReader => {
	let flowControl: FlowControl | undefined;
	let head: ResponseHead | undefined;
	let chunks: Uint8Array[] = [];
	let size = 0;
	let streaming = false;

	const forward = (chunk: Uint8Array): void => {
		if (!sink.write(chunk, () => flowControl?.resume())) {
			flowControl?.pause();
		}
	};

	const startStreaming = (): void => {
		streaming = true;
		sink.begin(head!);
		for (const chunk of chunks) {
			forward(chunk);
		}

		chunks = [];
	};

	return {
		start(activeFlow, status, headers) {
			if (status < firstFinalStatus) {
				return undefined;
			}

			if ((headers[requestIdHeader] ?? requestId) !== requestId) {
				return {type: 'crossed'};
			}

			if (!isFramed(method, status, headers)) {
				return {type: 'cut', streaming: false, responseStarted: true};
			}

			flowControl = activeFlow;
			head = {status, headers: getForwardedResponseHeaders(headers)};
			return undefined;
		},
		data(chunk) {
			size += chunk.length;
			if (streaming) {
				forward(chunk);
				return;
			}

			chunks.push(chunk);
			if (size > sink.maximumBufferedBytes) {
				startStreaming();
			}
		},
		end() {
			if (streaming) {
				sink.end();
				return {type: 'streamed', status: head!.status};
			}

			return {type: 'answer', head: head!, body: Buffer.concat(chunks, size)};
		},
		endEarly: () => ({type: 'cut', streaming, responseStarted: head !== undefined}),
		isStreaming: () => streaming,
	};
};
