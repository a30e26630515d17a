/** Writes that keep an owner's records in order: sessions, merged segments, expired claims. */
import type {SessionView} from '@turmericbay/membership';
import type {createOwnedClaims} from './owned-claims.js';
import type {Times} from './owned-partition.js';
import type {createPartitionWrites} from './partition-writes.js';
import type {createSegmentWrites} from './segment-writes.js';
import type {Write} from './write-slot.js';

const tidyIntervalMilliseconds = 10_000;
const sessionCheckIntervalMilliseconds = 1000;

export const createTidying = (options: {
	readonly session: SessionView;
	readonly claims: ReturnType<typeof createOwnedClaims>;
	readonly partitionWrites: ReturnType<typeof createPartitionWrites>;
	readonly segmentWrites: ReturnType<typeof createSegmentWrites>;
}) => {
	const {session, claims, partitionWrites, segmentWrites} = options;
	let sessionCheckAt = Number.NEGATIVE_INFINITY;
	let tidyAt = Number.NEGATIVE_INFINITY;

	/** Partitions that were just handed over cannot be served from memory before their records name this session. */
	const renewSession = (time: Times): Write | undefined => {
		const sessionId = session.sessionId();
		if (time.monotonic < sessionCheckAt || sessionId === undefined || claims.memoryGrantCount() > 0) {
			return undefined;
		}

		sessionCheckAt = time.monotonic + sessionCheckIntervalMilliseconds;
		return partitionWrites.renewSession(sessionId);
	};

	return {
		/** The next write that is due; undefined if there is none. */
		next(time: Times): Write | undefined {
			const renewal = renewSession(time);
			if (renewal !== undefined || time.monotonic < tidyAt) {
				return renewal;
			}

			const write = segmentWrites.writeMerge(time) ?? segmentWrites.writeExpiry(time) ?? partitionWrites.pruneSource(time.wall);
			if (!write) {
				tidyAt = time.monotonic + tidyIntervalMilliseconds;
			}

			return write;
		},
	};
};
