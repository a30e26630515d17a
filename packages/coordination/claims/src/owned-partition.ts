/** State of one partition at its owner. */
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
	/** What is left is recorded before the partition is handed over; no new claims are taken. */
	Releasing = 'releasing',
}

export type Question = {
	readonly request: ClaimRequest;
	readonly deadline: number;
	readonly answer: (verdict: Verdict) => void;
};

export type OwnedPartition = {
	readonly partition: number;
	stored: StoredRecord;
	phase: PartitionPhase;
	readonly claims: Map<string, ClaimEntry>;
	incompleteBefore: number;
	/** The last refusal that no record tells of. */
	refusedAt: number;
	/** Questions that wait for the records of earlier owners. */
	postponed: Question[];
	/** Records of earlier owners, until all of them have been read. */
	readonly staged: Map<string, ClaimEntry>;
};

/**
 * Without its own session in the record an owner that dies counts as one that
 * granted nothing; with the present one the records count as complete.
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
	postponed: [],
	staged: new Map(),
});
