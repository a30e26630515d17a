/** Builds the writes of partition records. */
import {parseSession, sessionKey} from '@turmericbay/membership';
import type {ProcessIdentity, StoreCondition, StoredEntry} from '@turmericbay/types';
import {claimRetentionMilliseconds} from './key.js';
import type {OwnedClaims} from './owned-claims.js';
import {PartitionPhase} from './owned-partition.js';
import type {PartitionRecordCache} from './partition-record-cache.js';
import {
	createFirstRecord, createHandoverRecord, createTakeoverRecord, partitionKey,
} from './partition-record.js';
import type {PartitionRecord} from './partition-record.js';
import {incarnationPrefix} from './segment.js';
import type {Write} from './write-slot.js';

const withFinish = (write: Write, finish: Write['finish']): Write => ({...write, finish});

type RecordChange = {readonly partition: number; readonly record: PartitionRecord};

export const createPartitionWrites = (options: {
	readonly self: ProcessIdentity;
	readonly claims: OwnedClaims;
	readonly records: PartitionRecordCache;
	readonly onFinished: () => void;
	readonly isProvenGone: (identity: ProcessIdentity) => boolean;
}) => {
	const {self, claims, records, onFinished, isProvenGone} = options;

	const buildWrite = (changes: readonly RecordChange[], additionalConditions: readonly StoreCondition[] = []): Write => ({
		conditions: [
			...changes.map(({partition}) => ({
				key: partitionKey(partition), modifiedRevision: records.byPartition.get(partition)?.revision ?? 0,
			})),
			...additionalConditions,
		],
		operations: changes.map(({partition, record}) => ({type: 'put', key: partitionKey(partition), value: JSON.stringify(record)})),
		finish: onFinished,
	});

	const findRecords = (partitions: readonly number[]) => partitions.flatMap(partition => {
		const record = records.byPartition.get(partition)?.record;
		return record ? [{partition, record}] : [];
	});

	return {
		create: (partitions: readonly number[], session: string, now: number): Write =>
			buildWrite(partitions.map(partition => ({partition, record: createFirstRecord({owner: self, session, now})}))),
		/**
		 * The stored claims of the earlier owner are complete if its session is still
		 * active when the takeover is written, hence the condition on the session key.
		 */
		takeOver(step: {
			readonly from: ProcessIdentity; readonly partitions: readonly number[]; readonly sessionEntry: StoredEntry | undefined;
		}, session: string, now: number): Write {
			const {from, partitions, sessionEntry} = step;
			const storedSession = sessionEntry && parseSession(sessionEntry.value);
			const activeSession = storedSession?.incarnation === from.incarnation ? storedSession.session : undefined;
			let dependsOnSession = false;
			const changes = findRecords(partitions).map(({partition, record}) => {
				// An owner grants nothing from memory before its record names a session.
				const complete = record.session === '' || record.session === activeSession;
				dependsOnSession ||= complete && record.session !== '';
				return {partition, record: createTakeoverRecord(record, complete, {owner: self, session, now})};
			});
			return buildWrite(changes, dependsOnSession && sessionEntry
				? [{key: sessionKey(from.instance), modifiedRevision: sessionEntry.modifiedRevision}]
				: []);
		},
		handOver: (to: ProcessIdentity, partitions: readonly number[], now: number): Write =>
			withFinish(buildWrite(findRecords(partitions).map(({partition, record}) => {
				const {refusedAt = 0, incompleteBefore = 0} = claims.partitions.get(partition) ?? {};
				return {
					partition,
					record: createHandoverRecord(record, {
						to, refusedAt, incompleteBefore, now,
					}),
				};
			})), outcome => {
				// After a conflict, an earlier send without a response may have handed them over already.
				if (outcome.type !== 'failed') {
					for (const partition of partitions) {
						claims.dropPartition(partition);
					}
				}

				onFinished();
			}),
		/** Writes the present session to the records. Call it only while no unrecorded grants are left. */
		recordSession(session: string): Write | undefined {
			const stale = [...claims.partitions.values()].filter(({phase, stored}) =>
				phase !== PartitionPhase.Releasing && stored.record.session !== session);
			return stale.length === 0
				? undefined
				: buildWrite(stale.map(({partition, stored}) => ({partition, record: {...stored.record, session}})));
		},
		/** Removes from the records an earlier owner whose claims have expired, and deletes its segments if it is gone. */
		pruneExpiredSource(now: number): Write | undefined {
			const serving = [...claims.partitions.values()].filter(({phase}) => phase === PartitionPhase.Serving);
			const expired = serving.flatMap(({stored}) => stored.record.sources)
				.find(({endedAt}) => endedAt + claimRetentionMilliseconds < now);
			if (!expired) {
				return undefined;
			}

			const write = buildWrite(serving
				.filter(({stored}) => stored.record.sources.some(({incarnation}) => incarnation === expired.incarnation))
				.map(({partition, stored}) => ({
					partition,
					record: {...stored.record, sources: stored.record.sources.filter(({incarnation}) => incarnation !== expired.incarnation)},
				})));
			return isProvenGone(expired)
				? {...write, operations: [...write.operations, {type: 'delete-prefix', prefix: incarnationPrefix(expired.incarnation)}]}
				: write;
		},
	};
};
