/** Writes of an owner that are not urgent: the session in partition records, merges of segments and deletion of expired data. */
import type {SessionView} from '@turmericbay/membership';
import type {createOwnedClaims} from './owned-claims.js';
import type {Times} from './owned-partition.js';
import type {createPartitionWrites} from './partition-writes.js';
import type {createSegmentWrites} from './segment-writes.js';
import type {Write} from './write-slot.js';

/** Time until the next check if no merge or deletion was due. */
const idleCheckIntervalMilliseconds = 10_000;
const sessionCheckIntervalMilliseconds = 1000;

export const createBackgroundWrites = (options: {
	readonly session: SessionView;
	readonly claims: ReturnType<typeof createOwnedClaims>;
	readonly partitionWrites: ReturnType<typeof createPartitionWrites>;
	readonly segmentWrites: ReturnType<typeof createSegmentWrites>;
}) => {
	const {session, claims, partitionWrites, segmentWrites} = options;
	let sessionCheckAt = Number.NEGATIVE_INFINITY;
	let nextCheckAt = Number.NEGATIVE_INFINITY;

	/** Runs before the other writes, since a new owner can grant from memory only after its records have named its session. */
	const recordSession = (time: Times): Write | undefined => {
		const sessionId = session.sessionId();
		if (time.monotonic < sessionCheckAt || sessionId === undefined || claims.unrecordedGrantCount() > 0) {
			return undefined;
		}

		sessionCheckAt = time.monotonic + sessionCheckIntervalMilliseconds;
		return partitionWrites.recordSession(sessionId);
	};

	return {
		/** The next write that is due; undefined if there is none. */
		next(time: Times): Write | undefined {
			const sessionWrite = recordSession(time);
			if (sessionWrite !== undefined || time.monotonic < nextCheckAt) {
				return sessionWrite;
			}

			const write = segmentWrites.writeMerge(time) ?? segmentWrites.writeExpiry(time) ?? partitionWrites.pruneExpiredSource(time.wall);
			if (!write) {
				nextCheckAt = time.monotonic + idleCheckIntervalMilliseconds;
			}

			return write;
		},
	};
};
