/** Updates the state from the other entry instances. */
import type {DocumentEnvelope} from '@turmericbay/document';
import type {Clock, DocumentVersion, InstanceId} from '@turmericbay/types';
import type {DocumentPeers, PeerAnswer} from './ports.js';
import type {DocumentState} from './state.js';

/** Minimum time between two queries of the same peer. */
const queryIntervalMilliseconds = 1000;
/** With more peers than this, only watchers query all of them; the other instances are confirmed by the watchers. */
const maximumPeersForFullQuery = 12;
/** Minimum time between two fetches from the same peer, so that an unreadable document is not fetched at every tick. */
const fetchIntervalMilliseconds = 1000;

export type PeerReaderOptions = {
	readonly peers: DocumentPeers;
	readonly state: DocumentState;
	readonly clock: Clock;
};

export const createPeerReader = ({peers, state, clock}: PeerReaderOptions) => {
	const now = () => clock.monotonicMilliseconds();
	const lastFetchAt = new Map<InstanceId, number>();
	const querying = new Set<InstanceId>();

	const fetchFrom = async (instance: InstanceId): Promise<void> => {
		const last = lastFetchAt.get(instance);
		if (last !== undefined && now() - last < fetchIntervalMilliseconds) {
			return;
		}

		lastFetchAt.set(instance, now());
		const fetched = await peers.fetchDocument({instance});
		if (fetched.isOk() && fetched.value !== '') {
			state.receivePeerDocument(fetched.value, now());
		}
	};

	const fetchIfNewer = async ({instance, version}: {readonly instance: InstanceId; readonly version: DocumentVersion}): Promise<void> => {
		if (version > state.version()) {
			await fetchFrom(instance);
		}
	};

	const recordAnswer = async ({startedAt, answer}: {readonly startedAt: number; readonly answer: PeerAnswer}): Promise<void> => {
		state.recordPeerAnswer({startedAt, answer, now: now()});
		await fetchIfNewer({instance: answer.instance, version: answer.documentVersion});
	};

	const query = async (instance: InstanceId): Promise<void> => {
		if (querying.has(instance)) {
			return;
		}

		querying.add(instance);
		const startedAt = now();
		const answered = await peers.query({instance});
		querying.delete(instance);
		if (answered.isOk()) {
			await recordAnswer({startedAt, answer: answered.value});
		}
	};

	return {
		recordAnswer,
		fetchIfNewer,

		async fetchFromAll(): Promise<void> {
			await Promise.all(peers.known().map(async ({instance}) => fetchFrom(instance)));
		},

		/** Queries the peers whose last answer is old: in an outage of the platform a confirmation needs an answer of every peer. */
		async queryAll({isWatching}: {readonly isWatching: boolean}): Promise<void> {
			const known = peers.known();
			if (known.length > maximumPeersForFullQuery && !isWatching) {
				return;
			}

			const isOld = (instance: InstanceId) => now() - (state.lastQueriedAt(instance) ?? Number.NEGATIVE_INFINITY) >= queryIntervalMilliseconds;
			await Promise.all(known.filter(({instance}) => isOld(instance)).map(async ({instance}) => query(instance)));
		},

		/** Pushes a new version to all peers; returns which instances have it in force. */
		async pushToAll(envelope: DocumentEnvelope): Promise<{readonly confirmed: readonly InstanceId[]; readonly unconfirmed: readonly InstanceId[]}> {
			const envelopeJson = JSON.stringify(envelope);
			const answers = await Promise.all(peers.known().map(async ({instance}) => {
				const pushed = await peers.pushDocument({instance, envelopeJson});
				return {instance, isConfirmed: pushed.isOk() && pushed.value >= envelope.version};
			}));
			const select = (wanted: boolean) => answers.filter(({isConfirmed}) => isConfirmed === wanted).map(({instance}) => instance).toSorted();
			return {confirmed: [state.answer(now()).instance, ...select(true)].toSorted(), unconfirmed: select(false)};
		},
	};
};
