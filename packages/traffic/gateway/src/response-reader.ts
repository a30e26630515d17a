/**
 * Reads one answer. Short answers are read whole; longer ones go to the caller
 * as they arrive. Decides whether the answer is complete and whether it belongs
 * to the request.
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {getForwardedResponseHeaders, requestIdHeader} from './headers.js';

export type ResponseHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
};

/** Where a long answer goes. */
export type ResponseSink = {
	/** Answers up to this size are never streamed. */
	readonly maximumBufferedBytes: number;
	begin(head: ResponseHead): void;
	/** False if the receiver cannot take more for now; `onReady` is called once it can. */
	write(chunk: Uint8Array, onReady: () => void): boolean;
	end(): void;
};

export type ReadResult
	= | {readonly type: 'answer'; readonly head: ResponseHead; readonly body: Uint8Array}
		| {readonly type: 'streamed'; readonly status: number}
		| {readonly type: 'cut'; readonly streaming: boolean; readonly responseStarted: boolean}
		/** The answer carries the identifier of another request. */
		| {readonly type: 'crossed'};

type FlowControl = {pause(): void; resume(): void};

export type ResponseReader = {
	/** A verdict ends the attempt before the body. */
	start(flow: FlowControl, status: number, headers: IncomingHttpHeaders): ReadResult | undefined;
	data(chunk: Uint8Array): void;
	end(): ReadResult;
	cut(): ReadResult;
	isStreaming(): boolean;
};

const statusesWithoutBody = new Set([204, 304]);
const firstFinalStatus = 200;

/** Without a length or chunks the end of the connection looks like the end of the answer. */
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
		cut: () => ({type: 'cut', streaming, responseStarted: head !== undefined}),
		isStreaming: () => streaming,
	};
};
