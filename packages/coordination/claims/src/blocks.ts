/**
 * Tracks the segments that this owner has written, to find those to merge or
 * delete. A block is the set of segments written in one minute.
 */
import type {ClaimEntry} from './claim-table.js';
import {claimRetentionMilliseconds, clockSkewMilliseconds} from './key.js';
import {formatBlock} from './segment.js';

export type Block = {
	readonly name: string;
	readonly minute: number;
	segments: number;
	bytes: number;
	readonly partitions: Set<number>;
	/** Claims in these segments. A merge drops those that a later block has recorded again. */
	entries: ClaimEntry[];
	/** True once the block was merged or turned out not to need it. */
	mergeFinished: boolean;
};

const minuteMilliseconds = 60_000;
/** A block is merged only if its average segment is smaller than this; rewriting larger ones saves too little. */
const mergeableSegmentBytes = 65_536;

export type Blocks = ReturnType<typeof createBlocks>;

export const createBlocks = () => {
	const blocks = new Map<string, Block>();
	return {
		nameAt: (wall: number) => formatBlock(Math.floor(wall / minuteMilliseconds)),
		add(name: string, entries: readonly ClaimEntry[], bytes: number) {
			const block = blocks.get(name) ?? {
				name, minute: Number(name), segments: 0, bytes: 0, partitions: new Set<number>(), entries: [], mergeFinished: false,
			};
			blocks.set(name, block);
			block.segments += 1;
			block.bytes += bytes;
			for (const entry of entries) {
				block.partitions.add(entry.partition);
				block.entries.push(entry);
			}
		},
		/** A block of an earlier minute with several small segments, all of whose partitions this process still owns. */
		findMergeable(wall: number, owns: (partition: number) => boolean): Block | undefined {
			const currentMinute = Math.floor(wall / minuteMilliseconds);
			for (const block of blocks.values()) {
				if (!block.mergeFinished && block.minute < currentMinute) {
					if (block.segments > 1 && block.bytes / block.segments < mergeableSegmentBytes && [...block.partitions].every(partition => owns(partition))) {
						return block;
					}

					block.mergeFinished = true;
					block.entries = [];
				}
			}

			return undefined;
		},
		/** A block whose keys are all older than the retention time. */
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
