/** Builds the writes of segments: new claims, merges of blocks and deletion of expired blocks. */
import type {Incarnation, StoreCondition} from '@turmericbay/types';
import type {Block, Blocks} from './blocks.js';
import type {ClaimEntry} from './claim-table.js';
import type {OwnedClaims} from './owned-claims.js';
import {PartitionPhase} from './owned-partition.js';
import type {Times} from './owned-partition.js';
import {partitionKey} from './partition-record.js';
import {blockPrefix, encodeSegment, formatSequence} from './segment.js';
import type {Write, WriteOutcome} from './write-slot.js';

/** Makes a segment of about 250 KB, a quarter of the largest value that the store accepts. */
const claimsPerSegment = 2000;

export const createSegmentWrites = (options: {
	readonly incarnation: Incarnation;
	readonly claims: OwnedClaims;
	readonly blocks: Blocks;
	readonly onConflict: () => void;
}) => {
	const {incarnation, claims, blocks, onConflict} = options;
	let sequence = 0;
	let merging: {readonly block: Block; readonly entries: readonly ClaimEntry[]; nextIndex: number} | undefined;

	/** Fencing: after a change of owner the conditions of the earlier owner never hold again. */
	const ownershipConditions = (partitions: Iterable<number>): StoreCondition[] => [...new Set(partitions)].flatMap(partition => {
		const owned = claims.partitions.get(partition);
		return owned ? [{key: partitionKey(partition), modifiedRevision: owned.stored.revision}] : [];
	});

	const buildSegmentWrite = (key: string, value: string, partitions: Iterable<number>): Omit<Write, 'finish'> => ({
		conditions: [{key, modifiedRevision: 0}, ...ownershipConditions(partitions)],
		operations: [{type: 'put', key, value}],
		createdKey: key,
	});

	const writeClaims = (now: Times): Write | undefined => {
		const batch = claims.takeBatch(claimsPerSegment);
		if (batch.length === 0) {
			return undefined;
		}

		const entries = batch.map(({entry}) => entry);
		const block = blocks.nameAt(now.wall);
		const value = encodeSegment(entries);
		sequence += 1;
		const key = `${blockPrefix({incarnation, block, merged: false})}${formatSequence(sequence)}`;
		return {
			...buildSegmentWrite(key, value, entries.map(({partition}) => partition)),
			finish(outcome) {
				if (outcome.type === 'committed') {
					blocks.add(block, entries, value.length);
				} else if (outcome.type === 'conflict') {
					onConflict();
				}

				claims.finishBatch(batch, outcome.type === 'committed' ? block : undefined);
			},
		};
	};

	const finishMerge = (current: NonNullable<typeof merging>, outcome: WriteOutcome) => {
		if (outcome.type === 'conflict') {
			onConflict();
			merging = undefined;
		} else if (outcome.type === 'committed') {
			current.nextIndex += claimsPerSegment;
			if (current.nextIndex >= current.entries.length) {
				current.block.mergeFinished = true;
				current.block.entries = [];
				current.block.segments = Math.ceil(current.entries.length / claimsPerSegment);
				merging = undefined;
			}
		}
	};

	const beginMerge = (now: Times) => {
		const block = blocks.findMergeable(now.wall, partition =>
			claims.partitions.get(partition)?.phase === PartitionPhase.Serving);
		if (!block) {
			return undefined;
		}

		const entries = [...new Set(block.entries)].filter(entry => entry.block === block.name);
		return {block, entries, nextIndex: 0};
	};

	/** Writes the next segment of a merged block; the write of the last one also deletes the raw segments. */
	const writeMerge = (now: Times): Write | undefined => {
		merging ??= beginMerge(now);
		const current = merging;
		if (!current) {
			return undefined;
		}

		const {block, entries, nextIndex} = current;
		const key = `${blockPrefix({incarnation, block: block.name, merged: true})}${formatSequence(nextIndex)}`;
		const segment = buildSegmentWrite(key, encodeSegment(entries.slice(nextIndex, nextIndex + claimsPerSegment)), block.partitions);
		const isLast = nextIndex + claimsPerSegment >= entries.length;
		return {
			...segment,
			operations: isLast
				? [...segment.operations, {type: 'delete-prefix', prefix: blockPrefix({incarnation, block: block.name, merged: false})}]
				: segment.operations,
			finish(outcome) {
				finishMerge(current, outcome);
			},
		};
	};

	const writeExpiry = (now: Times): Write | undefined => {
		const block = blocks.findExpired(now.wall);
		return block && {
			conditions: [],
			operations: [true, false].map(merged => ({type: 'delete-prefix', prefix: blockPrefix({incarnation, block: block.name, merged})})),
			finish(outcome) {
				if (outcome.type === 'committed') {
					blocks.remove(block.name);
				}
			},
		};
	};

	return {writeClaims, writeMerge, writeExpiry};
};
