/** Simulates the platform's load balancer: polls the readiness checks of the entry instances. */
import {isHealthy} from './health-check.js';
import type {EntryProcess} from './launcher.js';

export type Balancer = {
	/** Base addresses of the entry instances that were ready at the last poll. */
	listEntryUrls(): readonly string[];
	/** When the readiness check of the entry instance last began to fail, as `performance.now` time; undefined if never. */
	getRemovalTime(entry: EntryProcess): number | undefined;
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
		if (await isHealthy(`${entry.operationsUrl}/readyz`)) {
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
		listEntryUrls: () => [...ready].map(({callersUrl}) => callersUrl),
		getRemovalTime: entry => removedAt.get(entry),
		stop() {
			clearInterval(timer);
		},
	};
};
