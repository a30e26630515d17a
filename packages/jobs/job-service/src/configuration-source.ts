/** The configuration in force on this instance, and how long ago it was certain to be the newest. */
import type {KeyValueStore, StoredEntry} from '@turmericbay/types';
import {followPrefix} from './follow.js';
import type {Clock, Configuration, PlatformRecordCodec} from './ports.js';

/** The store is asked this often whether the configuration is still the newest; a watch brings changes sooner. */
const confirmIntervalMilliseconds = 800;

/** The key of the configuration sorts before others that begin with it. */
const configurationEntries = 1;

export type ConfigurationSource = ReturnType<typeof createConfigurationSource>;

export const createConfigurationSource = (options: {
	readonly store: KeyValueStore;
	readonly records: PlatformRecordCodec;
	readonly clock: Clock;
	/** An answer that came now named the store's revision. */
	readonly onRevision: (revision: number) => void;
	readonly onChange: (configuration: Configuration) => void;
	readonly onUnreadable: (key: string) => void;
	readonly onTrouble: (message: string) => void;
}) => {
	const {store, records, clock, onRevision, onChange, onUnreadable, onTrouble} = options;
	let current: Configuration | undefined;
	let adoptedRevision = 0;
	let confirmed: {readonly steady: number; readonly wall: number} | undefined;
	let isReading = false;

	/** False if the entry is unreadable: the last good configuration stays in force. */
	const adopt = (entry: StoredEntry): boolean => {
		if (entry.key !== records.configurationKey || entry.modifiedRevision <= adoptedRevision) {
			return true;
		}

		const configuration = records.decodeConfiguration(entry);
		if (!configuration) {
			onUnreadable(entry.key);
			return false;
		}

		adoptedRevision = entry.modifiedRevision;
		if (current === undefined || configuration.version > current.version) {
			current = configuration;
			onChange(configuration);
		}

		return true;
	};

	const confirm = async (): Promise<void> => {
		if (isReading) {
			return;
		}

		isReading = true;
		// Counted from the sending: a newer version may have been accepted while the answer was on its way.
		const sent = {steady: clock.now(), wall: clock.wallNow()};
		// A listing also names the revision of the store.
		const listed = await store.list({prefix: records.configurationKey, limit: configurationEntries});
		isReading = false;
		if (listed.isErr()) {
			onTrouble(listed.error.message);
			return;
		}

		onRevision(listed.value.revision);
		const entry = listed.value.entries.find(({key}) => key === records.configurationKey);
		if (entry && adopt(entry)) {
			confirmed = sent;
		}
	};

	const follow = followPrefix({
		store, prefix: records.configurationKey,
		onSnapshot(entries) {
			for (const entry of entries) {
				adopt(entry);
			}
		},
		onChange(entries) {
			for (const entry of entries) {
				adopt(entry);
			}
		},
		onDelete() {
			onTrouble('the configuration was deleted; the last one stays in force');
		},
		onTrouble(error) {
			onTrouble(error.message);
		},
	});
	const timer = setInterval(() => {
		void confirm();
	}, confirmIntervalMilliseconds);
	void confirm();

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
			follow.stop();
		},
	};
};
