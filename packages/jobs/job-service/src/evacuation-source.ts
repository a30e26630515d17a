/**
 * The zones that the operator has evacuated. A watch reports changes at once; since a watch may stay silent
 * indefinitely, the list is also read at a fixed interval, and counts as known only for a limited time after each read.
 */
import type {KeyValueStore, StoredEntry, StoreError} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Clock, PlatformRecordCodec} from './ports.js';
import {pageSize, watchPrefix} from './watch-prefix.js';

/** Covers the time between the check before a start and the start on the worker. */
const marginMilliseconds = 1000;
/** Interval of the reads; several may fail before the list no longer counts as known. */
const longestReadIntervalMilliseconds = 800;
const readsPerPeriod = 4;
/** A read without a response for this time does not delay the next one. */
const slowReadMilliseconds = 1000;
/** Interval of the figures for metrics while a zone is evacuated. */
const measureIntervalMilliseconds = 500;

type Listing = {readonly entries: readonly StoredEntry[]; readonly revision: number};

export type EvacuationSource = ReturnType<typeof createEvacuationSource>;

export const createEvacuationSource = (options: {
	readonly store: KeyValueStore;
	readonly recordCodec: Pick<PlatformRecordCodec, 'evacuationPrefix' | 'decodeEvacuation'>;
	readonly clock: Clock;
	/** Time after which no task may start in a zone whose evacuation the store has acknowledged. */
	readonly evacuationMilliseconds: number;
	readonly onChange: (zones: ReadonlySet<string>) => void;
	/** Called at intervals while a zone is evacuated, and once more when none is left. */
	readonly onMeasure: () => void;
	readonly onUnreadable: (key: string) => void;
	readonly onFailure: (message: string) => void;
}) => {
	const {store, recordCodec, clock, evacuationMilliseconds, onChange, onMeasure, onUnreadable, onFailure} = options;
	const prefix = recordCodec.evacuationPrefix;
	const maximumAgeMilliseconds = Math.max(evacuationMilliseconds - marginMilliseconds, evacuationMilliseconds / 2);
	const readIntervalMilliseconds = Math.min(longestReadIntervalMilliseconds, maximumAgeMilliseconds / readsPerPeriod);
	/** The valid entries by key. */
	const current = new Map<string, {readonly zone: string; readonly revision: number}>();
	/** Deletions by key, with their order: the response to a read that was sent before may still name the deleted revision. */
	const deletions = new Map<string, {readonly revision: number; readonly order: number}>();
	let deletionCount = 0;
	const unreadableRevisions = new Map<string, number>();
	let publishedZones = new Set<string>();
	/** Send time of the newest read that has been answered. */
	let confirmedAt: {readonly monotonic: number; readonly wall: number} | undefined;
	let listedRevision = 0;
	let readSentAt = Number.NEGATIVE_INFINITY;
	let readsInFlight = 0;
	let measuredAt = Number.NEGATIVE_INFINITY;
	let isStopped = false;

	const publish = (): void => {
		const zones = new Set([...current.values()].map(({zone}) => zone));
		if (zones.size === publishedZones.size && [...zones].every(zone => publishedZones.has(zone))) {
			return;
		}

		publishedZones = zones;
		onChange(zones);
		onMeasure();
	};

	/** A malformed entry changes nothing: an evacuation that is in force stays in force until its key is removed. */
	const applyEntries = (entries: readonly StoredEntry[], deletionsBefore = deletionCount): void => {
		for (const entry of entries) {
			const {key, modifiedRevision} = entry;
			const deletion = deletions.get(key);
			const isDeleted = deletion !== undefined && deletion.order > deletionsBefore && modifiedRevision <= deletion.revision;
			if (isDeleted || modifiedRevision <= Math.max(current.get(key)?.revision ?? 0, unreadableRevisions.get(key) ?? 0)) {
				continue;
			}

			const zone = recordCodec.decodeEvacuation(entry);
			if (zone === undefined) {
				unreadableRevisions.set(key, modifiedRevision);
				onUnreadable(key);
			} else {
				current.set(key, {zone, revision: modifiedRevision});
			}
		}
	};

	const removeKey = (key: string): void => {
		deletionCount += 1;
		deletions.set(key, {revision: current.get(key)?.revision ?? 0, order: deletionCount});
		current.delete(key);
	};

	const applyListing = ({entries, revision}: Listing, deletionsBefore: number): void => {
		if (revision < listedRevision) {
			return;
		}

		listedRevision = revision;
		const listedKeys = new Set(entries.map(({key}) => key));
		applyEntries(entries, deletionsBefore);
		for (const [key, entry] of current) {
			if (!listedKeys.has(key) && entry.revision <= revision) {
				removeKey(key);
			}
		}

		publish();
	};

	/** The revision is that of the first page, so that changes since then are not taken for deletions. */
	const list = async (): Promise<Result<Listing, StoreError>> => {
		const entries: StoredEntry[] = [];
		let revision: number | undefined;
		for (;;) {
			const after = entries.at(-1)?.key;
			// eslint-disable-next-line no-await-in-loop -- Each page starts after the previous one.
			const page = await store.list({prefix, limit: pageSize, ...(after !== undefined && {after})});
			if (page.isErr()) {
				return err(page.error);
			}

			entries.push(...page.value.entries);
			revision ??= page.value.revision;
			if (!page.value.more || page.value.entries.length === 0) {
				return ok({entries, revision});
			}
		}
	};

	const read = async (): Promise<void> => {
		// Counted from the request: a zone may have been evacuated while the response was in flight.
		const sentAt = {monotonic: clock.now(), wall: clock.wallNow()};
		const deletionsBefore = deletionCount;
		readSentAt = sentAt.monotonic;
		readsInFlight += 1;
		const listing = await list();
		readsInFlight -= 1;
		if (isStopped) {
			return;
		}

		if (listing.isErr()) {
			onFailure(listing.error.message);
			return;
		}

		applyListing(listing.value, deletionsBefore);
		if (confirmedAt === undefined || confirmedAt.monotonic < sentAt.monotonic) {
			confirmedAt = sentAt;
		}
	};

	const watch = watchPrefix({
		store, prefix,
		onOpened() {
			void read();
		},
		// Only a read of this source tells a deletion from a later change, by its revision and by when it was sent.
		onSnapshot() {
			void read();
		},
		onChange(entries) {
			applyEntries(entries);
			publish();
		},
		onDelete(keys) {
			for (const key of keys) {
				removeKey(key);
			}

			publish();
		},
		onFailure(error) {
			onFailure(error.message);
		},
	});

	return {
		/**
		 * True while the list is known to be new enough to start tasks. The monotonic clock stops while the machine is
		 * suspended, so the larger of both clocks' differences counts.
		 */
		isConfirmed: (): boolean => confirmedAt !== undefined
			&& Math.max(clock.now() - confirmedAt.monotonic, clock.wallNow() - confirmedAt.wall) < maximumAgeMilliseconds,
		tick(): void {
			const now = clock.now();
			const sinceRead = now - readSentAt;
			if (sinceRead >= slowReadMilliseconds || (readsInFlight === 0 && sinceRead >= readIntervalMilliseconds)) {
				void read();
			}

			if (publishedZones.size > 0 && now - measuredAt >= measureIntervalMilliseconds) {
				measuredAt = now;
				onMeasure();
			}
		},
		stop(): void {
			isStopped = true;
			watch.stop();
		},
	};
};
