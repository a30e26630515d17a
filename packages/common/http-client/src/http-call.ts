/** One HTTP call with a deadline. A failure says whether bytes of the request may have been sent, since only an unsent call may be retried freely. */
import {Buffer} from 'node:buffer';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Dispatcher} from 'undici';

export enum HttpFailureKind {
	/** No byte of the request was sent. */
	NotSent = 'not-sent',
	/** The connection ended after bytes may have been sent. */
	ConnectionLost = 'connection-lost',
	/** The deadline passed after bytes may have been sent. */
	Timeout = 'timeout',
}

export type HttpFailure = {readonly kind: HttpFailureKind; readonly message: string};

export type HttpResponse = {
	readonly status: number;
	readonly text: string;
};

export type HttpCall = {
	/** Address and port, without a scheme. */
	readonly address: string;
	readonly method: 'GET' | 'POST' | 'DELETE';
	readonly path: string;
	/** Serialized JSON; sent unchanged with the JSON content type. */
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	/** From the call to the last byte of the response; with `maximumMilliseconds`, the longest time without any byte of the response. */
	readonly timeoutMilliseconds: number;
	/** For responses that may take long over a slow link: a limit on the whole call, during which each received chunk restarts the timeout. */
	readonly maximumMilliseconds?: number;
};

/** Collects one response; `settle` is called exactly once. */
const createResponseHandler = (settle: (result: Result<HttpResponse, HttpFailure>) => void, onProgress: () => void) => {
	let controller: Dispatcher.DispatchController | undefined;
	let isSettled = false;
	let status = 0;
	const chunks: Uint8Array[] = [];
	const report = (result: Result<HttpResponse, HttpFailure>): void => {
		if (!isSettled) {
			isSettled = true;
			settle(result);
		}
	};

	const fail = (kind: HttpFailureKind, message: string): void => {
		report(err({kind: controller === undefined ? HttpFailureKind.NotSent : kind, message}));
	};

	const handler: Dispatcher.DispatchHandler = {
		onRequestStart(started) {
			if (isSettled) {
				started.abort(new Error('the deadline passed before the call was sent'));
				return;
			}

			controller = started;
		},
		onResponseStart(_, statusCode) {
			status = statusCode;
		},
		onResponseData(_, chunk) {
			chunks.push(chunk);
			onProgress();
		},
		onResponseEnd() {
			report(ok({status, text: Buffer.concat(chunks).toString('utf8')}));
		},
		onResponseError(_, error) {
			fail(HttpFailureKind.ConnectionLost, error.message);
		},
	};
	return {
		handler,
		/** Fails a call that could not be sent. */
		reject(message: string): void {
			report(err({kind: HttpFailureKind.NotSent, message}));
		},
		/** Ends the call and closes its connection, since the connection itself may be dead. */
		expire(): void {
			const sent = controller;
			fail(HttpFailureKind.Timeout, 'no complete response within the deadline');
			sent?.abort(new Error('deadline passed'));
		},
	};
};

/** Sends the call through a dispatcher of the library, and ends it at its deadline. */
export const dispatchCall = async (dispatch: Dispatcher['dispatch'], {method, path, body, headers, timeoutMilliseconds, maximumMilliseconds}: Omit<HttpCall, 'address'>): Promise<Result<HttpResponse, HttpFailure>> =>
	new Promise(resolve => {
		const {handler, expire, reject} = createResponseHandler(result => {
			clearTimeout(timer);
			clearTimeout(limitTimer);
			resolve(result);
		}, () => {
			if (maximumMilliseconds !== undefined) {
				timer.refresh();
			}
		});
		const timer = setTimeout(expire, timeoutMilliseconds);
		const limitTimer = maximumMilliseconds === undefined ? undefined : setTimeout(expire, maximumMilliseconds);
		try {
			dispatch({
				method, path, ...(body !== undefined && {body}),
				headers: body === undefined ? {...headers} : {...headers, 'content-type': 'application/json'},
			}, handler);
		} catch (error) {
			// An address that another writer has registered may not be a valid one.
			reject(String(error));
		}
	});
