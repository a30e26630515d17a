/**
 * Narrow interfaces between the components of an entry instance. The daemon
 * connects the implementations; tests pass small fakes.
 */
import type {
	Incarnation, InstanceId, QueueName, TeamName,
} from './identifiers.js';
import type {InstanceRecord} from './instances.js';
import type {Problem} from './problems.js';

/** How an attempt to run a request with an idempotency key ended. */
export enum Settlement {
	/** An upstream ran the request. */
	Run = 'run',
	/** No byte reached an upstream; the key may be claimed again. */
	NotRun = 'not-run',
	/** Bytes may have reached an upstream, but it is not known whether it ran the request. */
	Unknown = 'unknown',
}

export type ClaimDecision
	= | {readonly type: 'granted'; readonly attempt: string}
		| {readonly type: 'refused'; readonly problem: Problem};

/** Records idempotency claims with the owner of the key's partition. */
export type ClaimPort = {
	claim(options: {
		readonly key: string;
		readonly team: TeamName;
		readonly queue: QueueName;
		/** SHA-256 of method, path and body. */
		readonly fingerprint: Uint8Array;
		/** W3C trace context of the request, for the span of the call to the owner. */
		readonly traceparent?: string;
	}): Promise<ClaimDecision>;
	settle(options: {
		readonly key: string;
		readonly team: TeamName;
		readonly queue: QueueName;
		readonly attempt: string;
		readonly settlement: Settlement;
	}): void;
};

/** Units of the teams' upper limits that this entry instance holds. */
export type GrantPort = {
	/** Takes one unit for one running request or job; false if none is free. */
	tryAcquire(options: {readonly team: TeamName}): boolean;
	release(options: {readonly team: TeamName}): void;
	/** Registers a listener that is called when a team that had no free unit has one again. */
	onAvailable(listener: (team: TeamName) => void): void;
};

/** Identifies one process of an instance; a restart gets a new incarnation. */
export type ProcessIdentity = {
	readonly instance: InstanceId;
	readonly incarnation: Incarnation;
};

/** What is known about the platform's instance list. */
export type InstanceDirectory = {
	/** The newest list received; empty before the first one. */
	instances(): readonly InstanceRecord[];
	/** Milliseconds since that list was read from the platform; undefined before the first one. */
	ageMilliseconds(): number | undefined;
	/**
	 * True if an earlier list contained this process and the newest one no longer
	 * does, or contains another incarnation of the same instance. A process that no
	 * list has contained may only not be listed yet.
	 */
	isProvenGone(identity: ProcessIdentity): boolean;
	subscribe(listener: () => void): void;
};
