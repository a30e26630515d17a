/**
 * Reads the records that a new owner takes over, and follows their changes. The watches are opened
 * first, so the records are transferred only once, and one page at a time, so that over a slow link
 * the renewals of the owner's lease do not queue behind several pages.
 */
import type {KeyValueStore, StoredEntry, WatchHandle} from '@turmericbay/types';
import {pageSize, watchPrefix} from './watch-prefix.js';

/** Interval of the check whether all watches are open. */
const openCheckMilliseconds = 5;
/** Delay before a page that could not be read is requested again. */
const pageRetryMilliseconds = 100;
/** First characters of job IDs. The listing of jobs is divided by them where the link is slow. */
const jobIdDigits = [...'0123456789abcdef'] as const;
/** A first part that takes longer shows a slow link: all parts in one response would delay the renewals of the owner's lease for too long. */
const slowPartMilliseconds = 60;

export type WatchedPrefix = {
	readonly prefix: string;
	readonly onEntries: (entries: readonly StoredEntry[]) => void;
	/** Called with all entries after the watch was interrupted; `onEntries` if omitted. */
	readonly onSnapshot?: (entries: readonly StoredEntry[]) => void;
	readonly onDelete?: (keys: readonly string[]) => void;
};

export type StoredState = ReturnType<typeof createStoredState>;

export const createStoredState = (options: {
	readonly store: KeyValueStore;
	/** True once the records are not needed any more. */
	readonly isCancelled: () => boolean;
	readonly onFailure: (prefix: string, message: string) => void;
	readonly now: () => number;
	readonly wait: (milliseconds: number) => Promise<void>;
}) => {
	const {store, isCancelled, onFailure, now, wait} = options;
	const watches: WatchHandle[] = [];
	/** Changes that arrived before the records were applied; undefined afterwards. */
	let pendingChanges: Array<() => void> | undefined = [];

	const deliver = (change: () => void): void => {
		if (pendingChanges) {
			pendingChanges.push(change);
		} else {
			change();
		}
	};

	const openWatch = ({prefix, onEntries, onSnapshot = onEntries, onDelete}: WatchedPrefix, onOpened: () => void): void => {
		watches.push(watchPrefix({
			store, prefix, onOpened,
			onSnapshot(entries) {
				deliver(() => {
					onSnapshot(entries);
				});
			},
			onChange(entries) {
				deliver(() => {
					onEntries(entries);
				});
			},
			onDelete(keys) {
				deliver(() => {
					onDelete?.(keys);
				});
			},
			onFailure(error) {
				onFailure(prefix, error.message);
			},
		}));
	};

	/** Repeats only the page that failed: over a slow link a complete listing without any failure may never succeed. */
	const readAll = async (prefix: string, startAfter?: string): Promise<StoredEntry[] | undefined> => {
		const entries: StoredEntry[] = [];
		while (!isCancelled()) {
			const after = entries.at(-1)?.key ?? startAfter;
			// eslint-disable-next-line no-await-in-loop -- Each page starts after the previous one.
			const page = await store.list({prefix, limit: pageSize, ...(after !== undefined && {after})});
			if (page.isErr()) {
				onFailure(prefix, page.error.message);
				// eslint-disable-next-line no-await-in-loop -- Delay between attempts.
				await wait(pageRetryMilliseconds);
				continue;
			}

			entries.push(...page.value.entries);
			if (!page.value.more || page.value.entries.length === 0) {
				return entries;
			}
		}

		return undefined;
	};

	/** Reads keys that end in a job ID: those with the first digit, then the others at once, or digit by digit over a slow link. */
	const readByJob = async (prefix: string): Promise<StoredEntry[] | undefined> => {
		const startedAt = now();
		const entries = await readAll(prefix + jobIdDigits[0]);
		if (!entries) {
			return undefined;
		}

		if (now() - startedAt < slowPartMilliseconds) {
			const others = await readAll(prefix, entries.at(-1)?.key);
			return others && [...entries, ...others];
		}

		for (const digit of jobIdDigits.slice(1)) {
			// eslint-disable-next-line no-await-in-loop -- One part at a time.
			const part = await readAll(prefix + digit);
			if (!part) {
				return undefined;
			}

			entries.push(...part);
		}

		return entries;
	};

	return {
		/** Returns the entries by prefix; undefined if cancelled first. Changes of the watched prefixes are kept until `follow`. */
		async load(request: {readonly watched: readonly WatchedPrefix[]; readonly prefixes: readonly string[]; readonly prefixesByJob: readonly string[]}): Promise<ReadonlyMap<string, readonly StoredEntry[]> | undefined> {
			const opened = new Set<string>();
			for (const watched of request.watched) {
				openWatch(watched, () => {
					opened.add(watched.prefix);
				});
			}

			while (opened.size < request.watched.length) {
				if (isCancelled()) {
					return undefined;
				}

				// eslint-disable-next-line no-await-in-loop -- Polls until the last watch is open.
				await wait(openCheckMilliseconds);
			}

			const entriesByPrefix = new Map<string, readonly StoredEntry[]>();
			for (const prefix of [...request.prefixes, ...request.prefixesByJob]) {
				// eslint-disable-next-line no-await-in-loop -- One page at a time.
				const entries = await (request.prefixesByJob.includes(prefix) ? readByJob(prefix) : readAll(prefix));
				if (!entries) {
					return undefined;
				}

				entriesByPrefix.set(prefix, entries);
			}

			return entriesByPrefix;
		},
		/** Delivers the changes since the watches were opened, and all later ones. */
		follow(): void {
			const changes = pendingChanges ?? [];
			pendingChanges = undefined;
			for (const change of changes) {
				change();
			}
		},
		stop(): void {
			for (const handle of watches) {
				handle.stop();
			}
		},
	};
};
