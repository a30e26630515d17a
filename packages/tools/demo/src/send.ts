/** Sends one request of a caller and classifies the response. */
import type {Dispatcher} from 'undici';
import {request} from 'undici';

export enum ResponseClass {
	/** A complete response of an upstream to this request, whatever its status. */
	Answered = 'answered',
	/** A problem response which guarantees that no upstream ran the request. */
	NotRun = 'not-run',
	/** A problem response: it is not known whether an upstream ran the request. */
	Unknown = 'unknown',
	/** A problem response: a request with the same idempotency key ran earlier. */
	AlreadyRun = 'already-run',
	/** No complete response: the connection failed, or the response was truncated or timed out. */
	Broken = 'broken',
	/** A complete response that belongs to another request or was altered; always a fault. */
	Mismatched = 'foreign',
}

export type CallerRequest = {
	/** Base URL of an entry instance's listener for callers. */
	readonly entryUrl: string;
	readonly queue: string;
	readonly method: 'GET' | 'POST';
	/** Path and query after the queue name, with the leading slash. */
	readonly path: string;
	readonly presentedKey?: string;
	readonly idempotencyKey?: string;
	/** The upstream stand-in echoes it, which shows to which request a response belongs. */
	readonly body?: string;
	readonly timeoutMilliseconds: number;
	readonly dispatcher?: Dispatcher;
};

export type CallerResponse = {
	readonly type: ResponseClass;
	/** HTTP status; 0 without a complete response. */
	readonly status: number;
	/** Problem code, or the error code or name if there is no complete response. */
	readonly code: string;
	/** Upstream that responded; empty if none did. */
	readonly upstream: string;
	readonly retryAfterSeconds?: number;
};

/** The caller waits longer than the entry instance, so that it receives the response to a timeout there. */
const timeoutMarginMilliseconds = 2000;

const problemClasses = new Map<unknown, ResponseClass>([
	['not-run', ResponseClass.NotRun],
	['unknown', ResponseClass.Unknown],
	['run', ResponseClass.AlreadyRun],
]);

const parseJsonObject = (text: string): ReadonlyMap<string, unknown> => {
	try {
		const value: unknown = JSON.parse(text);
		return new Map(typeof value === 'object' && value !== null ? Object.entries(value) : []);
	} catch {
		return new Map();
	}
};

const readString = (members: ReadonlyMap<string, unknown>, name: string): string => {
	const value = members.get(name);
	return typeof value === 'string' ? value : '';
};

const classifyProblem = (status: number, members: ReadonlyMap<string, unknown>): CallerResponse => ({
	type: problemClasses.get(members.get('outcome')) ?? ResponseClass.Mismatched, status, code: readString(members, 'code'), upstream: '',
});

const classify = (callerRequest: CallerRequest, response: Dispatcher.ResponseData, text: string): CallerResponse => {
	const {statusCode: status, headers} = response;
	const members = parseJsonObject(text);
	if (headers['content-type'] === 'application/problem+json') {
		const retryAfter = headers['retry-after'];
		return {...classifyProblem(status, members), ...(retryAfter !== undefined && {retryAfterSeconds: Number(retryAfter)})};
	}

	// An upstream that rejects a request responds without a body.
	const isMatching = text === '' || (members.get('body') === (callerRequest.body ?? '') && members.get('idempotencyKey') === (callerRequest.idempotencyKey ?? ''));
	return {
		type: isMatching ? ResponseClass.Answered : ResponseClass.Mismatched, status, code: '', upstream: readString(members, 'instance'),
	};
};

const createHeaders = (callerRequest: CallerRequest): Record<string, string> => ({
	'content-type': 'text/plain',
	'x-request-timeout-ms': String(callerRequest.timeoutMilliseconds),
	...(callerRequest.presentedKey !== undefined && {authorization: `Bearer ${callerRequest.presentedKey}`}),
	...(callerRequest.idempotencyKey !== undefined && {'idempotency-key': callerRequest.idempotencyKey}),
});

/** Errors of undici and of sockets have a code that is a string; a DOMException, such as that of a timeout, has only a name. */
const describeError = (error: unknown): string => {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return 'code' in error && typeof error.code === 'string' ? error.code : error.name;
};

/** Sends one request; never throws. */
export const sendRequest = async (callerRequest: CallerRequest): Promise<CallerResponse> => {
	try {
		const response = await request(`${callerRequest.entryUrl}/queues/${callerRequest.queue}${callerRequest.path}`, {
			method: callerRequest.method,
			headers: createHeaders(callerRequest),
			body: callerRequest.method === 'GET' ? undefined : callerRequest.body,
			signal: AbortSignal.timeout(callerRequest.timeoutMilliseconds + timeoutMarginMilliseconds),
			dispatcher: callerRequest.dispatcher,
		});
		return classify(callerRequest, response, await response.body.text());
	} catch (error) {
		return {
			type: ResponseClass.Broken, status: 0, code: describeError(error), upstream: '',
		};
	}
};
