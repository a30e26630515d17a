/** Keeps the state up to date with the other entry instances. */
import type {DocumentEnvelope} from '@turmericbay/document';
import type {Clock, DocumentVersion, InstanceId} from '@turmericbay/types';
import type {DocumentPeers, PeerAnswer} from './ports.js';
import type {DocumentState} from './state.js';

/** An answer younger than this is not asked for again. */
const queryIntervalMilliseconds = 1000;
/** Up to this many peers every instance asks all; above it the watchers do, and the others learn from them. */
const queryAllPeers = 12;
/** A document that cannot be read is not fetched again at once. */
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

	const notice = async ({instance, version}: {readonly instance: InstanceId; readonly version: DocumentVersion}): Promise<void> => {
		if (version > state.version()) {
			await fetchFrom(instance);
		}
	};

	const record = async ({startedAt, answer}: {readonly startedAt: number; readonly answer: PeerAnswer}): Promise<void> => {
		state.recordPeerAnswer({startedAt, answer, now: now()});
		await notice({instance: answer.instance, version: answer.documentVersion});
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
			await record({startedAt, answer: answered.value});
		}
	};

	return {
		record,
		notice,

		async fetchFromAll(): Promise<void> {
			await Promise.all(peers.known().map(async ({instance}) => fetchFrom(instance)));
		},

		/** Asks the peers whose last answer is old, so that an outage of the platform is noticed by all. */
		async queryAll({isWatching}: {readonly isWatching: boolean}): Promise<void> {
			const known = peers.known();
			if (known.length > queryAllPeers && !isWatching) {
				return;
			}

			const isOld = (instance: InstanceId) => now() - (state.answeredAt(instance) ?? Number.NEGATIVE_INFINITY) >= queryIntervalMilliseconds;
			await Promise.all(known.filter(({instance}) => isOld(instance)).map(async ({instance}) => query(instance)));
		},

		/** Hands a new version to all peers; tells which of them have it in force. */
		async push(envelope: DocumentEnvelope): Promise<{readonly confirmed: readonly InstanceId[]; readonly unconfirmed: readonly InstanceId[]}> {
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
