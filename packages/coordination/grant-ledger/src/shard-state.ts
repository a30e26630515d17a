/** A holder's state of one shard, and the store calls that change it. */
import type {RandomSource, Revision, TeamName} from '@turmericbay/types';
import type {Transfer} from './plan.js';
import type {ShardTable} from './shard.js';

export type PendingTransfer = {
	readonly transfer: Transfer;
	readonly deadline: number;
	readonly respond: (units: number) => void;
};

export type ShardState = {
	table: ShardTable;
	revision: Revision;
	readAt: number | undefined;
	needsRead: boolean;
	busy: boolean;
	/**
	 * Revision on which a write without a response is conditional. That write may
	 * still take effect as long as the shard has this revision.
	 */
	uncertainRevision: Revision | undefined;
	retryAt: number;
	failures: number;
	/** Time of the next plan for all teams; teams with a waiting caller or transfer are planned sooner. */
	nextFullPlanAt: number;
	pendingTransfers: PendingTransfer[];
};

export type WriteCommand = {
	readonly type: 'write';
	readonly shard: number;
	readonly value: string;
	readonly revision: Revision;
	readonly table: ShardTable;
	/** Units held before those were lowered for the write; restored if the write had no effect. */
	readonly heldBefore: ReadonlyMap<TeamName, number>;
	readonly responses: ReadonlyArray<{readonly pending: PendingTransfer; readonly units: number}>;
	readonly reclaimed: number;
};

export type LedgerCommand = {readonly type: 'read'; readonly shard: number} | WriteCommand;

export type LedgerOutcome
	= | {readonly type: 'read'; readonly table: ShardTable; readonly revision: Revision}
		| {readonly type: 'committed'; readonly revision: Revision}
		| {readonly type: 'conflict'}
		/** The call had no effect. */
		| {readonly type: 'failed'}
		/** The call may have had its effect. */
		| {readonly type: 'unknown'};

export const createShard = (): ShardState => ({
	table: new Map(),
	revision: 0,
	readAt: undefined,
	needsRead: true,
	busy: false,
	uncertainRevision: undefined,
	retryAt: Number.NEGATIVE_INFINITY,
	failures: 0,
	nextFullPlanAt: Number.NEGATIVE_INFINITY,
	pendingTransfers: [],
});

const backoffBaseMilliseconds = 100;
const backoffLimitMilliseconds = 5000;

/** Exponential backoff with full jitter, so that holders whose writes conflicted do not collide again. */
export const backOff = (shard: ShardState, now: number, random: RandomSource): void => {
	const ceiling = Math.min(backoffLimitMilliseconds, backoffBaseMilliseconds * (2 ** shard.failures));
	shard.failures += 1;
	shard.retryAt = now + (random() * ceiling);
};
