/** Sends requests to upstreams over HTTP/1.1, one at a time per connection. */
import {errors, Pool} from 'undici';
import type {Dispatcher} from 'undici';
import type {InstanceRecord} from '@turmericbay/types';
import {createResponseReader} from './response-reader.js';
import type {ResponseSink, ReadResult} from './response-reader.js';
import type {GatewaySettings} from './ports.js';

export type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly body: Uint8Array;
	readonly requestId: string;
};

export type SendResult
	/** No byte can have reached the upstream. */
	= | {readonly type: 'not-sent'; readonly reason: 'connect-failed' | 'withdrawn' | 'deadline' | 'invalid'}
		| ReadResult
		| {readonly type: 'timeout'; readonly streaming: boolean};

export type SendOptions = {
	readonly upstream: InstanceRecord;
	readonly connections: number;
	readonly request: OutgoingRequest;
	readonly timeoutMilliseconds: number;
	readonly sink: ResponseSink;
	/** Called when the connection is ready, right before the first byte is sent; false cancels the request. */
	readonly confirmSend: () => boolean;
};

export type UpstreamClient = {
	send(options: SendOptions): Promise<SendResult>;
	/** Closes idle connections at once and busy ones after their response. */
	closeConnections(upstream: InstanceRecord): void;
	destroy(): Promise<void>;
};

const getPoolKey = ({instance, incarnation}: InstanceRecord): string => `${instance}/${incarnation}`;

const dispatch = async (pool: Dispatcher, options: SendOptions): Promise<SendResult> => new Promise(resolve => {
	const {request, sink} = options;
	const reader = createResponseReader({method: request.method, requestId: request.requestId, sink});
	let controller: Dispatcher.DispatchController | undefined;
	let result: SendResult | undefined;

	const finish = (value: SendResult): void => {
		if (result === undefined) {
			result = value;
			clearTimeout(timer);
			resolve(value);
		}
	};

	/** Ends the attempt and destroys its connection, so that a late response cannot be taken for that of another request. */
	const abort = (value: SendResult): void => {
		finish(value);
		controller?.abort(new Error(value.type));
	};

	const onTimeout = (): void => {
		abort(controller === undefined ? {type: 'not-sent', reason: 'deadline'} : {type: 'timeout', streaming: reader.isStreaming()});
	};

	const timer = setTimeout(onTimeout, options.timeoutMilliseconds);

	const abortWithResult = (readResult: ReadResult | undefined): void => {
		if (readResult !== undefined) {
			abort(readResult);
		}
	};

	pool.dispatch({
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: request.body.length === 0 ? null : request.body,
	}, {
		onRequestStart(startedController) {
			if (result !== undefined || !options.confirmSend()) {
				finish({type: 'not-sent', reason: 'withdrawn'});
				startedController.abort(new Error('withdrawn'));
				return;
			}

			controller = startedController;
		},
		onResponseStart(active, status, headers) {
			abortWithResult(reader.start(active, status, headers));
		},
		onResponseData(_active, chunk) {
			reader.data(chunk);
		},
		onResponseEnd() {
			finish(reader.end());
		},
		onResponseError(_active, error) {
			finish(controller === undefined
				? {type: 'not-sent', reason: error instanceof errors.InvalidArgumentError ? 'invalid' : 'connect-failed'}
				: reader.endEarly());
		},
	});
});

export const createUpstreamClient = (settings: GatewaySettings): UpstreamClient => {
	const pools = new Map<string, Pool>();

	const getOrCreatePool = ({upstream, connections}: SendOptions): Pool => {
		const key = getPoolKey(upstream);
		const pool = pools.get(key) ?? new Pool(`http://${upstream.address}`, {
			connections,
			pipelining: 1,
			connectTimeout: settings.connectTimeoutMilliseconds,
			keepAliveTimeout: settings.upstreamKeepAliveMilliseconds,
			// Each request has a timer for its own deadline; the timers of undici would only race with it.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		pools.set(key, pool);
		return pool;
	};

	return {
		send: async options => dispatch(getOrCreatePool(options), options),
		closeConnections(upstream) {
			const key = getPoolKey(upstream);
			const pool = pools.get(key);
			pools.delete(key);
			// `close` waits for requests in flight, and no new request uses the pool.
			void pool?.close();
		},
		async destroy() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
			pools.clear();
		},
	};
};
