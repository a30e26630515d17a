/** Key-value store over the etcd v3 JSON gateway. */
import {Buffer} from 'node:buffer';
import type {KeyValueStore, StoreError, StoreOperation} from '@turmericbay/types';
import {maximumValueBytes} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {
	createGrantRequest, createKeyRequest, createLeaseRequest, createPrefixRequest, createTransactionRequest,
	grantResponse, keepAliveResponse, rangeResponse, revokeResponse, toStoredEntry, transactionResponse,
} from './etcd-messages.js';
import {createEtcdWatch} from './etcd-watch.js';
import type {PlatformClientSettings, HttpCaller} from './http-caller.js';
import {createHttpCaller, parseJsonText} from './http-caller.js';
import {
	createMalformedError, createTooLargeError, fromCallFailure, fromErrorResponse,
} from './store-errors.js';

const okStatus = 200;

export type ClosableStore = KeyValueStore & {
	/** Closes all connections; calls in flight end with an error. */
	close(): Promise<void>;
};

const createPost = (caller: HttpCaller) =>
	async <Schema extends z.ZodType>(path: string, body: unknown, schema: Schema): Promise<Result<z.infer<Schema>, StoreError>> => {
		const response = await caller.call({method: 'POST', path, body});
		if (response.isErr()) {
			return err(fromCallFailure(response.error));
		}

		if (response.value.status !== okStatus) {
			return err(fromErrorResponse(response.value));
		}

		const parsed = schema.safeParse(parseJsonText(response.value.text));
		return parsed.success ? ok(parsed.data) : err(createMalformedError(z.prettifyError(parsed.error)));
	};

const isTooLarge = (operation: StoreOperation): boolean =>
	operation.type === 'put' && Buffer.byteLength(operation.value) > maximumValueBytes;

/** Creates a store that calls the service at `settings.origin`; it never throws and never retries. */
export const createEtcdKeyValueStore = (settings: PlatformClientSettings): ClosableStore => {
	const caller = createHttpCaller(settings);
	const post = createPost(caller);
	return {
		async read({key}) {
			const response = await post('/v3/kv/range', createKeyRequest(key), rangeResponse);
			return response.map(({kvs: [entry]}) => entry && toStoredEntry(entry));
		},
		async list({prefix, limit, after}) {
			const response = await post('/v3/kv/range', {...createPrefixRequest({prefix, after}), limit: String(limit)}, rangeResponse);
			return response.map(({kvs, more, header}) => ({entries: kvs.map(entry => toStoredEntry(entry)), more, revision: header.revision}));
		},
		async transact(transaction) {
			if (transaction.operations.some(operation => isTooLarge(operation))) {
				return err(createTooLargeError(`a value exceeds ${maximumValueBytes} bytes`));
			}

			const response = await post('/v3/kv/txn', createTransactionRequest(transaction), transactionResponse);
			return response.map(({succeeded, header: {revision}}) => ({type: succeeded ? 'committed' as const : 'condition-failed' as const, revision}));
		},
		async grantLease({timeToLiveSeconds}) {
			const response = await post('/v3/lease/grant', createGrantRequest(timeToLiveSeconds), grantResponse);
			return response.map(({ID}) => ({leaseId: ID}));
		},
		async renewLease({leaseId}) {
			const response = await post('/v3/lease/keepalive', createLeaseRequest(leaseId), keepAliveResponse);
			return response.map(({result}) => ({timeToLiveSeconds: Math.max(0, result.TTL)}));
		},
		async revokeLease({leaseId}) {
			const response = await post('/v3/lease/revoke', createLeaseRequest(leaseId), revokeResponse);
			return response.map(() => undefined);
		},
		watch: createEtcdWatch(caller),
		close: async () => caller.close(),
	};
};
