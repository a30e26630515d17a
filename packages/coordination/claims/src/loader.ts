/** Reads the segments of earlier owners page by page when partitions change hands. */
import type {Incarnation, KeyValueStore, StoreError} from '@turmericbay/types';
import {mergeRecord} from './claim-table.js';
import type {ClaimEntry} from './claim-table.js';
import {clockSkewMilliseconds} from './key.js';
import type {OwnedPartition} from './owned-partition.js';
import {decodeSegment, ownerPrefix} from './segment.js';
import type {StoreCounters} from './write-slot.js';

/** A page of the largest segments stays under 4 MB. */
const segmentsPerPage = 16;

export type LoadRequest = {
	readonly incarnation: Incarnation;
	readonly onEntries: (entries: readonly ClaimEntry[]) => void;
	/** `intact` is false if a segment could not be read; its claims are lost. */
	readonly onEnd: (intact: boolean) => void;
};

export const createLoader = (options: {
	readonly store: KeyValueStore;
	readonly counters: StoreCounters;
	readonly now: () => number;
	readonly onError: (error: StoreError) => void;
}) => {
	const {store, counters, now, onError} = options;
	const retryMilliseconds = 500;
	const requests: LoadRequest[] = [];
	let after: string | undefined;
	let intact = true;
	let busy = false;
	let notBefore = Number.NEGATIVE_INFINITY;

	const readPage = async (request: LoadRequest) => {
		counters.reads += 1;
		const result = await store.list({prefix: ownerPrefix(request.incarnation), limit: segmentsPerPage, after});
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
				intact = false;
			}
		}

		if (!result.value.more) {
			requests.shift();
			after = undefined;
			request.onEnd(intact);
			intact = true;
		}
	};

	return {
		add(request: LoadRequest) {
			requests.push(request);
		},
		isIdle: () => requests.length === 0,
		/** Reads the next page; one read is in flight at a time. */
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

export type Loader = ReturnType<typeof createLoader>;

/** Reads what earlier owners recorded for the partitions; each earlier owner is read once. */
export const loadPartitions = (options: {
	readonly loader: Loader;
	readonly partitions: readonly OwnedPartition[];
	readonly onLoaded: (owned: OwnedPartition) => void;
}): void => {
	const {loader, partitions, onLoaded} = options;
	const left = new Map(partitions.map(owned => [owned, owned.stored.record.sources.length]));
	const incarnations = new Set(partitions.flatMap(({stored}) => stored.record.sources.map(({incarnation}) => incarnation)));
	for (const incarnation of incarnations) {
		const readers = new Map(partitions
			.filter(({stored}) => stored.record.sources.some(source => source.incarnation === incarnation))
			.map(owned => [owned.partition, owned]));
		loader.add({
			incarnation,
			onEntries(entries) {
				for (const entry of entries) {
					const owned = readers.get(entry.partition);
					if (owned) {
						mergeRecord(owned.staged, entry);
					}
				}
			},
			onEnd(intact) {
				for (const owned of readers.values()) {
					const lossBefore = intact ? 0 : owned.stored.record.takenAt + clockSkewMilliseconds;
					owned.incompleteBefore = Math.max(owned.incompleteBefore, lossBefore);
					left.set(owned, left.get(owned)! - 1);
					if (left.get(owned) === 0) {
						onLoaded(owned);
					}
				}
			},
		});
	}
};
