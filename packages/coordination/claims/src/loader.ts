/** Reads the segments of earlier owners, page by page, after this process became the owner of partitions. */
import type {Incarnation, KeyValueStore, StoreError} from '@turmericbay/types';
import {mergeRecord} from './claim-table.js';
import type {ClaimEntry} from './claim-table.js';
import {clockSkewMilliseconds} from './key.js';
import type {OwnedPartition} from './owned-partition.js';
import {decodeSegment, incarnationPrefix} from './segment.js';
import type {StoreCounters} from './write-slot.js';

/** Keeps a page below 4 MB even with the largest segments. */
const segmentsPerPage = 16;

export type LoadRequest = {
	readonly incarnation: Incarnation;
	readonly onEntries: (entries: readonly ClaimEntry[]) => void;
	/** `allReadable` is false if a segment could not be decoded; its claims are lost. */
	readonly onEnd: (allReadable: boolean) => void;
};

export const createSegmentLoader = (options: {
	readonly store: KeyValueStore;
	readonly counters: StoreCounters;
	readonly now: () => number;
	readonly onError: (error: StoreError) => void;
}) => {
	const {store, counters, now, onError} = options;
	const retryMilliseconds = 500;
	const requests: LoadRequest[] = [];
	let after: string | undefined;
	let allReadable = true;
	let busy = false;
	let notBefore = Number.NEGATIVE_INFINITY;

	const readPage = async (request: LoadRequest) => {
		counters.reads += 1;
		const result = await store.list({prefix: incarnationPrefix(request.incarnation), limit: segmentsPerPage, after});
		if (result.isErr()) {
			notBefore = now() + retryMilliseconds;
			onError(result.error);
			return;
		}

		for (const {key, value} of result.value.entries) {
			counters.bytesRead += value.length;
			after = key;
			const entries = decodeSegment(value, undefined);
			if (entries) {
				request.onEntries(entries);
			} else {
				allReadable = false;
			}
		}

		if (!result.value.more) {
			requests.shift();
			after = undefined;
			request.onEnd(allReadable);
			allReadable = true;
		}
	};

	return {
		add(request: LoadRequest) {
			requests.push(request);
		},
		isIdle: () => requests.length === 0,
		/** Starts reading the next page unless a read is in flight. */
		async tick() {
			const [request] = requests;
			if (!request || busy || now() < notBefore) {
				return;
			}

			busy = true;
			await readPage(request);
			busy = false;
		},
	};
};

export type SegmentLoader = ReturnType<typeof createSegmentLoader>;

/** Loads the claims that earlier owners recorded for the partitions; reads the segments of each earlier owner once. */
export const loadPartitions = (options: {
	readonly loader: SegmentLoader;
	readonly partitions: readonly OwnedPartition[];
	readonly onLoaded: (owned: OwnedPartition) => void;
}): void => {
	const {loader, partitions, onLoaded} = options;
	const unreadSources = new Map(partitions.map(owned => [owned, owned.stored.record.sources.length]));
	const incarnations = new Set(partitions.flatMap(({stored}) => stored.record.sources.map(({incarnation}) => incarnation)));
	for (const incarnation of incarnations) {
		const ownedByPartition = new Map(partitions
			.filter(({stored}) => stored.record.sources.some(source => source.incarnation === incarnation))
			.map(owned => [owned.partition, owned]));
		loader.add({
			incarnation,
			onEntries(entries) {
				for (const entry of entries) {
					const owned = ownedByPartition.get(entry.partition);
					if (owned) {
						mergeRecord(owned.loaded, entry);
					}
				}
			},
			onEnd(allReadable) {
				for (const owned of ownedByPartition.values()) {
					const lostBefore = allReadable ? 0 : owned.stored.record.takenAt + clockSkewMilliseconds;
					owned.incompleteBefore = Math.max(owned.incompleteBefore, lostBefore);
					unreadSources.set(owned, unreadSources.get(owned)! - 1);
					if (unreadSources.get(owned) === 0) {
						onLoaded(owned);
					}
				}
			},
		});
	}
};
