/** Writes a new version by compare-and-swap and determines the outcome of the write. */
import {isDeepStrictEqual} from 'node:util';
import {parseEnvelope} from '@turmericbay/document';
import type {DocumentEnvelope} from '@turmericbay/document';
import {StoreErrorKind} from '@turmericbay/types';
import type {
	Clock, DocumentVersion, KeyValueStore, RandomSource, Revision, StoredEntry, StoreError,
} from '@turmericbay/types';
import {maximumKeptVersions, readVersion} from './history.js';
import type {SubmitOutcome} from './ports.js';
import type {DocumentState} from './state.js';
import {currentKey, historyKey} from './store-keys.js';

/** With calls of at most 2 s the outcome is known before the command line times out. */
const maximumAttempts = 5;
const backoffBaseMilliseconds = 100;

export type SubmitOptions = {
	readonly store: KeyValueStore;
	readonly state: DocumentState;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly wait: (milliseconds: number) => Promise<void>;
	/** The new version; its number is one more than the reviewed one. */
	readonly envelope: DocumentEnvelope;
};

type UnsuccessfulOutcome = Exclude<SubmitOutcome, {type: 'accepted'}>;

/** A successful write, or the reason why it did not succeed. */
export type WriteOutcome = UnsuccessfulOutcome | {readonly type: 'written'; readonly envelope: DocumentEnvelope};

/** Result of one attempt. */
type Attempt
	= | {readonly type: 'final'; readonly outcome: WriteOutcome}
		/** No change has been observed; `isUncertain` is true if a write may still take effect. */
		| {readonly type: 'retry'; readonly isUncertain: boolean; readonly message: string};

type StoredDocument = {
	readonly version: DocumentVersion;
	readonly revision: Revision;
	readonly isReadable: boolean;
};

const createFinalAttempt = (outcome: WriteOutcome): Attempt => ({type: 'final', outcome});

const createConflict = (version: DocumentVersion, message: string): Attempt => createFinalAttempt({type: 'conflict', version, message});

const readVersionNumber = (text: string): DocumentVersion => {
	try {
		const value: unknown = JSON.parse(text);
		const version: unknown = typeof value === 'object' && value !== null ? Reflect.get(value, 'version') : undefined;
		return typeof version === 'number' && Number.isSafeInteger(version) ? version : 0;
	} catch {
		return 0;
	}
};

/** An unreadable value may have been written by a newer program version, so its document version counts if it has one. */
const describeStored = (entry: StoredEntry | undefined): StoredDocument => {
	if (entry === undefined) {
		return {version: 0, revision: 0, isReadable: true};
	}

	const {value, modifiedRevision: revision} = entry;
	return parseEnvelope({text: value}).match(
		({version}) => ({version, revision, isReadable: true}),
		() => ({version: readVersionNumber(value), revision, isReadable: false}),
	);
};

const hasSameDocument = (left: DocumentEnvelope, right: DocumentEnvelope): boolean => isDeepStrictEqual(left.document, right.document);

/**
 * Looks for the change among the stored versions. A change that took effect has
 * the version after the reviewed one, so it is enough to read one key.
 */
const findStoredChange = async ({store, envelope}: SubmitOptions, stored: StoredDocument, newest: DocumentVersion): Promise<Attempt | undefined> => {
	if (stored.isReadable && newest < envelope.version) {
		return undefined;
	}

	const read = await readVersion({store, version: envelope.version});
	if (read.isErr()) {
		return read.error.code === 'HISTORY_UNAVAILABLE'
			? {type: 'retry', isUncertain: false, message: read.error.message}
			: undefined;
	}

	if (read.value.changeId !== envelope.changeId) {
		return undefined;
	}

	return hasSameDocument(read.value, envelope)
		? createFinalAttempt({type: 'written', envelope: read.value})
		: createConflict(stored.version, `the change identifier was used for another document, which became version ${envelope.version}`);
};

const writeEnvelope = async (options: SubmitOptions, stored: StoredDocument): Promise<Attempt> => {
	const {store, state, envelope, clock} = options;
	const value = JSON.stringify(envelope);
	const oldestDropped = envelope.version - maximumKeptVersions;
	state.markPending(envelope.changeId, stored.revision);
	const startedAt = clock.monotonicMilliseconds();
	const written = await store.transact({
		conditions: [
			{key: currentKey, modifiedRevision: stored.revision},
			// A version number is never reused, even if the current key was lost or restored.
			{key: historyKey(envelope.version), modifiedRevision: 0},
		],
		operations: [
			{type: 'put', key: currentKey, value},
			{type: 'put', key: historyKey(envelope.version), value},
			...(oldestDropped > 0 ? [{type: 'delete', key: historyKey(oldestDropped)} as const] : []),
		],
	});
	if (written.isErr()) {
		return classifyFailure(written.error);
	}

	if (written.value.type === 'condition-failed') {
		return {type: 'retry', isUncertain: false, message: 'another change was stored at the same time'};
	}

	state.recordAccepted({envelope, startedAt, revision: written.value.revision});
	return createFinalAttempt({type: 'written', envelope});
};

