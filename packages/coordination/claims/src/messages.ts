/** Messages between an instance that claims a key and the owner of its partition, as in the peer protocol. */
import type {
	ProcessIdentity, QueueName, Settlement, TeamName,
} from '@turmericbay/types';

/** Answer to a claim; corresponds to `ClaimVerdict` in the peer protocol. */
export enum Verdict {
	/** The attempt may run. */
	Granted = 'granted',
	/** Another attempt with the key has not been settled. */
	Running = 'running',
	/** An attempt with the key has run. */
	Run = 'run',
	/** An attempt with the key may have run, or may still be granted. */
	Unknown = 'unknown',
	/** The not-run answer: no attempt with the key has run, and this one will not. */
	NotRecorded = 'not-recorded',
	/** The key was used for another request or queue. */
	Reused = 'reused',
	/** The process does not own the partition of the key. */
	NotOwner = 'not-owner',
	Expired = 'expired',
}

export type ClaimMessage = {
	readonly key: string;
	readonly team: TeamName;
	readonly queue: QueueName;
	/** SHA-256 of method, path and body. */
	readonly fingerprint: Uint8Array;
	/** Unique identifier made by `formatAttempt`; contains the time at which the attempt began. */
	readonly attempt: string;
	/** W3C trace context of the request; the owner's decision does not depend on it. */
	readonly traceparent?: string | undefined;
};

export type SettleMessage = {
	readonly key: string;
	readonly team: TeamName;
	readonly queue: QueueName;
	readonly attempt: string;
	readonly settlement: Settlement;
};

export type ClaimPeer = {
	/** Calls `Claim`; undefined if the peer did not answer. */
	claim(options: {readonly to: ProcessIdentity; readonly message: ClaimMessage}): Promise<Verdict | undefined>;
	/** Calls `SettleClaim`; false if the settlement was not recorded or the peer did not answer. */
	settle(options: {readonly to: ProcessIdentity; readonly message: SettleMessage}): Promise<boolean>;
};

export type AttemptParts = {
	/** Wall clock of the requesting instance, in milliseconds. */
	readonly startedAt: number;
	readonly sequence: number;
	/** Instance and incarnation of the requesting process. */
	readonly source: string;
};

export const formatAttempt = ({startedAt, sequence, source}: AttemptParts): string =>
	`${startedAt.toString(36)}.${sequence.toString(36)}.${source}`;

export const parseAttempt = (attempt: string): AttemptParts | undefined => {
	const groups = /^(?<started>[\da-z]{1,10})\.(?<sequence>[\da-z]{1,10})\.(?<source>.+)$/v.exec(attempt)?.groups;
	return groups && {
		startedAt: Number.parseInt(groups.started!, 36),
		sequence: Number.parseInt(groups.sequence!, 36),
		source: groups.source!,
	};
};
