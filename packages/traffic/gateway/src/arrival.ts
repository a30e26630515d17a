/** Authorizes, checks and reads a request before it may queue. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {authorize} from '@turmericbay/admission';
import type {ConfigurationDocument, QueueDeclaration} from '@turmericbay/document';
import {ProblemCode} from '@turmericbay/types';
import type {Problem} from '@turmericbay/types';
import type {AttemptContext, Authorization} from './attempt.js';
import {createCallerSink} from './caller-response.js';
import {
	checkKey, isRepeatable, parseTarget, parseTimeout,
} from './exchange.js';
import type {Exchange} from './exchange.js';
import {readBody} from './request-body.js';

export type ReceiveResult
	= | {readonly type: 'accepted'; readonly exchange: Exchange; readonly authorization: Authorization; readonly document: ConfigurationDocument}
		| {readonly type: 'refused'; readonly problem: Problem}
		/** The caller has disconnected, or the request was malformed and the HTTP server's `clientError` handler responds. */
		| {readonly type: 'disconnected'};

type Caller = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly span: Exchange['span'];
	readonly arrivedAt: number;
};

const refuse = (code: ProblemCode, detail: string): ReceiveResult => ({type: 'refused', problem: {code, detail}});

/** Checks the headers that belong to the gateway's own protocol. */
const checkHeaders = ({headers, method}: IncomingMessage, queue: QueueDeclaration, timeout: number | undefined): Problem | undefined => {
	if (timeout === undefined) {
		return {code: ProblemCode.MalformedRequest, detail: 'X-Request-Timeout-Ms takes a whole number of milliseconds.'};
	}

	return !isRepeatable(queue, method ?? '') && headers['idempotency-key'] === undefined
		? {code: ProblemCode.IdempotencyKeyMissing, detail: 'Send the header Idempotency-Key with a UUIDv7.'}
		: undefined;
};

const receiveBody = async (context: AttemptContext, caller: Caller, authorized: {
	readonly target: Pick<Exchange, 'queueName' | 'path'>;
	readonly keyCheck: Exchange['keyCheck'];
	readonly authorization: Authorization;
	readonly document: ConfigurationDocument;
	readonly timeoutMilliseconds: number;
}): Promise<ReceiveResult> => {
	const {maximumBodyBytes, maximumBufferedResponseBytes} = context.settings;
	const {request, response, span, arrivedAt} = caller;
	const {target, keyCheck, authorization, document, timeoutMilliseconds} = authorized;
	const disconnect = new AbortController();
	response.once('close', () => {
		disconnect.abort();
	});
	const result = await readBody(request, maximumBodyBytes);
	if (result.type === 'broken') {
		return {type: 'disconnected'};
	}

	if (result.type === 'too-large') {
		response.setHeader('connection', 'close');
		return refuse(ProblemCode.BodyTooLarge, `Send at most ${maximumBodyBytes} bytes.`);
	}

	const exchange: Exchange = {
		...target,
		id: randomUUID(),
		method: request.method ?? '',
		headers: request.headers,
		body: result.body,
		keyCheck,
		arrivedAt,
		deadline: arrivedAt + timeoutMilliseconds,
		span,
		sink: createCallerSink(response, maximumBufferedResponseBytes),
		disconnectSignal: disconnect.signal,
		claimAttempt: undefined,
		isClaimDecided: false,
		unknownOutcomeProblem: undefined,
		attempts: 0,
	};
	return {
		type: 'accepted', exchange, authorization, document,
	};
};

export const receiveRequest = async (context: AttemptContext, caller: Caller): Promise<ReceiveResult> => {
	const {configuration, authenticate} = context.options;
	const {request} = caller;
	const document = configuration.current()?.document;
	const target = parseTarget(request.url ?? '');
	if (document === undefined) {
		return {type: 'refused', problem: {code: ProblemCode.NotReady, detail: 'Retry at another entry instance.', retryAfterSeconds: 1}};
	}

	if (target === undefined) {
		return refuse(ProblemCode.QueueUnknown, 'Use a path below /queues/{queue}/.');
	}

	const keyCheck = checkKey(request.headers, authenticate);
	const authorization = authorize({
		document, queueName: target.queueName, keyCheck, confirmationAgeMilliseconds: configuration.confirmationAgeMilliseconds(),
	});
	if (authorization.type === 'refused') {
		return authorization;
	}

	const timeoutMilliseconds = parseTimeout(request, authorization.queue);
	const problem = checkHeaders(request, authorization.queue, timeoutMilliseconds);
	return problem === undefined
		? receiveBody(context, caller, {
			target, keyCheck, authorization, document, timeoutMilliseconds: timeoutMilliseconds ?? 0,
		})
		: {type: 'refused', problem};
};
