/* eslint-disable @typescript-eslint/naming-convention -- Field names are those of the etcd gateway. */
/**
 * Messages of the etcd v3 JSON gateway
 * (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/): keys and values in
 * base64, 64-bit integers as strings, fields with their default value absent.
 */
import {Buffer} from 'node:buffer';
import type {StoreCondition, StoredEntry, StoreOperation} from '@turmericbay/types';
import {z} from 'zod';

const int64 = z.union([z.string().regex(/^-?\d+$/v), z.number()])
	.transform(Number)
	.pipe(z.int())
	.default(0);
const utf8 = z.base64().transform(text => Buffer.from(text, 'base64').toString());

const header = z.object({revision: int64});
const keyValue = z.object({key: utf8, value: utf8.default(''), mod_revision: int64});

export const rangeResponse = z.object({header, kvs: z.array(keyValue).default([]), more: z.boolean().default(false)});
export const transactionResponse = z.object({header, succeeded: z.boolean().default(false)});
export const grantResponse = z.object({ID: z.union([z.string(), z.int()]).transform(String)});
export const keepAliveResponse = z.object({result: z.object({TTL: int64})});
export const revokeResponse = z.object({header});
export const errorResponse = z.object({code: z.int(), message: z.string().default('')});

const event = z.object({type: z.string().default('PUT'), kv: keyValue});
export const watchResponse = z.object({
	result: z.object({
		canceled: z.boolean().default(false),
		cancel_reason: z.string().default(''),
		events: z.array(event).default([]),
	}),
});

export const toStoredEntry = (message: z.infer<typeof keyValue>): StoredEntry => ({
	key: message.key, value: message.value, modifiedRevision: message.mod_revision,
});

const encodeBase64 = (text: string): string => Buffer.from(text).toString('base64');

const highestByte = 255;

/** The end of the key range with this prefix: the prefix with its last byte raised by one. */
const encodePrefixEnd = (prefix: string): string => {
	const bytes = Buffer.from(prefix);
	const last = bytes.findLastIndex(byte => byte < highestByte);
	if (last === -1) {
		// As the end of a range, a single zero byte means that the range has no end.
		return Buffer.from([0]).toString('base64');
	}

	const end = Buffer.from(bytes.subarray(0, last + 1));
	end[last]! += 1;
	return end.toString('base64');
};

/** Etcd rejects an empty key, so a range over all keys starts at the zero byte. */
const lowestKey = '\0';

export const createKeyRequest = (key: string) => ({key: encodeBase64(key)});

/** Keys with the prefix, after the key `after` if it is given. */
export const createPrefixRequest = ({prefix, after}: {readonly prefix: string; readonly after?: string}) => ({
	key: encodeBase64(after === undefined ? (prefix === '' ? lowestKey : prefix) : `${after}\0`),
	range_end: encodePrefixEnd(prefix),
});

export const createGrantRequest = (timeToLiveSeconds: number) => ({TTL: String(timeToLiveSeconds)});

export const createLeaseRequest = (leaseId: string) => ({ID: leaseId});

export const createWatchRequest = (prefix: string) => ({create_request: createPrefixRequest({prefix})});

const createOperation = (operation: StoreOperation): unknown => {
	switch (operation.type) {
		case 'put': {
			return {
				request_put: {
					key: encodeBase64(operation.key),
					value: encodeBase64(operation.value),
					...(operation.leaseId !== undefined && {lease: operation.leaseId}),
				},
			};
		}

		case 'delete': {
			return {request_delete_range: createKeyRequest(operation.key)};
		}

		case 'delete-prefix': {
			return {request_delete_range: createPrefixRequest(operation)};
		}
	}
};

export const createTransactionRequest = (options: {
	readonly conditions: readonly StoreCondition[];
	readonly operations: readonly StoreOperation[];
}): unknown => ({
	compare: options.conditions.map(({key, modifiedRevision}) => ({
		key: encodeBase64(key), target: 'MOD', result: 'EQUAL', mod_revision: String(modifiedRevision),
	})),
	success: options.operations.map(operation => createOperation(operation)),
});
