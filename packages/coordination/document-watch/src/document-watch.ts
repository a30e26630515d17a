/**
 * Keeps the newest document in force on one entry instance and writes new
 * versions. All periodic work happens in `tick`, which the daemon calls every 500 ms.
 */
import {parseDocument} from '@turmericbay/document';
import type {ConfigurationDocument, ConfigurationPort, DocumentEnvelope} from '@turmericbay/document';
import type {
	Clock, DocumentVersion, InstanceId, KeyValueStore, RandomSource,
} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {listHistory, readVersion} from './history.js';
import type {HistoryEntry, HistoryError} from './history.js';
import {createPeerReader} from './peer-reader.js';
import {createPlatformReader} from './platform-reader.js';
import type {
	DocumentPeers, DocumentStatus, DocumentWatchEvent, EntryInstance, PeerAnswer, SubmitOutcome,
} from './ports.js';
import {createDocumentState} from './state.js';
import {resolvePending, writeVersion} from './submit.js';
import {chooseWatchers} from './watchers.js';

/**
 * Watchers check the platform every second, so that the other instances, which
 * exchange with their peers every 500 ms, are confirmed within 2 s. The interval
 * is 100 ms shorter, since a slightly early tick would delay the check by 500 ms.
 */
const watcherReadIntervalMilliseconds = 900;
/**
 * The other instances read the platform if their peers have not confirmed them
 * within the usual 2 s. If the platform hangs, the read times out 2 s later, which
 * leaves 1 s for a confirmation by the peers' answers: an instance whose
 * confirmation is older than 5 s refuses requests with team keys as not-run,
 * unless the document says otherwise for the queue.
 */
const fallbackReadAgeMilliseconds = 2000;

export type DocumentWatchOptions = {
	readonly self: EntryInstance;
	readonly store: KeyValueStore;
	readonly peers: DocumentPeers;
	/** Live entry instances; may include this one. */
	readonly live: () => readonly EntryInstance[];
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly wait: (milliseconds: number) => Promise<void>;
	readonly report: (event: DocumentWatchEvent) => void;
};

export type SubmitRequest = {
	readonly text: string;
	readonly reviewedVersion: DocumentVersion;
	readonly changeId: string;
	readonly author: string;
};

export type DocumentWatch = ConfigurationPort & {
	/** Reads the document from the platform and all peers; resolves when every call has ended. */
	start(): Promise<void>;
	/** Does the work that is due; resolves when the calls it started have ended. */
	tick(): Promise<void>;
	stop(): void;
	submitDocument(request: SubmitRequest): Promise<SubmitOutcome>;
	withdrawDocument(request: Omit<SubmitRequest, 'text'>): Promise<SubmitOutcome>;
	listHistory(): Promise<Result<readonly HistoryEntry[], HistoryError>>;
	readVersion(options: {readonly version: DocumentVersion}): Promise<Result<DocumentEnvelope, HistoryError>>;
	status(): DocumentStatus;
	/** The current answer to the query of a peer. */
	answerPeer(): PeerAnswer;
	/** The envelope in force as JSON; an empty string if there is none. */
	currentJson(): string;
	/** Records a peer's answer to a query that started at `startedAt` on this process's monotonic clock. */
	recordPeerAnswer(options: {readonly startedAt: number; readonly answer: PeerAnswer}): Promise<void>;
	/** Takes the version that a peer sent with a request of its own; fetches the document if it is newer. */
	receivePeerVersion(options: {readonly instance: InstanceId; readonly version: DocumentVersion}): Promise<void>;
	/** Takes an envelope that a peer pushed; returns the version in force afterwards. */
	receivePushedDocument(options: {readonly envelopeJson: string}): DocumentVersion;
};

const maximumChangeIdLength = 64;
const maximumAuthorLength = 200;

const validateRequest = ({changeId, author}: Omit<SubmitRequest, 'text'>): SubmitOutcome | undefined => {
	const faults = [
		...(changeId.length > 0 && changeId.length <= maximumChangeIdLength ? [] : [{path: '', message: `the change identifier must have 1 to ${maximumChangeIdLength} characters`}]),
		...(author.length <= maximumAuthorLength ? [] : [{path: '', message: `the author must have at most ${maximumAuthorLength} characters`}]),
	];
	return faults.length > 0 ? {type: 'invalid', faults} : undefined;
};

