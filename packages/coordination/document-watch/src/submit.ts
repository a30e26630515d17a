/** Writes a new version by compare-and-swap and finds out what became of it. */
import {isDeepStrictEqual} from 'node:util';
import {parseEnvelope} from '@turmericbay/document';
import type {DocumentEnvelope} from '@turmericbay/document';
import {StoreErrorKind} from '@turmericbay/types';
import type {
	Clock, DocumentVersion, KeyValueStore, RandomSource, Revision, StoredEntry, StoreError,
} from '@turmericbay/types';
import {keptVersions, readVersion} from './history.js';
import type {SubmitOutcome} from './ports.js';
import type {DocumentState} from './state.js';
import {currentKey, historyKey} from './store-keys.js';

/** With calls of at most 2 s the answer comes before the command line gives up. */
const maximumAttempts = 5;
const firstBackoffMilliseconds = 100;

export type SubmitOptions = {
	readonly store: KeyValueStore;
	readonly state: DocumentState;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly wait: (milliseconds: number) => Promise<void>;
	/** The new version; its number is one more than the reviewed one. */
	readonly envelope: DocumentEnvelope;
};

type Unshared = Exclude<SubmitOutcome, {type: 'accepted'}>;

/** A write that took effect, or why it did not. */
export type WriteOutcome = Unshared | {readonly type: 'written'; readonly envelope: DocumentEnvelope};

/** What one attempt found out. */
type Attempt
	= | {readonly type: 'final'; readonly outcome: WriteOutcome}
		/** Nothing is known to have changed; `isUncertain` if a write may still take effect. */
		| {readonly type: 'retry'; readonly isUncertain: boolean; readonly message: string};

type Stored = {
	readonly version: DocumentVersion;
	readonly revision: Revision;
	readonly isReadable: boolean;
};

const final = (outcome: WriteOutcome): Attempt => ({type: 'final', outcome});

const conflict = (version: DocumentVersion, message: string): Attempt => final({type: 'conflict', version, message});

const readBareVersion = (text: string): DocumentVersion => {
	try {
		const value: unknown = JSON.parse(text);
		const version: unknown = typeof value === 'object' && value !== null ? Reflect.get(value, 'version') : undefined;
		return typeof version === 'number' && Number.isSafeInteger(version) ? version : 0;
	} catch {
		return 0;
	}
};

/** A value that cannot be read may come from a newer program, so its version counts if it has one. */
const readStored = (entry: StoredEntry | undefined): Stored => {
	if (entry === undefined) {
		return {version: 0, revision: 0, isReadable: true};
	}

	const {value, modifiedRevision: revision} = entry;
	return parseEnvelope({text: value}).match(
		({version}) => ({version, revision, isReadable: true}),
		() => ({version: readBareVersion(value), revision, isReadable: false}),
	);
};

const isSameChange = (left: DocumentEnvelope, right: DocumentEnvelope): boolean => isDeepStrictEqual(left.document, right.document);

/**
 * Looks for the change among the stored versions. A change that took effect
 * has the version after the reviewed one, so one key tells.
 */
const findChange = async ({store, envelope}: SubmitOptions, stored: Stored, newest: DocumentVersion): Promise<Attempt | undefined> => {
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

	return isSameChange(read.value, envelope)
		? final({type: 'written', envelope: read.value})
		: conflict(stored.version, `the change identifier was used for another document, which became version ${envelope.version}`);
};

const writeEnvelope = async (options: SubmitOptions, stored: Stored): Promise<Attempt> => {
	const {store, state, envelope, clock} = options;
	const value = JSON.stringify(envelope);
	const expired = envelope.version - keptVersions;
	state.markPending(envelope.changeId, stored.revision);
	const startedAt = clock.monotonicMilliseconds();
	const written = await store.transact({
		conditions: [
			{key: currentKey, modifiedRevision: stored.revision},
			// A version number is never used twice, whatever happened to the current key.
			{key: historyKey(envelope.version), modifiedRevision: 0},
		],
		operations: [
			{type: 'put', key: currentKey, value},
			{type: 'put', key: historyKey(envelope.version), value},
			...(expired > 0 ? [{type: 'delete', key: historyKey(expired)} as const] : []),
		],
	});
	if (written.isErr()) {
		return describeFailure(written.error);
	}

	if (written.value.type === 'condition-failed') {
		return {type: 'retry', isUncertain: false, message: 'another change was stored at the same time'};
	}

	state.recordAccepted({envelope, startedAt, revision: written.value.revision});
	return final({type: 'written', envelope});
};

const describeFailure = ({kind, message}: StoreError): Attempt => {
	switch (kind) {
		case StoreErrorKind.NotApplied: {
			return {type: 'retry', isUncertain: false, message};
		}

		case StoreErrorKind.TooLarge: {
			return final({type: 'invalid', faults: [{path: '', message}]});
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
	const stored = readStored(read.value);
	// The version in force can be the newer one if a peer pushed it since the
	// read or the platform lost writes. It is taken once: if it grows while the
	// change is looked for, the comparison of revisions refuses the write.
	const newest = Math.max(stored.version, state.version());
	const found = await findChange(options, stored, newest);
	if (found !== undefined) {
		return found;
	}

	if (newest !== envelope.version - 1) {
		const message = `version ${newest} is in force, the change was reviewed against version ${envelope.version - 1}`;
		const canStillTakeEffect = isUncertain && state.pendingRevisions().get(envelope.changeId) === stored.revision;
		return canStillTakeEffect ? {type: 'retry', isUncertain, message} : conflict(newest, message);
	}

	return writeEnvelope(options, stored);
};

const finish = (options: SubmitOptions, isUncertain: boolean, message: string): WriteOutcome => {
	const {state, envelope: {changeId}} = options;
	if (isUncertain) {
		return {type: 'outcome-unknown', message: `the platform's answer was lost (${message})`};
	}

	state.clearPending(changeId);
	return {type: 'not-applied', message: `the platform did not take the change (${message})`};
};

/**
 * Tries until the outcome is certain or the attempts are used up. The pending
 * mark stays exactly if a write may still take effect: a lost one can do so
 * until the compared revision has changed, even after a read that shows nothing.
 */
export const writeVersion = async (options: SubmitOptions): Promise<WriteOutcome> => {
	const {state, envelope: {changeId}, wait, random} = options;
	let isUncertain = state.pendingRevisions().has(changeId);
	let message = '';
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		if (attempt > 0) {
			// eslint-disable-next-line no-await-in-loop -- attempts follow each other
			await wait(random() * firstBackoffMilliseconds * (2 ** attempt));
		}

		// eslint-disable-next-line no-await-in-loop -- attempts follow each other
		const result = await attemptWrite(options, isUncertain);
		if (result.type === 'final') {
			state.clearPending(changeId);
			return result.outcome;
		}

		isUncertain ||= result.isUncertain;
		message = result.message;
	}

	return finish(options, isUncertain, message);
};

/**
 * Ends the uncertainty about a lost write. If its revision is still the
 * current one, the stored value is written again unchanged, after which the
 * lost write can no longer take effect.
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

		const fenced = await store.transact({
			conditions: [{key: currentKey, modifiedRevision: revision}],
			operations: [{type: 'put', key: currentKey, value: read.value.value}],
		});
		if (fenced.isErr()) {
			return false;
		}
	}

	// A repeated submit may have marked another revision in the meantime.
	if (state.pendingRevisions().get(changeId) === revision) {
		state.clearPending(changeId);
	}

	return true;
};
