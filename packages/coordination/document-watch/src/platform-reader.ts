/** Updates the state from the platform by a watch, checks of the revision and full reads. */
import type {
	Clock, KeyValueStore, Revision, WatchHandle,
} from '@turmericbay/types';
import type {DocumentWatchEvent} from './ports.js';
import type {DocumentState} from './state.js';
import {currentKey} from './store-keys.js';

const watchRestartIntervalMilliseconds = 1000;

export type PlatformReaderOptions = {
	readonly store: KeyValueStore;
	readonly state: DocumentState;
	readonly clock: Clock;
	readonly report: (event: DocumentWatchEvent) => void;
};

export type PlatformReader = {
	/** Does nothing while a read is in progress; never rejects. */
	read(): Promise<void>;
	/** Start of the last read. */
	lastReadAt(): number | undefined;
	setWatching(wanted: boolean): void;
};

export const createPlatformReader = ({store, state, clock, report}: PlatformReaderOptions): PlatformReader => {
	let isReading = false;
	let lastReadAt: number | undefined;
	let watch: WatchHandle | undefined;
	let lastWatchAt = Number.NEGATIVE_INFINITY;

	const recordFailure = (message: string): void => {
		state.recordPlatformFailure(message, clock.monotonicMilliseconds());
	};

	const readDocument = async (): Promise<void> => {
		const startedAt = clock.monotonicMilliseconds();
		const read = await store.read({key: currentKey});
		if (read.isOk()) {
			state.recordPlatformRead(startedAt, read.value);
		} else {
			recordFailure(read.error.message);
		}
	};

	/**
	 * Compares the revision in a transaction without operations. The document may
	 * have 1 MB; reading it every second would exceed the load that an instance may
	 * put on the platform.
	 */
	const checkRevision = async (revision: Revision): Promise<void> => {
		const startedAt = clock.monotonicMilliseconds();
		const checked = await store.transact({conditions: [{key: currentKey, modifiedRevision: revision}], operations: []});
		if (checked.isErr()) {
			recordFailure(checked.error.message);
		} else if (checked.value.type === 'committed') {
			state.recordUnchanged(startedAt, revision);
		} else {
			await readDocument();
		}
	};

	const read = async (): Promise<void> => {
		if (isReading) {
			return;
		}

		isReading = true;
		lastReadAt = clock.monotonicMilliseconds();
		try {
			const revision = state.revision();
			await (revision === undefined ? readDocument() : checkRevision(revision));
		} finally {
			isReading = false;
		}
	};

	/** Not while reads fail, and not more often than the watchers read. */
	const canStartWatch = (): boolean => state.isPlatformReachable() && clock.monotonicMilliseconds() - lastWatchAt >= watchRestartIntervalMilliseconds;

	/** Returns undefined if the watch ended while it was being opened. */
	const startWatch = (): WatchHandle | undefined => {
		let hasEnded = false;
		const handle = store.watch({
			prefix: currentKey,
			onChange(entries) {
				for (const entry of entries.filter(({key}) => key === currentKey)) {
					state.recordWatchedEntry(entry);
				}
			},
			onEnd({message}) {
				hasEnded = true;
				watch = undefined;
				report({type: 'watch-ended', message});
			},
		});
		return hasEnded ? undefined : handle;
	};

	return {
		read,
		lastReadAt: () => lastReadAt,
		setWatching(wanted) {
			if (!wanted) {
				watch?.stop();
				watch = undefined;
			} else if (watch === undefined && canStartWatch()) {
				lastWatchAt = clock.monotonicMilliseconds();
				watch = startWatch();
			}
		},
	};
};
