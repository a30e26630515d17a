/** Errors of the key-value adapter; their kind says whether a write may have taken effect. */
import type {StoreError} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {CallResponse, CallFailure} from './http-caller.js';
import {CallFailureKind, parseJsonText} from './http-caller.js';
import {errorResponse} from './etcd-messages.js';

/** Status codes of gRPC (https://grpc.io/docs/guides/status-codes/) that exclude an effect of the call. */
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

/** All other codes, such as a timeout or a leader change, may be returned after a write took effect. */
const notAppliedCodes = new Set<number>(Object.values(GrpcCode).filter(code => typeof code === 'number'));

const storeErrorsByFailureKind: Readonly<Record<CallFailureKind, Omit<StoreError, 'message'>>> = {
	[CallFailureKind.NotSent]: {kind: StoreErrorKind.NotApplied, code: 'STORE_UNREACHABLE'},
	[CallFailureKind.ConnectionLost]: {kind: StoreErrorKind.Unknown, code: 'STORE_CONNECTION_LOST'},
	[CallFailureKind.Timeout]: {kind: StoreErrorKind.Unknown, code: 'STORE_TIMEOUT'},
	[CallFailureKind.ResponseTooLarge]: {kind: StoreErrorKind.Malformed, code: 'STORE_ANSWER_TOO_LARGE'},
};

export const fromCallFailure = ({kind, message}: CallFailure): StoreError => ({...storeErrorsByFailureKind[kind], message});

export const createMalformedError = (message: string): StoreError => ({kind: StoreErrorKind.Malformed, code: 'STORE_ANSWER_MALFORMED', message});

export const createTooLargeError = (message: string): StoreError => ({kind: StoreErrorKind.TooLarge, code: 'STORE_VALUE_TOO_LARGE', message});

/** Creates the error for a response whose status is not 200. */
export const fromErrorResponse = ({status, text}: CallResponse): StoreError => {
	const parsed = errorResponse.safeParse(parseJsonText(text));
	if (!parsed.success) {
		return createMalformedError(`status ${status} without an error message of the service`);
	}

	const {code, message} = parsed.data;
	// Etcd has no separate code for this.
	if (message.includes('request is too large')) {
		return createTooLargeError(message);
	}

	// Of the calls used here, only those with a lease return this code.
	if (code === Number(GrpcCode.NotFound)) {
		return {kind: StoreErrorKind.NotApplied, code: 'STORE_LEASE_NOT_FOUND', message};
	}

	return notAppliedCodes.has(code)
		? {kind: StoreErrorKind.NotApplied, code: 'STORE_REFUSED', message}
		: {kind: StoreErrorKind.Unknown, code: 'STORE_UNAVAILABLE', message};
};
