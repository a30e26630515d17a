/** Decision core: holds the document in force and the time of its last confirmation. Does no I/O. */
import {formatDocumentFaults, parseEnvelope} from '@turmericbay/document';
import type {DocumentEnvelope} from '@turmericbay/document';
import type {InstanceId, Revision, StoredEntry} from '@turmericbay/types';
import {Adoption, decideAdoption} from './adoption.js';
import {findOutageConfirmationTime, findPeerConfirmationTime} from './confirmation.js';
import type {TimedAnswer} from './confirmation.js';
import type {
	DocumentSource, DocumentStatus, DocumentWatchEvent, PeerAnswer,
} from './ports.js';

/**
 * Time after the start of a process in which a write of the instance's previous
 * process may still take effect; longer than the timeout of any platform call.
 */
export const previousProcessWriteMilliseconds = 5000;

export type StateOptions = {
	readonly instance: InstanceId;
	readonly startedAt: number;
	/** Other entry instances that could write a document. */
	readonly listKnownPeers: () => readonly InstanceId[];
	readonly report: (event: DocumentWatchEvent) => void;
};

export type DocumentState = ReturnType<typeof createDocumentState>;

export const createDocumentState = ({instance, startedAt, listKnownPeers, report}: StateOptions) => {
	let inForce: DocumentEnvelope | undefined;
	let inForceJson = '';
	/** Revision at which the platform stores the envelope in force; undefined if it came from a peer. */
	let revision: Revision | undefined;
	let confirmedAt: number | undefined;
	let platformReachable = false;
	let arePreviousWritesSettled = false;
	let fault = '';
	const answers = new Map<InstanceId, TimedAnswer>();
	/** Revision that the transaction of each pending change compares, by change identifier. */
	const pending = new Map<string, Revision>();
	const listeners: Array<(envelope: DocumentEnvelope) => void> = [];

	const version = () => inForce?.version ?? 0;
	const pendingSubmits = () => pending.size + (arePreviousWritesSettled ? 0 : 1);

	const confirm = (time: number | undefined): void => {
		if (inForce !== undefined && time !== undefined && (confirmedAt === undefined || time > confirmedAt)) {
			confirmedAt = time;
		}
	};

	const confirmFromPeerAnswers = (now: number): void => {
		confirm(findPeerConfirmationTime({version: version(), answers}));
		confirm(findOutageConfirmationTime({
			version: version(), answers, now, knownPeers: listKnownPeers(), ownPlatformReachable: platformReachable, ownPendingSubmits: pendingSubmits(),
		}));
	};

	const setPlatformReachable = (reachable: boolean, message: string): void => {
		if (reachable !== platformReachable) {
			platformReachable = reachable;
			report(reachable ? {type: 'platform-found'} : {type: 'platform-lost', message});
		}
	};

	const recordFault = (reason: string, event: DocumentWatchEvent): void => {
		if (fault !== reason) {
			fault = reason;
			report(event);
		}
	};

	const adopt = (candidate: DocumentEnvelope, source: DocumentSource): Adoption => {
		const adoption = decideAdoption({inForce, candidate});
		switch (adoption) {
			case Adoption.Adopt: {
				inForce = candidate;
				inForceJson = JSON.stringify(candidate);
				revision = undefined;
				fault = '';
				report({type: 'adopted', version: candidate.version, source});
				for (const listener of listeners) {
					listener(candidate);
				}

				break;
			}

			case Adoption.Same: {
				break;
			}

			case Adoption.Older: {
				report({
					type: 'older-ignored', version: candidate.version, inForce: version(), source,
				});
				break;
			}

			case Adoption.Conflict: {
				recordFault(`version ${candidate.version} arrived with other content than the one in force`, {type: 'content-conflict', version: candidate.version, source});
				break;
			}
		}

		return adoption;
	};

	/** Parses and adopts an envelope; undefined if it is unreadable. */
	const receiveEnvelopeText = (text: string, source: DocumentSource): Adoption | undefined => {
		const parsed = parseEnvelope({text});
		if (parsed.isErr()) {
			const reason = `a document from the ${source} cannot be read: ${formatDocumentFaults(parsed.error)}`;
			recordFault(reason, {type: 'unreadable', fault: reason, source});
			return undefined;
		}

		return adopt(parsed.value, source);
	};

	const recordPlatformSuccess = (readStartedAt: number): void => {
		setPlatformReachable(true, '');
		arePreviousWritesSettled ||= readStartedAt - startedAt >= previousProcessWriteMilliseconds;
	};

	return {
		version,
		current: () => inForce,
		currentJson: () => inForceJson,
		revision: () => revision,
		isPlatformReachable: () => platformReachable,
		pendingRevisions: (): ReadonlyMap<string, Revision> => pending,
		confirmationAge: (now: number): number | undefined => confirmedAt === undefined ? undefined : now - confirmedAt,
		subscribe(listener: (envelope: DocumentEnvelope) => void): void {
			listeners.push(listener);
		},

		/** Records a full read of the current key that started at `readStartedAt`. */
		recordPlatformRead(readStartedAt: number, entry: StoredEntry | undefined): void {
			recordPlatformSuccess(readStartedAt);
			const adoption = entry === undefined ? undefined : receiveEnvelopeText(entry.value, 'platform');
			// An older or missing version means that the platform lost a write or
			// returned stale data, so such a read does not rule out newer versions.
			if (adoption === Adoption.Adopt || adoption === Adoption.Same) {
				revision = entry?.modifiedRevision;
				fault = '';
				confirm(readStartedAt);
			} else if (inForce !== undefined && (entry === undefined || adoption === Adoption.Older)) {
				fault = `the platform holds an older document than version ${version()} in force; submit again to store it`;
			}
		},

		/** Records that the platform still stored `checkedRevision` at some time after `readStartedAt`. */
		recordUnchanged(readStartedAt: number, checkedRevision: Revision): void {
			recordPlatformSuccess(readStartedAt);
			if (checkedRevision === revision) {
				confirm(readStartedAt);
			}
		},

		/** Records an entry from a watch; the time of the change is unknown, so it confirms nothing. */
		recordWatchedEntry(entry: StoredEntry): void {
			if (receiveEnvelopeText(entry.value, 'platform') === Adoption.Adopt) {
				revision = entry.modifiedRevision;
			}
		},

		recordPlatformFailure(message: string, now: number): void {
			setPlatformReachable(false, message);
			confirmFromPeerAnswers(now);
		},

		recordPeerAnswer({startedAt: queryStartedAt, answer, now}: TimedAnswer & {readonly now: number}): void {
			const earlier = answers.get(answer.instance);
			if (earlier === undefined || earlier.startedAt <= queryStartedAt) {
				answers.set(answer.instance, {startedAt: queryStartedAt, answer});
			}

			confirmFromPeerAnswers(now);
		},

		receivePeerDocument(text: string, now: number): void {
			receiveEnvelopeText(text, 'peer');
			confirmFromPeerAnswers(now);
		},

		recordAccepted({envelope, startedAt: writeStartedAt, revision: written}: {readonly envelope: DocumentEnvelope; readonly startedAt: number; readonly revision: Revision}): void {
			if (adopt(envelope, 'submit') === Adoption.Adopt) {
				revision = written;
			}

			confirm(writeStartedAt);
		},

		markPending(changeId: string, comparedRevision: Revision): void {
			pending.set(changeId, comparedRevision);
		},

		clearPending(changeId: string): void {
			pending.delete(changeId);
		},

		/** Start of the newest query that the peer answered. */
		lastQueriedAt: (peer: InstanceId): number | undefined => answers.get(peer)?.startedAt,

		/** What this instance answers to its peers. */
		answer: (now: number): PeerAnswer => ({
			instance,
			documentVersion: version(),
			confirmationAgeMilliseconds: confirmedAt === undefined ? undefined : now - confirmedAt,
			platformReachable,
			pendingSubmits: pendingSubmits(),
		}),

		status: (now: number): DocumentStatus => ({
			version: version(),
			confirmationAgeMilliseconds: confirmedAt === undefined ? undefined : now - confirmedAt,
			platformReachable,
			fault,
			pendingChanges: [...pending.keys()],
		}),
	};
};
