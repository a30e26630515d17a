/** The decision core: what is in force and since when it is confirmed. Does no I/O. */
import {formatDocumentFaults, parseEnvelope} from '@turmericbay/document';
import type {DocumentEnvelope} from '@turmericbay/document';
import type {InstanceId, Revision, StoredEntry} from '@turmericbay/types';
import {Adoption, decideAdoption} from './adoption.js';
import {findMomentConfirmedInOutage, findMomentConfirmedByPeers} from './confirmation.js';
import type {TimedAnswer} from './confirmation.js';
import type {
	DocumentSource, DocumentStatus, DocumentWatchEvent, PeerAnswer,
} from './ports.js';

/**
 * Time after the start of a process in which a write of its predecessor may
 * still take effect; longer than any call to the platform lasts.
 */
export const predecessorWriteMilliseconds = 5000;

export type StateOptions = {
	readonly instance: InstanceId;
	readonly startedAt: number;
	/** Other entry instances that could write. */
	readonly known: () => readonly InstanceId[];
	readonly report: (event: DocumentWatchEvent) => void;
};

export type DocumentState = ReturnType<typeof createDocumentState>;

export const createDocumentState = ({instance, startedAt, known, report}: StateOptions) => {
	let inForce: DocumentEnvelope | undefined;
	let inForceJson = '';
	/** Revision at which the platform holds the envelope in force; undefined if it came from a peer. */
	let revision: Revision | undefined;
	let confirmedAt: number | undefined;
	let platformReachable = false;
	let isPredecessorSettled = false;
	let fault = '';
	const answers = new Map<InstanceId, TimedAnswer>();
	/** Change identifier → revision that its transaction compares. */
	const pending = new Map<string, Revision>();
	const listeners: Array<(envelope: DocumentEnvelope) => void> = [];

	const version = () => inForce?.version ?? 0;
	const pendingSubmits = () => pending.size + (isPredecessorSettled ? 0 : 1);

	const confirm = (moment: number | undefined): void => {
		if (inForce !== undefined && moment !== undefined && (confirmedAt === undefined || moment > confirmedAt)) {
			confirmedAt = moment;
		}
	};

	const evaluatePeers = (now: number): void => {
		confirm(findMomentConfirmedByPeers({version: version(), answers}));
		confirm(findMomentConfirmedInOutage({
			version: version(), answers, now, known: known(), ownPlatformReachable: platformReachable, ownPendingSubmits: pendingSubmits(),
		}));
	};

	const setPlatformReachable = (reachable: boolean, message: string): void => {
		if (reachable !== platformReachable) {
			platformReachable = reachable;
			report(reachable ? {type: 'platform-found'} : {type: 'platform-lost', message});
		}
	};

	const refuse = (reason: string, event: DocumentWatchEvent): void => {
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
				refuse(`version ${candidate.version} arrived with other content than the one in force`, {type: 'content-conflict', version: candidate.version, source});
				break;
			}
		}

		return adoption;
	};

	/** Checks and adopts an envelope that arrived as text; undefined if it cannot be read. */
	const receiveText = (text: string, source: DocumentSource): Adoption | undefined => {
		const parsed = parseEnvelope({text});
		if (parsed.isErr()) {
			const reason = `a document from the ${source} cannot be read: ${formatDocumentFaults(parsed.error)}`;
			refuse(reason, {type: 'unreadable', fault: reason, source});
			return undefined;
		}

		return adopt(parsed.value, source);
	};

	const recordPlatformContact = (readStartedAt: number): void => {
		setPlatformReachable(true, '');
		isPredecessorSettled ||= readStartedAt - startedAt >= predecessorWriteMilliseconds;
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

		/** A full read of the current key that started at `readStartedAt`. */
		recordPlatformRead(readStartedAt: number, entry: StoredEntry | undefined): void {
			recordPlatformContact(readStartedAt);
			const adoption = entry === undefined ? undefined : receiveText(entry.value, 'platform');
			// An older version, or none, shows that the platform lost a write or
			// answered from the past, so such a read says nothing about newer ones.
			if (adoption === Adoption.Adopt || adoption === Adoption.Same) {
				revision = entry?.modifiedRevision;
				fault = '';
				confirm(readStartedAt);
			} else if (inForce !== undefined && (entry === undefined || adoption === Adoption.Older)) {
				fault = `the platform holds an older document than version ${version()} in force; submit again to store it`;
			}
		},

		/** The platform still held `checkedRevision` at some moment after `readStartedAt`. */
		recordUnchanged(readStartedAt: number, checkedRevision: Revision): void {
			recordPlatformContact(readStartedAt);
			if (checkedRevision === revision) {
				confirm(readStartedAt);
			}
		},

		/** A change that a watch reported; its moment is not known, so it confirms nothing. */
		recordWatchedEntry(entry: StoredEntry): void {
			if (receiveText(entry.value, 'platform') === Adoption.Adopt) {
				revision = entry.modifiedRevision;
			}
		},

		recordPlatformFailure(message: string, now: number): void {
			setPlatformReachable(false, message);
			evaluatePeers(now);
		},

		recordPeerAnswer({startedAt: queryStartedAt, answer, now}: TimedAnswer & {readonly now: number}): void {
			const earlier = answers.get(answer.instance);
			if (earlier === undefined || earlier.startedAt <= queryStartedAt) {
				answers.set(answer.instance, {startedAt: queryStartedAt, answer});
			}

			evaluatePeers(now);
		},

		receivePeerDocument(text: string, now: number): void {
			receiveText(text, 'peer');
			evaluatePeers(now);
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

		/** Moment at which the query of the last answer of a peer started. */
		answeredAt: (peer: InstanceId): number | undefined => answers.get(peer)?.startedAt,

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
