/** State of one shard at one holder, and the calls on the store that change it. */
import type {RandomSource, Revision, TeamName} from '@turmericbay/types';
import type {Donation} from './plan.js';
import type {ShardTable} from './shard.js';

export type PendingDonation = {
	readonly donation: Donation;
	readonly deadline: number;
	readonly answer: (units: number) => void;
};

export type ShardState = {
	table: ShardTable;
	revision: Revision;
	readAt: number | undefined;
	needsRead: boolean;
	busy: boolean;
	/**
	 * Condition of a write without an answer. Such a write can still take effect
	 * while the shard has this revision.
	 */
	uncertainRevision: Revision | undefined;
	notBefore: number;
	failures: number;
	/** When the shard is planned again although nobody waits. */
	planAt: number;
	donations: PendingDonation[];
};

export type WriteCommand = {
	readonly type: 'write';
	readonly shard: number;
	readonly value: string;
	readonly revision: Revision;
	readonly table: ShardTable;
	/** Units given up before the write, to be restored if it certainly had no effect. */
	readonly lowered: ReadonlyMap<TeamName, number>;
	readonly answers: ReadonlyArray<{readonly pending: PendingDonation; readonly units: number}>;
	readonly reclaimed: number;
};

export type LedgerCommand = {readonly type: 'read'; readonly shard: number} | WriteCommand;

export type LedgerOutcome
	= | {readonly type: 'read'; readonly table: ShardTable; readonly revision: Revision}
		| {readonly type: 'committed'; readonly revision: Revision}
		| {readonly type: 'conflict'}
		/** The call certainly had no effect. */
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
	notBefore: Number.NEGATIVE_INFINITY,
	failures: 0,
	planAt: Number.NEGATIVE_INFINITY,
	donations: [],
});

const backoffBaseMilliseconds = 100;
const backoffLimitMilliseconds = 5000;

/** Full jitter: holders that met in a conflict spread over the whole interval. */
export const backOff = (shard: ShardState, now: number, random: RandomSource): void => {
	const ceiling = Math.min(backoffLimitMilliseconds, backoffBaseMilliseconds * (2 ** shard.failures));
	shard.failures += 1;
	shard.notBefore = now + (random() * ceiling);
};
