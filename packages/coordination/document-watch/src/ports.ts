/** Ports, events and result types of the document watch. */
import type {DocumentVersion, InstanceId} from '@turmericbay/types';
import type {DocumentFault} from '@turmericbay/document';
import type {Result} from 'neverthrow';

export type EntryInstance = {
	readonly instance: InstanceId;
	readonly zone: string;
};

/** One entry instance's answer about its document; all fields are of the same time. */
export type PeerAnswer = {
	readonly instance: InstanceId;
	/** 0 while the instance has no document. */
	readonly documentVersion: DocumentVersion;
	readonly confirmationAgeMilliseconds?: number | undefined;
	readonly platformReachable: boolean;
	/** Submits that may still take effect, plus 1 while a write of the instance's previous process may still do so. */
	readonly pendingSubmits: number;
};

export type PeerError = {
	readonly code: 'PEER_UNAVAILABLE';
	readonly message: string;
};

/** The other entry instances. Every call has a timeout. */
export type DocumentPeers = {
	/** Every other entry instance that could write a document. */
	known(): readonly EntryInstance[];
	query(options: {readonly instance: InstanceId}): Promise<Result<PeerAnswer, PeerError>>;
	/** The peer's envelope as JSON; an empty string if it has none. */
	fetchDocument(options: {readonly instance: InstanceId}): Promise<Result<string, PeerError>>;
	/** Sends an envelope; resolves with the version then in force at the peer. */
	pushDocument(options: {readonly instance: InstanceId; readonly envelopeJson: string}): Promise<Result<DocumentVersion, PeerError>>;
};

export type SubmitOutcome
	= | {readonly type: 'accepted'; readonly version: DocumentVersion; readonly confirmed: readonly InstanceId[]; readonly unconfirmed: readonly InstanceId[]}
		| {readonly type: 'invalid'; readonly faults: readonly DocumentFault[]}
	/** A version other than the reviewed one is in force. */
		| {readonly type: 'conflict'; readonly version: DocumentVersion; readonly message: string}
	/** The change is not in force and will not come into force. */
		| {readonly type: 'not-applied'; readonly message: string}
	/** Submit again with the same change identifier to learn the outcome. */
		| {readonly type: 'outcome-unknown'; readonly message: string};

export type DocumentSource = 'platform' | 'peer' | 'submit';

/** Events for the log. */
export type DocumentWatchEvent
	= | {readonly type: 'adopted'; readonly version: DocumentVersion; readonly source: DocumentSource}
	/** A version older than the one in force was received and ignored. */
		| {readonly type: 'older-ignored'; readonly version: DocumentVersion; readonly inForce: DocumentVersion; readonly source: DocumentSource}
	/** The version in force was received with different content and refused. */
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
	/** Change identifiers whose outcome is unknown. */
	readonly pendingChanges: readonly string[];
};
