/** Key-value store over the etcd v3 JSON gateway. */
import {Buffer} from 'node:buffer';
import type {KeyValueStore, StoreError, StoreOperation} from '@turmericbay/types';
import {maximumValueBytes} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {
	createGrantRequest, createKeyRequest, createLeaseRequest, createPrefixRequest, createTransactionRequest, grantAnswer, keepAliveAnswer, rangeAnswer, revokeAnswer, toStoredEntry, transactionAnswer,
} from './etcd-messages.js';
import {createEtcdWatch} from './etcd-watch.js';
import type {PlatformClientSettings, HttpCaller} from './http-caller.js';
import {createHttpCaller, parseJsonText} from './http-caller.js';
import {
	createMalformedError, createTooLargeError, fromCallFailure, fromErrorAnswer,
} from './store-errors.js';

const okStatus = 200;

export type ClosableStore = KeyValueStore & {
	/** Breaks all connections; calls in flight end with an error. */
	close(): Promise<void>;
};

const createPost = (caller: HttpCaller) =>
	async <Schema extends z.ZodType>(path: string, body: unknown, schema: Schema): Promise<Result<z.infer<Schema>, StoreError>> => {
		const answer = await caller.call({method: 'POST', path, body});
		if (answer.isErr()) {
			return err(fromCallFailure(answer.error));
		}

		if (answer.value.status !== okStatus) {
			return err(fromErrorAnswer(answer.value));
		}

		const parsed = schema.safeParse(parseJsonText(answer.value.text));
		return parsed.success ? ok(parsed.data) : err(createMalformedError(z.prettifyError(parsed.error)));
	};

const isTooLarge = (operation: StoreOperation): boolean =>
	operation.type === 'put' && Buffer.byteLength(operation.value) > maximumValueBytes;

/** Store whose calls go to `settings.origin`; it never throws and never retries. */
export const createEtcdKeyValueStore = (settings: PlatformClientSettings): ClosableStore => {
	const caller = createHttpCaller(settings);
	const post = createPost(caller);
	return {
		async read({key}) {
			const answer = await post('/v3/kv/range', createKeyRequest(key), rangeAnswer);
			return answer.map(({kvs: [entry]}) => entry && toStoredEntry(entry));
		},
		async list({prefix, limit, after}) {
			const answer = await post('/v3/kv/range', {...createPrefixRequest({prefix, after}), limit: String(limit)}, rangeAnswer);
			return answer.map(({kvs, more, header}) => ({entries: kvs.map(entry => toStoredEntry(entry)), more, revision: header.revision}));
		},
		async transact(transaction) {
			if (transaction.operations.some(operation => isTooLarge(operation))) {
				return err(createTooLargeError(`a value exceeds ${maximumValueBytes} bytes`));
			}

			const answer = await post('/v3/kv/txn', createTransactionRequest(transaction), transactionAnswer);
			return answer.map(({succeeded, header: {revision}}) => ({type: succeeded ? 'committed' as const : 'condition-failed' as const, revision}));
		},
		async grantLease({timeToLiveSeconds}) {
			const answer = await post('/v3/lease/grant', createGrantRequest(timeToLiveSeconds), grantAnswer);
			return answer.map(({ID}) => ({leaseId: ID}));
		},
		async renewLease({leaseId}) {
			const answer = await post('/v3/lease/keepalive', createLeaseRequest(leaseId), keepAliveAnswer);
			return answer.map(({result}) => ({timeToLiveSeconds: Math.max(0, result.TTL)}));
		},
		async revokeLease({leaseId}) {
			const answer = await post('/v3/lease/revoke', createLeaseRequest(leaseId), revokeAnswer);
			return answer.map(() => undefined);
		},
		watch: createEtcdWatch(caller),
		close: async () => caller.close(),
	};
};
