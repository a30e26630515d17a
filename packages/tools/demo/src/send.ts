/** One request of a caller, and what its answer says. */
import type {Dispatcher} from 'undici';
import {request} from 'undici';

export enum AnswerClass {
	/** A whole answer of an upstream to this very request. */
	Answered = 'answered',
	/** A refusal that promises that no upstream ran the request. */
	NotRun = 'not-run',
	/** An answer saying that the outcome is not known. */
	Unknown = 'unknown',
	/** An answer saying that the request has run earlier. */
	AlreadyRun = 'already-run',
	/** The connection broke, or the answer was cut or late. */
	Broken = 'broken',
	/** A whole answer that belongs to another request or was changed. Never right. */
	Foreign = 'foreign',
}

export type CallerRequest = {
	/** Base address of an entry instance's listener for callers. */
	readonly entryUrl: string;
	readonly queue: string;
	readonly method: 'GET' | 'POST';
	/** Path and query below the queue, with the leading slash. */
	readonly path: string;
	readonly presentedKey?: string;
	readonly idempotencyKey?: string;
	/** Repeated by the upstream stand-in, which shows whose answer it is. */
	readonly body?: string;
	readonly timeoutMilliseconds: number;
	readonly dispatcher?: Dispatcher;
};

export type CallerAnswer = {
	readonly type: AnswerClass;
	/** 0 if there was none. */
	readonly status: number;
	/** Problem code, or the reason why the answer is broken. */
	readonly code: string;
	/** Upstream that answered, if one did. */
	readonly upstream: string;
	readonly retryAfterSeconds?: number;
};

/** The caller waits longer than the entry instance, so that a timeout there is answered. */
const callerGraceMilliseconds = 2000;

const problemClasses = new Map<unknown, AnswerClass>([
	['not-run', AnswerClass.NotRun],
	['unknown', AnswerClass.Unknown],
	['run', AnswerClass.AlreadyRun],
]);

const parseMembers = (text: string): ReadonlyMap<string, unknown> => {
	try {
		const value: unknown = JSON.parse(text);
		return new Map(typeof value === 'object' && value !== null ? Object.entries(value) : []);
	} catch {
		return new Map();
	}
};

const readText = (members: ReadonlyMap<string, unknown>, name: string): string => {
	const value = members.get(name);
	return typeof value === 'string' ? value : '';
};

const classifyProblem = (status: number, members: ReadonlyMap<string, unknown>): CallerAnswer => ({
	type: problemClasses.get(members.get('outcome')) ?? AnswerClass.Foreign, status, code: readText(members, 'code'), upstream: '',
});

const classify = (sent: CallerRequest, response: Dispatcher.ResponseData, text: string): CallerAnswer => {
	const {statusCode: status, headers} = response;
	const members = parseMembers(text);
	if (headers['content-type'] === 'application/problem+json') {
		const retryAfter = headers['retry-after'];
		return {...classifyProblem(status, members), ...(retryAfter !== undefined && {retryAfterSeconds: Number(retryAfter)})};
	}

	// An upstream that refuses answers without a body; that is its whole answer.
	const isOwn = text === '' || (members.get('body') === (sent.body ?? '') && members.get('idempotencyKey') === (sent.idempotencyKey ?? ''));
	return {
		type: isOwn ? AnswerClass.Answered : AnswerClass.Foreign, status, code: '', upstream: readText(members, 'instance'),
	};
};

const createHeaders = (sent: CallerRequest): Record<string, string> => ({
	'content-type': 'text/plain',
	'x-request-timeout-ms': String(sent.timeoutMilliseconds),
	...(sent.presentedKey !== undefined && {authorization: `Bearer ${sent.presentedKey}`}),
	...(sent.idempotencyKey !== undefined && {'idempotency-key': sent.idempotencyKey}),
});

/** The code of undici and of sockets is a text; an exception of the platform such as a timeout has only a name. */
const describeError = (error: unknown): string => {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return 'code' in error && typeof error.code === 'string' ? error.code : error.name;
};

/** Sends one request; never throws. */
export const sendRequest = async (sent: CallerRequest): Promise<CallerAnswer> => {
	try {
		const response = await request(`${sent.entryUrl}/queues/${sent.queue}${sent.path}`, {
			method: sent.method,
			headers: createHeaders(sent),
			body: sent.method === 'GET' ? undefined : sent.body,
			signal: AbortSignal.timeout(sent.timeoutMilliseconds + callerGraceMilliseconds),
			dispatcher: sent.dispatcher,
		});
		return classify(sent, response, await response.body.text());
	} catch (error) {
		return {
			type: AnswerClass.Broken, status: 0, code: describeError(error), upstream: '',
		};
	}
};