export const createDocumentWatch = (options: DocumentWatchOptions): DocumentWatch => {
	const {self, store, peers, live, clock, random, wait, report} = options;
	const now = () => clock.monotonicMilliseconds();
	const state = createDocumentState({
		instance: self.instance, startedAt: now(), listKnownPeers: () => peers.known().map(({instance}) => instance), report,
	});
	const platform = createPlatformReader({
		store, state, clock, report,
	});
	const peerReader = createPeerReader({peers, state, clock});

	const isWatcher = (): boolean => chooseWatchers({
		zone: self.zone, live: [...live().filter(({instance}) => instance !== self.instance), self],
	}).includes(self.instance);

	const isReadDue = (isWatching: boolean): boolean => {
		const sinceRead = now() - (platform.lastReadAt() ?? Number.NEGATIVE_INFINITY);
		const age = state.confirmationAge(now()) ?? Number.POSITIVE_INFINITY;
		return sinceRead >= watcherReadIntervalMilliseconds && (isWatching || age >= fallbackReadAgeMilliseconds || !state.isPlatformReachable());
	};

	const resolvePendingSubmits = async (): Promise<void> => {
		if (isResolving) {
			return;
		}

		isResolving = true;
		for (const [changeId, revision] of state.pendingRevisions()) {
			// eslint-disable-next-line no-await-in-loop -- there are few, and each writes to the same key
			if (!runningChanges.has(changeId) && await resolvePending({
				store, state, changeId, revision,
			})) {
				report({type: 'submit-resolved', changeId});
			}
		}

		isResolving = false;
	};

	const runningChanges = new Set<string>();
	let isResolving = false;

	const tick = async (): Promise<void> => {
		const isWatching = isWatcher();
		platform.setWatching(isWatching);
		const work: Array<Promise<void>> = [];
		if (isReadDue(isWatching)) {
			work.push(platform.read());
		}

		if (state.current() === undefined) {
			work.push(peerReader.fetchFromAll());
		} else if (!state.isPlatformReachable()) {
			work.push(peerReader.queryAll({isWatching}));
		}

		if (state.isPlatformReachable() && state.pendingRevisions().size > 0) {
			work.push(resolvePendingSubmits());
		}

		await Promise.all(work);
	};

	const writeDocument = async (request: Omit<SubmitRequest, 'text'>, document: ConfigurationDocument, restoredVersion?: DocumentVersion): Promise<SubmitOutcome> => {
		const {changeId, author, reviewedVersion} = request;
		if (runningChanges.has(changeId)) {
			return {type: 'outcome-unknown', message: 'a submit with this change identifier is under way'};
		}

		runningChanges.add(changeId);
		const envelope: DocumentEnvelope = {
			version: reviewedVersion + 1,
			changeId,
			author,
			submittedAt: new Date(clock.wallMilliseconds()).toISOString(),
			...(restoredVersion === undefined ? {} : {restoredVersion}),
			document,
		};
		try {
			const outcome = await writeVersion({
				store, state, clock, random, wait, envelope,
			});
			if (outcome.type === 'outcome-unknown') {
				report({type: 'submit-pending', changeId});
			}

			if (outcome.type !== 'written') {
				return outcome;
			}

			return {type: 'accepted', version: outcome.envelope.version, ...await peerReader.pushToAll(outcome.envelope)};
		} finally {
			runningChanges.delete(changeId);
		}
	};

	return {
		current: state.current,
		currentJson: state.currentJson,
		subscribe: state.subscribe,
		confirmationAgeMilliseconds: () => state.confirmationAge(now()),
		status: () => state.status(now()),
		answerPeer: () => state.answer(now()),
		tick,
		async start() {
			await Promise.all([platform.read(), peerReader.fetchFromAll()]);
		},
		stop() {
			platform.setWatching(false);
		},
		async submitDocument(request) {
			const fault = validateRequest(request);
			return fault ?? parseDocument({text: request.text}).match(
				async document => writeDocument(request, document),
				async faults => ({type: 'invalid', faults}),
			);
		},
		async withdrawDocument(request) {
			const fault = validateRequest(request);
			if (fault !== undefined) {
				return fault;
			}

			const restoredVersion = request.reviewedVersion - 1;
			const previous = await readVersion({store, version: restoredVersion});
			return previous.match(
				async ({document}) => writeDocument(request, document, restoredVersion),
				async ({message}) => ({type: 'not-applied', message: `the previous version cannot be restored (${message})`}),
			);
		},
		listHistory: async () => listHistory({store}),
		readVersion: async ({version}) => readVersion({store, version}),
		recordPeerAnswer: peerReader.recordAnswer,
		receivePeerVersion: peerReader.fetchIfNewer,
		receivePushedDocument({envelopeJson}) {
			state.receivePeerDocument(envelopeJson, now());
			return state.version();
		},
	};
};
