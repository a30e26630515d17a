/** Everything that the gateway takes from and gives to the rest of an entry instance. */
import type {ConfigurationPort} from '@turmericbay/document';
import type {PeerLoad} from '@turmericbay/routing';
import type {
	AvailabilityZone, ClaimPort, Clock, GrantPort, InstanceDirectory, InstanceId, PoolName, ProblemCode, QueueName, RandomSource, TeamName,
} from '@turmericbay/types';

export type GatewaySettings = {
	readonly maximumHeaderBytes: number;
	readonly maximumBodyBytes: number;
	/** Answers up to this size are read whole before the first byte goes to the caller. */
	readonly maximumBufferedResponseBytes: number;
	/** Time in which a caller has to send its headers, and its whole request. */
	readonly headersTimeoutMilliseconds: number;
	readonly requestTimeoutMilliseconds: number;
	/** How often the two timeouts above are checked. */
	readonly timeoutCheckIntervalMilliseconds: number;
	readonly callerKeepAliveMilliseconds: number;
	readonly upstreamKeepAliveMilliseconds: number;
	readonly connectTimeoutMilliseconds: number;
	/** Time that `close` gives to requests in flight. */
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
	// Shorter than the balancer lag of a planned stop, so that no idle connection outlives it.
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
	/** An idempotency key for `POST /tickets`. */
	readonly issueTicket: () => string;
	/** Checks a presented key in constant time. */
	readonly authenticate: (presentedKey: string) => {readonly team: TeamName} | undefined;
};

export type GatewayStatus = {
	readonly pools: ReadonlyArray<{readonly pool: PoolName; readonly queued: number; readonly inFlight: number}>;
	readonly teams: ReadonlyArray<{readonly team: TeamName; readonly running: number; readonly queued: number}>;
	/** Upstreams with requests in flight and ejected ones; thousands of idle ones would be copied in each exchange. */
	readonly upstreams: ReadonlyArray<{readonly instance: InstanceId; readonly inFlight: number; readonly isEjected: boolean}>;
};

export type Gateway = {
	/** Resolves with the port, which the system chooses if 0 is given. */
	listen(options: {readonly host: string; readonly port: number}): Promise<{readonly port: number}>;
	status(): GatewayStatus;
	/** Replaces what is known about the other entry instances. */
	setPeerLoads(loads: readonly PeerLoad[]): void;
	/** From now on every answer asks the caller to close its connection; requests are still served. */
	beginDrain(): void;
	/** Stops listening, finishes requests in flight up to the bound, then cuts the rest. */
	close(): Promise<void>;
};
