/** Reads stored versions from the platform. */
import {formatDocumentFaults, parseEnvelope} from '@turmericbay/document';
import type {DocumentEnvelope} from '@turmericbay/document';
import type {DocumentVersion, KeyValueStore} from '@turmericbay/types';
import {err, ok} from 'neverthrow';
import type {Result} from 'neverthrow';
import {historyKey, historyPrefix} from './store-keys.js';

/** Number of versions in the store; each submit deletes the oldest version beyond this number. */
export const maximumKeptVersions = 200;

/** Limits the size of a page: each version may have 1 MB. */
const versionsPerPage = 10;

export type HistoryError = {
	readonly code: 'HISTORY_UNAVAILABLE' | 'VERSION_NOT_FOUND' | 'VERSION_UNREADABLE';
	readonly message: string;
};

export type HistoryEntry = {
	readonly version: DocumentVersion;
	readonly changeId: string;
	readonly author: string;
	readonly submittedAt: string;
};

type HistoryOptions = {readonly store: KeyValueStore};

export const readVersion = async ({store, version}: HistoryOptions & {readonly version: DocumentVersion}): Promise<Result<DocumentEnvelope, HistoryError>> => {
	const read = await store.read({key: historyKey(version)});
	if (read.isErr()) {
		return err({code: 'HISTORY_UNAVAILABLE', message: read.error.message});
	}

	if (read.value === undefined) {
		return err({code: 'VERSION_NOT_FOUND', message: `version ${version} is not in the history`});
	}

	return parseEnvelope({text: read.value.value})
		.mapErr((faults): HistoryError => ({code: 'VERSION_UNREADABLE', message: formatDocumentFaults(faults)}));
};

/** An unreadable version is listed with its number only. */
const summarizeVersion = (key: string, value: string): HistoryEntry => parseEnvelope({text: value}).match(
	({version, changeId, author, submittedAt}) => ({
		version, changeId, author, submittedAt,
	}),
	() => ({
		version: Number(key.slice(historyPrefix.length)), changeId: '', author: '', submittedAt: '',
	}),
);

/** All stored versions, oldest first. */
export const listHistory = async ({store}: HistoryOptions): Promise<Result<readonly HistoryEntry[], HistoryError>> => {
	const entries: HistoryEntry[] = [];
	let after: string | undefined;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- each page starts after the one before
		const listing = await store.list({prefix: historyPrefix, limit: versionsPerPage, ...(after === undefined ? {} : {after})});
		if (listing.isErr()) {
			return err({code: 'HISTORY_UNAVAILABLE', message: listing.error.message});
		}

		entries.push(...listing.value.entries.map(({key, value}) => summarizeVersion(key, value)));
		after = listing.value.entries.at(-1)?.key;
		if (!listing.value.more || after === undefined) {
			return ok(entries);
		}
	}
};
