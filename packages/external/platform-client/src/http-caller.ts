/**
 * HTTP calls to the platform's services with a deadline and a maximum response
 * size. A failure says whether bytes of the request may have been sent.
 */
import type {AvailabilityZone, InstanceId} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Dispatcher} from 'undici';
import {errors, Pool} from 'undici';

export enum CallFailureKind {
	/** No connection was established, so no byte was sent. */
	NotSent = 'not-sent',
	/** The connection was lost after bytes may have been sent. */
	ConnectionLost = 'connection-lost',
	/** The deadline passed after bytes may have been sent. */
	Timeout = 'timeout',
	ResponseTooLarge = 'answer-too-large',
}

export type CallFailure = {readonly kind: CallFailureKind; readonly message: string};

export type CallResponse = {
	readonly status: number;
	readonly text: string;
	/** Header `ETag` (RFC 9110); undefined if the service sends none. */
	readonly entityTag: string | undefined;
};

export type PlatformClientSettings = {
	/** Base URL of the service, for instance `http://127.0.0.1:2379`; a path in it is prepended to that of each call. */
	readonly origin: string;
	/** Availability zone and name of this instance, sent in `X-Availability-Zone` and `X-Instance`. */
	readonly zone: AvailabilityZone;
	readonly instance: InstanceId;
	/** From the start of the call to the end of the response. */
	readonly callTimeoutMilliseconds?: number;
	/** Shorter than the call timeout, so that a failed connect is distinguished from a late response. */
	readonly connectTimeoutMilliseconds?: number;
	readonly maximumResponseBytes?: number;
};

export type CallRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** Sent as JSON. */
	readonly body?: unknown;
	/** Sent as `If-None-Match`; the service answers 304 if its response has not changed. */
	readonly entityTag?: string | undefined;
};

export type HttpCaller = {
	readonly maximumResponseBytes: number;
	call(request: CallRequest): Promise<Result<CallResponse, CallFailure>>;
	/** Resolves to a streaming response once its headers have arrived; the caller reads the body. */
	open(request: CallRequest & {readonly signal: AbortSignal}): Promise<Result<Dispatcher.ResponseData, CallFailure>>;
	close(): Promise<void>;
};

const defaultCallTimeoutMilliseconds = 2000;
const defaultConnectTimeoutMilliseconds = 1000;
/** Enough for a listing with a few values of the maximum size in base64. */
const defaultMaximumResponseBytes = 16 * 1024 * 1024;

const timeoutCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

const isConnectFailure = (error: Error): boolean =>
	error instanceof errors.ConnectTimeoutError
	|| ('syscall' in error && error.syscall === 'connect')
	// ECONNREFUSED only occurs while connecting; an aggregate error for several addresses has no `syscall`.
	|| ('code' in error && error.code === 'ECONNREFUSED');

const classify = (error: Error): CallFailureKind => {
	if (isConnectFailure(error)) {
		return CallFailureKind.NotSent;
	}

	if (error instanceof errors.ResponseExceededMaxSizeError) {
		return CallFailureKind.ResponseTooLarge;
	}

	const isTimeout = error.name === 'TimeoutError' || ('code' in error && timeoutCodes.has(String(error.code)));
	return isTimeout ? CallFailureKind.Timeout : CallFailureKind.ConnectionLost;
};

/** Converts anything thrown by undici to a failure. */
export const toCallFailure = (error: unknown): CallFailure => error instanceof Error
	? {kind: classify(error), message: error.message}
	: {kind: CallFailureKind.ConnectionLost, message: String(error)};

export const createHttpCaller = (settings: PlatformClientSettings): HttpCaller => {
	const maximumResponseBytes = settings.maximumResponseBytes ?? defaultMaximumResponseBytes;
	const callTimeoutMilliseconds = settings.callTimeoutMilliseconds ?? defaultCallTimeoutMilliseconds;
	const connect = {timeout: settings.connectTimeoutMilliseconds ?? defaultConnectTimeoutMilliseconds};
	const {origin, pathname} = new URL(settings.origin);
	const basePath = pathname.replace(/\/$/v, '');
	const callPool = new Pool(origin, {connect, maxResponseSize: maximumResponseBytes});
	const streamPool = new Pool(origin, {connect, headersTimeout: callTimeoutMilliseconds, bodyTimeout: 0});

	const toOptions = ({method, path, body, entityTag}: CallRequest): Dispatcher.RequestOptions => ({
		method,
		path: `${basePath}${path}`,
		headers: {
			'content-type': 'application/json',
			'x-availability-zone': settings.zone,
			'x-instance': settings.instance,
			...(entityTag !== undefined && {'if-none-match': entityTag}),
		},
		...(body !== undefined && {body: JSON.stringify(body)}),
	});

	return {
		maximumResponseBytes,
		async call(request) {
			try {
				const response = await callPool.request({...toOptions(request), signal: AbortSignal.timeout(callTimeoutMilliseconds)});
				const {etag} = response.headers;
				return ok({status: response.statusCode, text: await response.body.text(), entityTag: typeof etag === 'string' ? etag : undefined});
			} catch (error) {
				return err(toCallFailure(error));
			}
		},
		async open({signal, ...request}) {
			try {
				return ok(await streamPool.request({...toOptions(request), signal}));
			} catch (error) {
				return err(toCallFailure(error));
			}
		},
		async close() {
			await Promise.all([callPool.destroy(), streamPool.destroy()]);
		},
	};
};

/** Parses JSON; undefined if the text is not JSON. */
export const parseJsonText = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
