/**
 * Counts pending jobs from the store while the owner does not respond. All queues share one
 * listing at a time, since a listing of many jobs occupies the link of a small machine for seconds.
 */
import type {KeyValueStore, StoreError} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import type {Clock} from './ports.js';
import {jobPrefix, parseJob} from './records.js';

/** Jobs of all queues that are read; the count ends there. */
const maximumCountedJobs = 500;
/** The platform accepts counts that are 2 s old. */
const maximumAgeMilliseconds = 1000;

type Counts = ReadonlyMap<string, number>;

export type PendingCounts = ReturnType<typeof createPendingCounts>;

export const createPendingCounts = (options: {readonly store: KeyValueStore; readonly clock: Clock}) => {
	const {store, clock} = options;
	let latest: {readonly counts: Counts; readonly at: number} | undefined;
	let listing: Promise<Result<Counts, StoreError>> | undefined;

	const list = async (): Promise<Result<Counts, StoreError>> => {
		const sentAt = clock.now();
		const listed = await store.list({prefix: jobPrefix, limit: maximumCountedJobs});
		listing = undefined;
		return listed.map(({entries}) => {
			const counts = new Map<string, number>();
			for (const entry of entries) {
				const queue = parseJob(entry)?.queue;
				if (queue !== undefined) {
					counts.set(queue, (counts.get(queue) ?? 0) + 1);
				}
			}

			latest = {counts, at: sentAt};
			return counts;
		});
	};

	return {
		/** Jobs that have started are counted as well, since only the owner can tell them apart. Returns undefined if the store does not respond. */
		async count(queue: string): Promise<number | undefined> {
			if (latest && clock.now() - latest.at < maximumAgeMilliseconds) {
				return latest.counts.get(queue) ?? 0;
			}

			listing ??= list();
			const counts = await listing;
			return counts.isErr() ? undefined : counts.value.get(queue) ?? 0;
		},
	};
};
