/**
 * The blocks of segments that this owner has written: which can be merged and
 * which have expired. A block holds the segments of one minute.
 */
import {claimRetentionMilliseconds, clockSkewMilliseconds} from './key.js';
import {formatBlock} from './segment.js';
import type {ClaimEntry} from './claim-table.js';

export type Block = {
	readonly name: string;
	readonly minute: number;
	segments: number;
	bytes: number;
	readonly partitions: Set<number>;
	/** Claims recorded here; those recorded again elsewhere are left out when the block is merged. */
	entries: ClaimEntry[];
	merged: boolean;
};

const minuteMilliseconds = 60_000;
/** Larger segments are not worth rewriting. */
const smallSegmentBytes = 65_536;

export type Blocks = ReturnType<typeof createBlocks>;

export const createBlocks = () => {
	const blocks = new Map<string, Block>();
	return {
		current: (wall: number) => formatBlock(Math.floor(wall / minuteMilliseconds)),
		add(name: string, entries: readonly ClaimEntry[], bytes: number) {
			const block = blocks.get(name) ?? {
				name, minute: Number(name), segments: 0, bytes: 0, partitions: new Set<number>(), entries: [], merged: false,
			};
			blocks.set(name, block);
			block.segments += 1;
			block.bytes += bytes;
			for (const entry of entries) {
				block.partitions.add(entry.partition);
				block.entries.push(entry);
			}
		},
		/** A past block of small segments whose partitions are all still owned. */
		findMergeable(wall: number, owns: (partition: number) => boolean): Block | undefined {
			const current = Math.floor(wall / minuteMilliseconds);
			for (const block of blocks.values()) {
				if (!block.merged && block.minute < current) {
					if (block.segments > 1 && block.bytes / block.segments < smallSegmentBytes && [...block.partitions].every(partition => owns(partition))) {
						return block;
					}

					block.merged = true;
					block.entries = [];
				}
			}

			return undefined;
		},
		/** A block all of whose keys are too old to be accepted. */
		findExpired(wall: number): Block | undefined {
			for (const block of blocks.values()) {
				const newestKey = ((block.minute + 1) * minuteMilliseconds) + clockSkewMilliseconds;
				if (newestKey + claimRetentionMilliseconds < wall) {
					return block;
				}
			}

			return undefined;
		},
		remove(name: string) {
			blocks.delete(name);
		},
		totals() {
			let bytes = 0;
			let segments = 0;
			for (const block of blocks.values()) {
				bytes += block.bytes;
				segments += block.segments;
			}

			return {bytes, segments};
		},
	};
};
