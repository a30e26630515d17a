/** What the document watch needs from its surroundings, and what it reports. */
import type {DocumentVersion, InstanceId} from '@turmericbay/types';
import type {DocumentFault} from '@turmericbay/document';
import type {Result} from 'neverthrow';

export type EntryInstance = {
	readonly instance: InstanceId;
	readonly zone: string;
};

/** What one entry instance says about the document; all fields from one moment. */
export type PeerAnswer = {
	readonly instance: InstanceId;
	/** 0 while the instance has no document. */
	readonly documentVersion: DocumentVersion;
	readonly confirmationAgeMilliseconds?: number | undefined;
	readonly platformReachable: boolean;
	/** Submits that may still take effect. Also counts 1 while the instance cannot tell what it wrote before a restart. */
	readonly pendingSubmits: number;
};

export type PeerError = {
	readonly code: 'PEER_UNAVAILABLE';
	readonly message: string;
};

/** The other entry instances. Calls end within a bounded time. */
export type DocumentPeers = {
	/** Every other entry instance that could write a document. */
	known(): readonly EntryInstance[];
	query(options: {readonly instance: InstanceId}): Promise<Result<PeerAnswer, PeerError>>;
	/** The peer's envelope as JSON; empty if it has none. */
	fetchDocument(options: {readonly instance: InstanceId}): Promise<Result<string, PeerError>>;
	/** Hands an envelope over; answers with the version in force at the peer. */
	pushDocument(options: {readonly instance: InstanceId; readonly envelopeJson: string}): Promise<Result<DocumentVersion, PeerError>>;
};

export type SubmitOutcome
	= | {readonly type: 'accepted'; readonly version: DocumentVersion; readonly confirmed: readonly InstanceId[]; readonly unconfirmed: readonly InstanceId[]}
		| {readonly type: 'invalid'; readonly faults: readonly DocumentFault[]}
	/** Another version than the reviewed one is in force. */
		| {readonly type: 'conflict'; readonly version: DocumentVersion; readonly message: string}
	/** The change is not in force and will not come into force. */
		| {readonly type: 'not-applied'; readonly message: string}
	/** Submit again with the same change identifier to learn the outcome. */
		| {readonly type: 'outcome-unknown'; readonly message: string};

export type DocumentSource = 'platform' | 'peer' | 'submit';

/** Events for the log. */
export type DocumentWatchEvent
	= | {readonly type: 'adopted'; readonly version: DocumentVersion; readonly source: DocumentSource}
	/** An older version than the one in force arrived and was ignored. */
		| {readonly type: 'older-ignored'; readonly version: DocumentVersion; readonly inForce: DocumentVersion; readonly source: DocumentSource}
	/** The version in force arrived with other content and was refused. */
		| {readonly type: 'content-conflict'; readonly version: DocumentVersion; readonly source: DocumentSource}
		| {readonly type: 'unreadable'; readonly fault: string; readonly source: DocumentSource}
		| {readonly type: 'watch-ended'; readonly message: string}
		| {readonly type: 'platform-lost'; readonly message: string}
		| {readonly type: 'platform-found'}
		| {readonly type: 'submit-pending'; readonly changeId: string}
		| {readonly type: 'submit-resolved'; readonly changeId: string};

export type DocumentStatus = {
	/** 0 while there is no document. */
	readonly version: DocumentVersion;
	readonly confirmationAgeMilliseconds: number | undefined;
	readonly platformReachable: boolean;
	/** Why the newest stored document is not in force; empty if it is. */
	readonly fault: string;
	/** Change identifiers whose outcome is not known. */
	readonly pendingChanges: readonly string[];
};
