/** Errors of the key-value adapter, and what they say about a write. */
import type {StoreError} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {CallAnswer, CallFailure} from './http-caller.js';
import {CallFailureKind, parseJsonText} from './http-caller.js';
import {errorAnswer} from './etcd-messages.js';

/** Codes of gRPC (https://grpc.io/docs/guides/status-codes/). */
enum GrpcCode {
	InvalidArgument = 3,
	NotFound = 5,
	AlreadyExists = 6,
	PermissionDenied = 7,
	ResourceExhausted = 8,
	FailedPrecondition = 9,
	OutOfRange = 11,
	Unimplemented = 12,
	Unauthenticated = 16,
}

/** All other codes, such as a timeout or a change of leader, may follow a write that took effect. */
const refusalCodes = new Set<number>(Object.values(GrpcCode).filter(code => typeof code === 'number'));

const failureErrors: Readonly<Record<CallFailureKind, Omit<StoreError, 'message'>>> = {
	[CallFailureKind.NotSent]: {kind: StoreErrorKind.NotApplied, code: 'STORE_UNREACHABLE'},
	[CallFailureKind.ConnectionLost]: {kind: StoreErrorKind.Unknown, code: 'STORE_CONNECTION_LOST'},
	[CallFailureKind.Timeout]: {kind: StoreErrorKind.Unknown, code: 'STORE_TIMEOUT'},
	[CallFailureKind.AnswerTooLarge]: {kind: StoreErrorKind.Malformed, code: 'STORE_ANSWER_TOO_LARGE'},
};

export const fromCallFailure = ({kind, message}: CallFailure): StoreError => ({...failureErrors[kind], message});

export const createMalformedError = (message: string): StoreError => ({kind: StoreErrorKind.Malformed, code: 'STORE_ANSWER_MALFORMED', message});

export const createTooLargeError = (message: string): StoreError => ({kind: StoreErrorKind.TooLarge, code: 'STORE_VALUE_TOO_LARGE', message});

/** Error for an answer whose status is not 200. */
export const fromErrorAnswer = ({status, text}: CallAnswer): StoreError => {
	const parsed = errorAnswer.safeParse(parseJsonText(text));
	if (!parsed.success) {
		return createMalformedError(`status ${status} without an error message of the service`);
	}

	const {code, message} = parsed.data;
	if (message.includes('request is too large')) {
		return createTooLargeError(message);
	}

	if (code === Number(GrpcCode.NotFound)) {
		return {kind: StoreErrorKind.NotApplied, code: 'STORE_LEASE_NOT_FOUND', message};
	}

	return refusalCodes.has(code)
		? {kind: StoreErrorKind.NotApplied, code: 'STORE_REFUSED', message}
		: {kind: StoreErrorKind.Unknown, code: 'STORE_UNAVAILABLE', message};
};
