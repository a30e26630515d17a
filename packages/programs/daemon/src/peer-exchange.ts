/**
 * Regular exchange of knowledge with the other entry instances. One row per
 * member; a system run each tick starts the calls that are due.
 */
import {create} from '@bufbuild/protobuf';
import {
	createPeerClient, ExchangeRequestSchema, KnowledgeSchema,
} from '@turmericbay/peer-protocol';
import type {
	ExchangeResponse, Knowledge, PeerClient, PeerError,
} from '@turmericbay/peer-protocol';
import {LogEvent} from '@turmericbay/telemetry';
import type {Logger} from '@turmericbay/telemetry';
import type {
	AvailabilityZone, Clock, InstanceId, RandomSource,
} from '@turmericbay/types';

export type Member = {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	/** Host and port of the member's peer listener. */
	readonly address: string;
};

export type PeerRow = {
	readonly member: Member;
	readonly client: PeerClient;
	reachable: boolean;
	/** What the member last answered; undefined before its first answer. */
	knowledge: Knowledge | undefined;
	/** Monotonic time at which the question for that answer was sent. */
	askedAtMilliseconds: number | undefined;
	/** Monotonic time of the last question, answered or not. */
	lastAskedAtMilliseconds: number | undefined;
	isAsking: boolean;
};

export type PeerExchange = {
	rows(): readonly PeerRow[];
	findRow(instance: InstanceId): PeerRow | undefined;
	/** Asks every peer that is due; called by the daemon each exchange interval. */
	exchange(): Promise<void>;
	close(): void;
};

export const exchangeIntervalMilliseconds = 500;
/** Shorter than two intervals, so that a silent peer delays its own row only. */
const exchangeTimeoutMilliseconds = 900;
/** Watchers of the own zone are asked each interval, since confirmations and lists come from them. */
const ownZoneIntervalMilliseconds = 1000;
/**
 * Peers of other zones serve as a second way for documents and loads; asking
 * them as often as the own zone cost half of an idle daemon's processor time.
 */
const otherZoneIntervalMilliseconds = 2000;
/** Bounds the messages of a tick, however many entry instances there are. */
const otherZonePeersPerTick = 2;
const timerToleranceMilliseconds = 50;

const isReachableAfter = (error: PeerError): boolean => {
	switch (error.code) {
		case 'PEER_UNREACHABLE':
		case 'PEER_TIMEOUT':
		case 'PEER_REJECTED': {
			return false;
		}

		case 'PEER_FAILED': {
			return true;
		}
	}
};

const intervalOf = (row: PeerRow, zone: AvailabilityZone, watchers: ReadonlySet<InstanceId>): number => {
	if (row.member.zone !== zone) {
		return otherZoneIntervalMilliseconds;
	}

	return watchers.has(row.member.instance) ? exchangeIntervalMilliseconds : ownZoneIntervalMilliseconds;
};

/** Rows whose interval is over; of other zones at most a few, taken at random. */
const selectRows = (options: {
	rows: readonly PeerRow[];
	zone: AvailabilityZone;
	watchers: ReadonlySet<InstanceId>;
	random: RandomSource;
	now: number;
}): readonly PeerRow[] => {
	const {rows, zone, watchers, random, now} = options;
	// Timers fire a little early or late; a row must not miss its turn for that.
	const isDue = (row: PeerRow) => now - (row.lastAskedAtMilliseconds ?? Number.NEGATIVE_INFINITY) >= intervalOf(row, zone, watchers) - timerToleranceMilliseconds;
	const due = rows.filter(row => !row.isAsking && isDue(row));
	const others = due.filter(row => row.member.zone !== zone);
	while (others.length > otherZonePeersPerTick) {
		others.splice(Math.floor(random() * others.length), 1);
	}

	return [...due.filter(row => row.member.zone === zone), ...others];
};

export const createPeerExchange = (options: {
	readonly zone: AvailabilityZone;
	readonly members: readonly Member[];
	readonly secret: string;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	/** What this instance knows, built anew for each question. */
	readonly describeKnowledge: () => Knowledge;
	/** Entry instances of the own zone that read the platform each second. */
	readonly watchers: () => ReadonlySet<InstanceId>;
	/** Age above which this instance asks for the peer's instance list; undefined if it needs none. */
	readonly wantedListAgeMilliseconds: () => number | undefined;
	readonly onAnswer: (answer: {readonly row: PeerRow; readonly response: ExchangeResponse; readonly askedAtMilliseconds: number}) => void;
}): PeerExchange => {
	const {clock, logger} = options;
	const rows: PeerRow[] = options.members.map(member => ({
		member,
		client: createPeerClient({
			baseUrl: `http://${member.address}`,
			secret: options.secret,
			defaultTimeoutMilliseconds: exchangeTimeoutMilliseconds,
		}),
		reachable: false,
		knowledge: undefined,
		askedAtMilliseconds: undefined,
		lastAskedAtMilliseconds: undefined,
		isAsking: false,
	}));

	const setReachable = (row: PeerRow, reachable: boolean) => {
		if (row.reachable !== reachable) {
			row.reachable = reachable;
			logger.log(reachable ? LogEvent.PeerReachable : LogEvent.PeerUnreachable, {peer: row.member.instance, peerZone: row.member.zone});
		}
	};

	const askPeer = async (row: PeerRow) => {
		const askedAtMilliseconds = clock.monotonicMilliseconds();
		const wantedAge = options.wantedListAgeMilliseconds();
		const request = create(ExchangeRequestSchema, {
			knowledge: options.describeKnowledge(),
			wantsListNewerThanMs: wantedAge === undefined ? undefined : BigInt(Math.round(wantedAge)),
		});
		row.isAsking = true;
		row.lastAskedAtMilliseconds = askedAtMilliseconds;
		const answer = await row.client.call(async (service, callOptions) => service.exchange(request, callOptions));
		row.isAsking = false;
		answer.match(
			response => {
				row.knowledge = response.knowledge ?? create(KnowledgeSchema);
				row.askedAtMilliseconds = askedAtMilliseconds;
				setReachable(row, true);
				options.onAnswer({row, response, askedAtMilliseconds});
			},
			error => {
				setReachable(row, isReachableAfter(error));
			},
		);
	};

	return {
		rows: () => rows,
		findRow: instance => rows.find(row => row.member.instance === instance),
		async exchange() {
			const due = selectRows({
				rows, zone: options.zone, watchers: options.watchers(), random: options.random, now: clock.monotonicMilliseconds(),
			});
			await Promise.all(due.map(async row => askPeer(row)));
		},
		close() {
			for (const row of rows) {
				row.client.close();
			}
		},
	};
};
