/** Interfaces between the gateway and the other components of an entry instance. */
import type {ConfigurationPort} from '@turmericbay/document';
import type {PeerLoad} from '@turmericbay/routing';
import type {
	AvailabilityZone, ClaimPort, Clock, GrantPort, InstanceDirectory, InstanceId, PoolName, ProblemCode, QueueName, RandomSource, TeamName,
} from '@turmericbay/types';

export type GatewaySettings = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	/** Responses up to this size are buffered before the first byte is sent to the caller; larger ones are streamed. */
	readonly maximumBufferedResponseBytes: number;
	/** Time limits for receiving the headers of a request, and the whole request. */
	readonly headersTimeoutMilliseconds: number;
	readonly requestTimeoutMilliseconds: number;
	/** Interval at which the two timeouts above are checked. */
	readonly timeoutCheckIntervalMilliseconds: number;
	readonly callerKeepAliveMilliseconds: number;
	readonly upstreamKeepAliveMilliseconds: number;
	readonly connectTimeoutMilliseconds: number;
	/** Time that `close` allows for requests in flight. */
	readonly drainTimeoutMilliseconds: number;
	/** Attempts per request, the first one included. */
	readonly maximumAttempts: number;
	readonly backoffBaseMilliseconds: number;
	readonly backoffMaximumMilliseconds: number;
};

export const defaultGatewaySettings: GatewaySettings = {
	maximumHeaderBytes: 16_384,
	maximumBodyBytes: 1_048_576,
	maximumBufferedResponseBytes: 1_048_576,
	headersTimeoutMilliseconds: 5000,
	requestTimeoutMilliseconds: 10_000,
	timeoutCheckIntervalMilliseconds: 1000,
	// Shorter than the 5 s that load balancers may take to notice a planned stop, so that all idle connections have closed by then.
	callerKeepAliveMilliseconds: 4000,
	upstreamKeepAliveMilliseconds: 4000,
	connectTimeoutMilliseconds: 1000,
	drainTimeoutMilliseconds: 60_000,
	maximumAttempts: 3,
	backoffBaseMilliseconds: 25,
	backoffMaximumMilliseconds: 1000,
};

export type TraceContext = {
	/** 32 hexadecimal digits. */
	readonly traceId: string;
	/** 16 hexadecimal digits. */
	readonly spanId: string;
	readonly sampled: boolean;
	readonly traceState?: string;
};

export enum SpanName {
	CallerToEntry = 'caller-to-entry',
	QueueWait = 'queue-wait',
	EntryToUpstream = 'entry-to-upstream',
}

export type GatewaySpan = {
	readonly context: TraceContext;
	end(attributes: Readonly<Record<string, string | number>>): void;
};

export type GatewayEvent
	= | {
		readonly type: 'request-finished';
		readonly queue: QueueName;
		readonly team: TeamName | undefined;
		readonly status: number;
		readonly code: ProblemCode | undefined;
		readonly durationMilliseconds: number;
	}
	| {readonly type: 'attempt-failed'; readonly instance: InstanceId; readonly reason: string}
	| {readonly type: 'internal-error'; readonly message: string};

export type GatewayTelemetry = {
	startSpan(options: {readonly name: SpanName; readonly parent: TraceContext | undefined}): GatewaySpan;
	onEvent(event: GatewayEvent): void;
	onUpstreamEjected?(options: {readonly instance: InstanceId}): void;
};

export type GatewayOptions = {
	readonly configuration: ConfigurationPort;
	readonly grants: GrantPort;
	readonly claims: ClaimPort;
	readonly instances: InstanceDirectory;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly zone: AvailabilityZone;
	readonly settings?: Partial<GatewaySettings>;
	readonly telemetry?: GatewayTelemetry;
	/** Creates an idempotency key for `POST /tickets`. */
	readonly issueTicket: () => string;
	/** Checks a key in constant time; undefined if it is not valid. */
	readonly authenticate: (presentedKey: string) => {readonly team: TeamName} | undefined;
};

export type GatewayStatus = {
	readonly pools: ReadonlyArray<{readonly pool: PoolName; readonly queued: number; readonly inFlight: number}>;
	readonly teams: ReadonlyArray<{readonly team: TeamName; readonly running: number; readonly queued: number}>;
	/** Only upstreams with requests in flight and ejected ones; reports to peers would otherwise list thousands of idle ones. */
	readonly upstreams: ReadonlyArray<{readonly instance: InstanceId; readonly inFlight: number; readonly isEjected: boolean}>;
};

export type Gateway = {
	/** Resolves with the port; the operating system chooses it if 0 is given. */
	listen(options: {readonly host: string; readonly port: number}): Promise<{readonly port: number}>;
	status(): GatewayStatus;
	/** Replaces the load reported by other entry instances. */
	setPeerLoads(loads: readonly PeerLoad[]): void;
	/** From now on every response closes its connection (`Connection: close`); requests are still served. */
	beginDrain(): void;
	/** Stops listening, waits for requests up to `drainTimeoutMilliseconds`, then closes the remaining connections. */
	close(): Promise<void>;
};
