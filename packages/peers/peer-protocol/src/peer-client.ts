/**
 * Client of another entry instance. Calls use one HTTP/2 connection and the
 * Connect protocol; errors are returned as typed results, never thrown.
 */
import {Code, ConnectError, createClient} from '@connectrpc/connect';
import type {CallOptions, Client} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {createBearerInterceptor} from './authentication.js';
import {PeerService} from './generated/turmericbay/peer/v1/peer_pb.js';

export type PeerErrorCode = 'PEER_UNREACHABLE' | 'PEER_TIMEOUT' | 'PEER_REJECTED' | 'PEER_FAILED';

export type PeerError = {
	readonly code: PeerErrorCode;
	readonly message: string;
};

export type PeerServiceClient = Client<typeof PeerService>;

export type PeerClient = {
	/** Makes one call; it fails after `timeoutMilliseconds` at the latest. */
	call<Value>(
		invoke: (client: PeerServiceClient, options: CallOptions) => Promise<Value>,
		options?: {readonly timeoutMilliseconds?: number},
	): Promise<Result<Value, PeerError>>;
	close(): void;
};

const peerErrorCodes: ReadonlyMap<Code, PeerErrorCode> = new Map([
	[Code.Unavailable, 'PEER_UNREACHABLE'],
	[Code.DeadlineExceeded, 'PEER_TIMEOUT'],
	[Code.Canceled, 'PEER_TIMEOUT'],
	[Code.Unauthenticated, 'PEER_REJECTED'],
	[Code.PermissionDenied, 'PEER_REJECTED'],
]);

/** Idle connections are pinged at this interval, so that a network partition is detected. */
const pingIntervalMilliseconds = 2000;
const pingTimeoutMilliseconds = 1000;

export const createPeerClient = (options: {
	readonly baseUrl: string;
	readonly secret: string;
	readonly defaultTimeoutMilliseconds: number;
}): PeerClient => {
	const sessionManager = new Http2SessionManager(options.baseUrl, {
		pingIntervalMs: pingIntervalMilliseconds,
		pingTimeoutMs: pingTimeoutMilliseconds,
	});
	const client = createClient(PeerService, createConnectTransport({
		baseUrl: options.baseUrl,
		httpVersion: '2',
		sessionManager,
		interceptors: [createBearerInterceptor(options.secret)],
		useBinaryFormat: true,
	}));

	return {
		async call(invoke, {timeoutMilliseconds = options.defaultTimeoutMilliseconds} = {}) {
			try {
				return ok(await invoke(client, {timeoutMs: timeoutMilliseconds}));
			} catch (error) {
				const {code, rawMessage} = ConnectError.from(error);
				return err({code: peerErrorCodes.get(code) ?? 'PEER_FAILED', message: rawMessage});
			}
		},
		close() {
			sessionManager.abort();
		},
	};
};
