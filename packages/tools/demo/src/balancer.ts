/** The platform's balancer as callers see it: entry instances whose readiness answered, after a poll. */
import {answersOk} from './health-check.js';
import type {EntryProcess} from './launcher.js';

export type Balancer = {
	/** Base addresses of the entry instances that were ready at the last poll. */
	entryUrls(): readonly string[];
	/** When the entry instance was last taken out, on the clock of `performance.now`; undefined if never. */
	removedAt(entry: EntryProcess): number | undefined;
	stop(): void;
};

const pollMilliseconds = 100;

export const createBalancer = (entries: readonly EntryProcess[]): Balancer => {
	const ready = new Set(entries);
	const removedAt = new Map<EntryProcess, number>();
	const polling = new Set<EntryProcess>();

	const poll = async (entry: EntryProcess): Promise<void> => {
		if (polling.has(entry)) {
			return;
		}

		polling.add(entry);
		if (await answersOk(`${entry.operationsUrl}/readyz`)) {
			ready.add(entry);
		} else if (ready.delete(entry)) {
			removedAt.set(entry, performance.now());
		}

		polling.delete(entry);
	};

	const timer = setInterval(() => {
		for (const entry of entries) {
			void poll(entry);
		}
	}, pollMilliseconds);
	return {
		entryUrls: () => [...ready].map(({callersUrl}) => callersUrl),
		removedAt: entry => removedAt.get(entry),
		stop() {
			clearInterval(timer);
		},
	};
};
