/** Shared-secret authentication of peers and operators, compared in constant time. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {Code, ConnectError} from '@connectrpc/connect';
import type {Interceptor} from '@connectrpc/connect';

const hash = (text: string): Uint8Array => createHash('sha256').update(text).digest();

/** Compares digests in constant time, so that timing reveals neither content nor length. */
export const isSecretEqual = (options: {readonly presented: string; readonly expected: string}): boolean =>
	timingSafeEqual(hash(options.presented), hash(options.expected));

const bearerPrefix = 'Bearer ';

/** Adds the secret to each call of a client. */
export const createBearerInterceptor = (secret: string): Interceptor => next => async request => {
	request.header.set('authorization', `${bearerPrefix}${secret}`);
	return next(request);
};

/** Rejects calls without the secret; `onRejected` is called for each, for the log. */
export const createBearerCheck = (options: {
	readonly secret: string;
	readonly onRejected?: () => void;
}): Interceptor => next => async request => {
	const header = request.header.get('authorization') ?? '';
	const presented = header.startsWith(bearerPrefix) ? header.slice(bearerPrefix.length) : '';
	if (!isSecretEqual({presented, expected: options.secret})) {
		options.onRejected?.();
		throw new ConnectError('The secret is missing or wrong', Code.Unauthenticated);
	}

	return next(request);
};
