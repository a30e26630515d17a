/** Builds the writes of ownership records. */
import {parseSession, sessionKey} from '@turmericbay/membership';
import type {ProcessIdentity, StoreCondition, StoredEntry} from '@turmericbay/types';
import {claimRetentionMilliseconds} from './key.js';
import type {OwnedClaims} from './owned-claims.js';
import {PartitionPhase} from './owned-partition.js';
import {
	firstRecord, handedOverRecord, partitionKey, takenOverRecord,
} from './partition-record.js';
import type {PartitionRecord} from './partition-record.js';
import type {Records} from './records.js';
import {ownerPrefix} from './segment.js';
import type {Write} from './write-slot.js';

const withFinish = (write: Write, finish: Write['finish']): Write => ({...write, finish});

type Change = {readonly partition: number; readonly record: PartitionRecord};

export const createPartitionWrites = (options: {
	readonly self: ProcessIdentity;
	readonly claims: OwnedClaims;
	readonly records: Records;
	readonly onFinished: () => void;
	readonly isProvenGone: (identity: ProcessIdentity) => boolean;
}) => {
	const {self, claims, records, onFinished, isProvenGone} = options;

	const build = (changes: readonly Change[], further: readonly StoreCondition[] = []): Write => ({
		conditions: [
			...changes.map(({partition}) => ({
				key: partitionKey(partition), modifiedRevision: records.byPartition.get(partition)?.revision ?? 0,
			})),
			...further,
		],
		operations: changes.map(({partition, record}) => ({type: 'put', key: partitionKey(partition), value: JSON.stringify(record)})),
		finish: onFinished,
	});

	const recordsOf = (partitions: readonly number[]) => partitions.flatMap(partition => {
		const record = records.byPartition.get(partition)?.record;
		return record ? [{partition, record}] : [];
	});

	return {
		create: (partitions: readonly number[], session: string, now: number): Write =>
			build(partitions.map(partition => ({partition, record: firstRecord({owner: self, session, now})}))),
		/**
		 * The records of the owner are complete if its session is alive when the
		 * takeover is written, hence the condition on the session's key.
		 */
		takeOver(step: {
			readonly from: ProcessIdentity; readonly partitions: readonly number[]; readonly sessionEntry: StoredEntry | undefined;
		}, session: string, now: number): Write {
			const {from, partitions, sessionEntry} = step;
			const alive = sessionEntry && parseSession(sessionEntry.value);
			const aliveSession = alive?.incarnation === from.incarnation ? alive.session : undefined;
			let relies = false;
			const changes = recordsOf(partitions).map(({partition, record}) => {
				// Without a session in the record the owner has granted nothing from memory.
				const complete = record.session === '' || record.session === aliveSession;
				relies ||= complete && record.session !== '';
				return {partition, record: takenOverRecord(record, complete, {owner: self, session, now})};
			});
			return build(changes, relies && sessionEntry
				? [{key: sessionKey(from.instance), modifiedRevision: sessionEntry.modifiedRevision}]
				: []);
		},
		handOver: (to: ProcessIdentity, partitions: readonly number[], now: number): Write =>
			withFinish(build(recordsOf(partitions).map(({partition, record}) => {
				const {refusedAt = 0, incompleteBefore = 0} = claims.partitions.get(partition) ?? {};
				return {
					partition,
					record: handedOverRecord(record, {
						to, refusedAt, incompleteBefore, now,
					}),
				};
			})), outcome => {
				// After a conflict a try without an answer can have moved them already.
				if (outcome.type !== 'failed') {
					for (const partition of partitions) {
						claims.drop(partition);
					}
				}

				onFinished();
			}),
		/** Puts the present session into the records once nothing granted from memory is left unrecorded. */
		renewSession(session: string): Write | undefined {
			const stale = [...claims.partitions.values()].filter(({phase, stored}) =>
				phase !== PartitionPhase.Releasing && stored.record.session !== session);
			return stale.length === 0
				? undefined
				: build(stale.map(({partition, stored}) => ({partition, record: {...stored.record, session}})));
		},
		/** Forgets an earlier owner whose claims have expired, and its segments once it is gone. */
		pruneSource(now: number): Write | undefined {
			const serving = [...claims.partitions.values()].filter(({phase}) => phase === PartitionPhase.Serving);
			const expired = serving.flatMap(({stored}) => stored.record.sources)
				.find(({endedAt}) => endedAt + claimRetentionMilliseconds < now);
			if (!expired) {
				return undefined;
			}

			const write = build(serving
				.filter(({stored}) => stored.record.sources.some(({incarnation}) => incarnation === expired.incarnation))
				.map(({partition, stored}) => ({
					partition,
					record: {...stored.record, sources: stored.record.sources.filter(({incarnation}) => incarnation !== expired.incarnation)},
				})));
			return isProvenGone(expired)
				? {...write, operations: [...write.operations, {type: 'delete-prefix', prefix: ownerPrefix(expired.incarnation)}]}
				: write;
		},
	};
};
