/** The configuration that this instance applies, and how long ago it was certain to be the newest. */
import type {StoredEntry, StoreError} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import type {
	Clock, Configuration, JobStore, PlatformRecordCodec, StoreChanges,
} from './ports.js';
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
	readonly store: JobStore;
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
	/** All changes up to this revision of the store are known; undefined until the configuration was listed. */
	let knownRevision: number | undefined;

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

	/** The configuration can be large, so it is read only once and after changes. */
	const readChanges = async (): Promise<Result<StoreChanges, StoreError>> => {
		const prefix = recordCodec.configurationKey;
		if (knownRevision !== undefined) {
			const changes = await store.readChanges({prefix, after: knownRevision});
			if (changes.isOk() || changes.error.code !== 'STORE_HISTORY_GONE') {
				return changes;
			}
		}

		const listed = await store.list({prefix, limit: listLimit});
		return listed.map(({entries, revision}) => ({entries, deletedKeys: entries.some(({key}) => key === prefix) ? [] : [prefix], revision}));
	};

	const confirmNewest = async (): Promise<void> => {
		if (isConfirming) {
			return;
		}

		isConfirming = true;
		// Counted from the request: a newer version may have been stored while the response was in flight.
		const sentAt = {monotonic: clock.now(), wall: clock.wallNow()};
		const changes = await readChanges();
		isConfirming = false;
		if (changes.isErr()) {
			onFailure(changes.error.message);
			return;
		}

		const {entries, deletedKeys, revision} = changes.value;
		onRevision(revision);
		if (entries.every(entry => applyEntry(entry)) && current !== undefined && !deletedKeys.includes(recordCodec.configurationKey)) {
			knownRevision = revision;
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
		/** Checks now whether the configuration is the newest. */
		confirm: confirmNewest,
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
