/** The configuration in force on this instance, and how long ago it was certain to be the newest. */
import type {KeyValueStore, StoredEntry} from '@turmericbay/types';
import {watchPrefix} from './watch-prefix.js';
import type {Clock, Configuration, PlatformRecordCodec} from './ports.js';

/** The store is asked this often whether the configuration is still the newest; a watch brings changes sooner. */
const confirmIntervalMilliseconds = 800;

/** The key of the configuration sorts before others that begin with it. */
const listLimit = 1;

export type ConfigurationSource = ReturnType<typeof createConfigurationSource>;

export const createConfigurationSource = (options: {
	readonly store: KeyValueStore;
	readonly recordCodec: PlatformRecordCodec;
	readonly clock: Clock;
	/** An answer that came now named the store's revision. */
	readonly onRevision: (revision: number) => void;
	readonly onChange: (configuration: Configuration) => void;
	readonly onUnreadable: (key: string) => void;
	readonly onFailure: (message: string) => void;
}) => {
	const {store, recordCodec, clock, onRevision, onChange, onUnreadable, onFailure} = options;
	let current: Configuration | undefined;
	let appliedRevision = 0;
	let confirmed: {readonly steady: number; readonly wall: number} | undefined;
	let isConfirming = false;

	/** False if the entry is unreadable: the last good configuration stays in force. */
	const applyEntry = (entry: StoredEntry): boolean => {
		if (entry.key !== recordCodec.configurationKey || entry.modifiedRevision <= appliedRevision) {
			return true;
		}

		const configuration = recordCodec.decodeConfiguration(entry);
		if (!configuration) {
			onUnreadable(entry.key);
			return false;
		}

		appliedRevision = entry.modifiedRevision;
		if (current === undefined || configuration.version > current.version) {
			current = configuration;
			onChange(configuration);
		}

		return true;
	};

	const confirmNewest = async (): Promise<void> => {
		if (isConfirming) {
			return;
		}

		isConfirming = true;
		// Counted from the sending: a newer version may have been accepted while the answer was on its way.
		const sent = {steady: clock.now(), wall: clock.wallNow()};
		// A listing also names the revision of the store.
		const listed = await store.list({prefix: recordCodec.configurationKey, limit: listLimit});
		isConfirming = false;
		if (listed.isErr()) {
			onFailure(listed.error.message);
			return;
		}

		onRevision(listed.value.revision);
		const entry = listed.value.entries.find(({key}) => key === recordCodec.configurationKey);
		if (entry && applyEntry(entry)) {
			confirmed = sent;
		}
	};

	const watch = watchPrefix({
		store, prefix: recordCodec.configurationKey,
		onSnapshot(entries) {
			for (const entry of entries) {
				applyEntry(entry);
			}
		},
		onChange(entries) {
			for (const entry of entries) {
				applyEntry(entry);
			}
		},
		onDelete() {
			onFailure('the configuration was deleted; the last one stays in force');
		},
		onFailure(error) {
			onFailure(error.message);
		},
	});
	const timer = setInterval(() => {
		void confirmNewest();
	}, confirmIntervalMilliseconds);
	void confirmNewest();

	return {
		current: () => current,
		/**
		 * Milliseconds since the configuration was certainly the newest. The steady clock stands still
		 * while the machine is suspended, so the wall clock counts as well if it shows more.
		 */
		age(): number {
			return confirmed === undefined ? Number.POSITIVE_INFINITY : Math.max(clock.now() - confirmed.steady, clock.wallNow() - confirmed.wall);
		},
		stop(): void {
			clearInterval(timer);
			watch.stop();
		},
	};
};
