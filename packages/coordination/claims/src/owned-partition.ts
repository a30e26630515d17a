/** State of a partition in the process that owns it. */
import type {ClaimEntry, ClaimRequest} from './claim-table.js';
import type {Verdict} from './messages.js';
import type {StoredRecord} from './partition-record.js';

export type Times = {
	/** Wall clock in milliseconds, for the times in keys. */
	readonly wall: number;
	/** Monotonic milliseconds, for deadlines. */
	readonly monotonic: number;
};

export enum PartitionPhase {
	/** The records of earlier owners are being read. */
	Loading = 'loading',
	Serving = 'serving',
	/** Outstanding changes are stored before the partition is handed over; new claims are refused. */
	Releasing = 'releasing',
}

/** A claim request that waits for its verdict. */
export type PendingClaim = {
	readonly request: ClaimRequest;
	readonly deadline: number;
	readonly respond: (verdict: Verdict) => void;
};

export type OwnedPartition = {
	readonly partition: number;
	stored: StoredRecord;
	phase: PartitionPhase;
	readonly claims: Map<string, ClaimEntry>;
	incompleteBefore: number;
	/** Until then an earlier owner may have refused attempts without recording it. */
	refusedAt: number;
	/** Claim requests that wait until the records of earlier owners are loaded. */
	deferred: PendingClaim[];
	/** Claims from the records of earlier owners; moved to `claims` once all are loaded. */
	readonly loaded: Map<string, ClaimEntry>;
};

/**
 * A successor treats the stored claims as complete if the record names no session
 * or one that is still active. Grants without a record are therefore safe only
 * while the record names a session of this process that has ended.
 */
export const canGrantFromMemory = ({phase, stored}: OwnedPartition, sessionId: string | undefined) =>
	phase !== PartitionPhase.Releasing && stored.record.session !== '' && stored.record.session !== sessionId;

export const createOwnedPartition = (partition: number, stored: StoredRecord): OwnedPartition => ({
	partition,
	stored,
	phase: stored.record.sources.length > 0 ? PartitionPhase.Loading : PartitionPhase.Serving,
	claims: new Map(),
	incompleteBefore: stored.record.incompleteBefore,
	refusedAt: stored.record.refusedAt,
	deferred: [],
	loaded: new Map(),
});