const classifyFailure = ({kind, message}: StoreError): Attempt => {
	switch (kind) {
		case StoreErrorKind.NotApplied: {
			return {type: 'retry', isUncertain: false, message};
		}

		case StoreErrorKind.TooLarge: {
			return createFinalAttempt({type: 'invalid', faults: [{path: '', message}]});
		}

		case StoreErrorKind.Unknown:
		case StoreErrorKind.Malformed: {
			return {type: 'retry', isUncertain: true, message};
		}
	}
};

const attemptWrite = async (options: SubmitOptions, isUncertain: boolean): Promise<Attempt> => {
	const {store, state, envelope, clock} = options;
	const startedAt = clock.monotonicMilliseconds();
	const read = await store.read({key: currentKey});
	if (read.isErr()) {
		return {type: 'retry', isUncertain: false, message: read.error.message};
	}

	state.recordPlatformRead(startedAt, read.value);
	const stored = describeStored(read.value);
	// The version in force can be newer than the stored one if a peer pushed it
	// after the read or the platform lost writes. It is read only once: if it
	// increases during the search, the transaction's revision condition fails.
	const newest = Math.max(stored.version, state.version());
	const found = await findStoredChange(options, stored, newest);
	if (found !== undefined) {
		return found;
	}

	if (newest !== envelope.version - 1) {
		const message = `version ${newest} is in force, the change was reviewed against version ${envelope.version - 1}`;
		const canStillTakeEffect = isUncertain && state.pendingRevisions().get(envelope.changeId) === stored.revision;
		return canStillTakeEffect ? {type: 'retry', isUncertain, message} : createConflict(newest, message);
	}

	return writeEnvelope(options, stored);
};

const createFailedOutcome = (options: SubmitOptions, isUncertain: boolean, message: string): WriteOutcome => {
	const {state, envelope: {changeId}} = options;
	if (isUncertain) {
		return {type: 'outcome-unknown', message: `the platform's answer was lost (${message})`};
	}

	state.clearPending(changeId);
	return {type: 'not-applied', message: `the platform did not take the change (${message})`};
};

/**
 * Retries until the outcome is certain or all attempts have failed. The change
 * stays pending only if a write may still take effect: a write without a response
 * can do so until the revision it compares has changed, even if a later read does
 * not show it.
 */
export const writeVersion = async (options: SubmitOptions): Promise<WriteOutcome> => {
	const {state, envelope: {changeId}, wait, random} = options;
	let isUncertain = state.pendingRevisions().has(changeId);
	let message = '';
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		if (attempt > 0) {
			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			await wait(random() * backoffBaseMilliseconds * (2 ** attempt));
		}

		// eslint-disable-next-line no-await-in-loop -- attempts are sequential
		const result = await attemptWrite(options, isUncertain);
		if (result.type === 'final') {
			state.clearPending(changeId);
			return result.outcome;
		}

		isUncertain ||= result.isUncertain;
		message = result.message;
	}

	return createFailedOutcome(options, isUncertain, message);
};

/**
 * Fences a pending write. If the revision that it compares is still current, the
 * stored value is written again unchanged, after which the pending write can no
 * longer take effect.
 */
export const resolvePending = async ({store, state, changeId, revision}: {
	readonly store: KeyValueStore;
	readonly state: DocumentState;
	readonly changeId: string;
	readonly revision: Revision;
}): Promise<boolean> => {
	const read = await store.read({key: currentKey});
	if (read.isErr()) {
		return false;
	}

	if ((read.value?.modifiedRevision ?? 0) === revision) {
		if (read.value === undefined) {
			return false;
		}

		const rewritten = await store.transact({
			conditions: [{key: currentKey, modifiedRevision: revision}],
			operations: [{type: 'put', key: currentKey, value: read.value.value}],
		});
		if (rewritten.isErr()) {
			return false;
		}
	}

	// A repeated submit may have recorded another revision in the meantime.
	if (state.pendingRevisions().get(changeId) === revision) {
		state.clearPending(changeId);
	}

	return true;
};
