/** Follows all keys with a prefix: opens a watch and lists the keys, and repeats both whenever the watch ends. */
import type {
	KeyValueStore, StoredEntry, StoreError, WatchHandle,
} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

/** The platform returns about 500 keys at most in one page. */
export const pageSize = 500;
const firstRetryMilliseconds = 100;
const longestRetryMilliseconds = 1000;

const listAll = async (store: KeyValueStore, prefix: string): Promise<Result<StoredEntry[], StoreError>> => {
	const entries: StoredEntry[] = [];
	let after: string | undefined;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- Each page starts after the previous one.
		const page = await store.list({prefix, limit: pageSize, ...(after !== undefined && {after})});
		if (page.isErr()) {
			return err(page.error);
		}

		entries.push(...page.value.entries);
		after = page.value.entries.at(-1)?.key;
		if (!page.value.more || after === undefined) {
			return ok(entries);
		}
	}
};

export const watchPrefix = (options: {
	readonly store: KeyValueStore;
	readonly prefix: string;
	/** All current entries; keys that are not among them do not exist any more. */
	readonly onSnapshot: (entries: readonly StoredEntry[]) => void;
	readonly onChange: (entries: readonly StoredEntry[]) => void;
	readonly onDelete: (keys: readonly string[]) => void;
	readonly onFailure: (error: StoreError) => void;
	/** If set, it is called when the watch is first open, and the caller lists the keys itself then. */
	readonly onOpened?: () => void;
}): WatchHandle => {
	const {store, prefix, onSnapshot, onChange, onDelete, onFailure} = options;
	let {onOpened} = options;
	let isStopped = false;
	let watch: WatchHandle | undefined;
	let retry: NodeJS.Timeout | undefined;
	let retryDelay = firstRetryMilliseconds;
	/** Changes that arrived before the list of all keys, which may be older; undefined once that has been reported. */
	let pendingChanges: Array<() => void> | undefined;

	const report = (change: () => void): void => {
		if (pendingChanges) {
			pendingChanges.push(change);
		} else {
			change();
		}
	};

	const restart = (error: StoreError): void => {
		watch?.stop();
		watch = undefined;
		if (!isStopped) {
			onFailure(error);
			retry = setTimeout(open, retryDelay);
			retryDelay = Math.min(longestRetryMilliseconds, retryDelay * 2);
		}
	};

	const load = async (opened: WatchHandle | undefined): Promise<void> => {
		const entries = await listAll(store, prefix);
		if (isStopped || watch !== opened) {
			return;
		}

		if (entries.isErr()) {
			restart(entries.error);
			return;
		}

		retryDelay = firstRetryMilliseconds;
		onSnapshot(entries.value);
		const changes = pendingChanges ?? [];
		pendingChanges = undefined;
		for (const change of changes) {
			change();
		}
	};

	const open = (): void => {
		if (isStopped) {
			return;
		}

		pendingChanges = onOpened ? undefined : [];
		const opened: WatchHandle = store.watch({
			prefix,
			onChange(entries) {
				if (watch === opened) {
					report(() => {
						onChange(entries);
					});
				}
			},
			onDelete(keys) {
				if (watch === opened) {
					report(() => {
						onDelete(keys);
					});
				}
			},
			// Listing after the watch has started ensures that no change is missed in between.
			onStart() {
				if (onOpened) {
					onOpened();
					onOpened = undefined;
				} else {
					void load(opened);
				}
			},
			onEnd(error) {
				if (watch === opened) {
					restart(error);
				}
			},
		});
		watch = opened;
	};

	open();
	return {
		stop() {
			isStopped = true;
			clearTimeout(retry);
			watch?.stop();
		},
	};
};
