/** The configuration that this instance applies, and how long ago it was certain to be the newest. */
import type {KeyValueStore, StoredEntry} from '@turmericbay/types';
import type {Clock, Configuration, PlatformRecordCodec} from './ports.js';
import {watchPrefix} from './watch-prefix.js';

/**
 * Interval of the reads that confirm the configuration as the newest; changes arrive sooner through a watch. The limits for
 * readiness (2.5 s) and for revoked API keys are compared with the time since the last confirmation.
 */
const confirmIntervalMilliseconds = 800;

/** One entry is enough: the configuration key sorts before all other keys that begin with it. */
const listLimit = 1;

export type ConfigurationSource = ReturnType<typeof createConfigurationSource>;

export const createConfigurationSource = (options: {
	readonly store: KeyValueStore;
	readonly recordCodec: PlatformRecordCodec;
	readonly clock: Clock;
	/** Called when a response carries the store's revision. */
	readonly onRevision: (revision: number) => void;
	readonly onChange: (configuration: Configuration) => void;
	readonly onUnreadable: (key: string) => void;
	readonly onFailure: (message: string) => void;
}) => {
	const {store, recordCodec, clock, onRevision, onChange, onUnreadable, onFailure} = options;
	let current: Configuration | undefined;
	let appliedRevision = 0;
	let confirmedAt: {readonly monotonic: number; readonly wall: number} | undefined;
	let isConfirming = false;

	/** Returns false if the entry is malformed; the last valid configuration then stays in use. */
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
		// Counted from the request: a newer version may have been stored while the response was in flight.
		const sentAt = {monotonic: clock.now(), wall: clock.wallNow()};
		// A list response, unlike that of a read, carries the store's revision.
		const listed = await store.list({prefix: recordCodec.configurationKey, limit: listLimit});
		isConfirming = false;
		if (listed.isErr()) {
			onFailure(listed.error.message);
			return;
		}

		onRevision(listed.value.revision);
		const entry = listed.value.entries.find(({key}) => key === recordCodec.configurationKey);
		if (entry && applyEntry(entry)) {
			confirmedAt = sentAt;
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
			onFailure('the configuration was deleted; the last version stays in use');
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
		 * Milliseconds since the configuration was last confirmed as the newest. The monotonic clock stops
		 * while the machine is suspended, so the larger of both clocks' differences counts.
		 */
		age(): number {
			return confirmedAt === undefined ? Number.POSITIVE_INFINITY : Math.max(clock.now() - confirmedAt.monotonic, clock.wallNow() - confirmedAt.wall);
		},
		stop(): void {
			clearInterval(timer);
			watch.stop();
		},
	};
};
