/** State of one request of a caller, from its arrival to the response. */
import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {KeyCheckResult} from '@turmericbay/admission';
import {Repeatability} from '@turmericbay/document';
import type {QueueDeclaration} from '@turmericbay/document';
import type {Problem, QueueName} from '@turmericbay/types';
import type {ResponseSink} from './response-reader.js';
import {getBearerKey} from './headers.js';
import type {GatewayOptions, GatewaySpan} from './ports.js';

export type Exchange = {
	readonly id: string;
	readonly queueName: QueueName;
	readonly method: string;
	/** Path and query as sent to the upstream. */
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	readonly keyCheck: KeyCheckResult;
	readonly arrivedAt: number;
	/** On the monotonic clock. */
	readonly deadline: number;
	readonly span: GatewaySpan;
	readonly sink: ResponseSink;
	/** Aborted when the caller disconnects. */
	readonly disconnectSignal: AbortSignal;
	/** Identifier of the granted claim of the idempotency key, until it is settled. */
	claimAttempt: string | undefined;
	/** Set once the owner of the claim has granted or refused it; only then may a refusal report the outcome `not-run`. */
	isClaimDecided: boolean;
	/** Set once an attempt may have run; after that no refusal may report the outcome `not-run`. */
	unknownOutcomeProblem: Problem | undefined;
	attempts: number;
};

const pathPattern = /^\/queues\/(?<queue>[^\/?]+)(?<path>\/[^?]*)?(?<query>\?.*)?$/v;

export const parseTarget = (url: string): {queueName: QueueName; path: string} | undefined => {
	const groups = pathPattern.exec(url)?.groups;
	return groups?.queue === undefined
		? undefined
		: {queueName: groups.queue, path: `${groups.path ?? '/'}${groups.query ?? ''}`};
};

/** Milliseconds that the caller allows, at most the queue's timeout; undefined if the header is malformed. */
export const parseTimeout = (request: IncomingMessage, queue: QueueDeclaration): number | undefined => {
	const text = request.headers['x-request-timeout-ms'];
	if (text === undefined) {
		return queue.timeoutMilliseconds;
	}

	return typeof text === 'string' && /^\d{1,9}$/v.test(text)
		? Math.min(Number(text), queue.timeoutMilliseconds)
		: undefined;
};

export const checkKey = (headers: IncomingHttpHeaders, authenticate: GatewayOptions['authenticate']): KeyCheckResult => {
	const key = getBearerKey(headers);
	if (key === undefined) {
		return {type: 'missing'};
	}

	const authenticated = authenticate(key);
	return authenticated === undefined ? {type: 'rejected'} : {type: 'accepted', team: authenticated.team};
};

// Idempotent methods of RFC 9110, section 9.2.2.
const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE']);

export const isRepeatable = (queue: QueueDeclaration, method: string): boolean => {
	switch (queue.repeatability) {
		case Repeatability.Always: {
			return true;
		}

		case Repeatability.Never: {
			return false;
		}

		case Repeatability.ByMethod: {
			return idempotentMethods.has(method);
		}
	}
};

/** SHA-256 of method, path and body; detects an idempotency key that is reused for another request. */
export const computeFingerprint = ({method, path, body}: Pick<Exchange, 'method' | 'path' | 'body'>): Uint8Array =>
	createHash('sha256').update(`${method} ${path}\n`).update(body).digest();
