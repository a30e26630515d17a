/**
 * Periodic exchange of state with the other entry instances. Each entry
 * instance sends its `Knowledge` message and receives that of the peer.
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

export type PeerState = {
	readonly member: Member;
	readonly client: PeerClient;
	reachable: boolean;
	/** State that the peer last reported; undefined before its first response. */
	knowledge: Knowledge | undefined;
	/** Monotonic time at which the request for that response was sent. */
	requestedAtMilliseconds: number | undefined;
	/** Monotonic time of the last request, whether or not it got a response. */
	lastRequestAtMilliseconds: number | undefined;
	isExchanging: boolean;
};

export type PeerExchange = {
	peers(): readonly PeerState[];
	findPeer(instance: InstanceId): PeerState | undefined;
	/** Calls every peer that is due; called by the daemon once per exchange interval. */
	exchange(): Promise<void>;
	close(): void;
};

export const exchangeIntervalMilliseconds = 500;
/** Shorter than two intervals, so that a peer that does not respond delays only its own exchange. */
const exchangeTimeoutMilliseconds = 900;
/** Watchers of the own zone are called every exchange interval instead: document confirmations and instance lists come from them. */
const ownZoneIntervalMilliseconds = 1000;
/**
 * Peers in other zones are a second source of document versions and loads.
 * Calling them as often as the own zone took half of an idle daemon's CPU time.
 */
const otherZoneIntervalMilliseconds = 2000;
/** Limits the calls per interval regardless of the number of entry instances. */
const maximumOtherZonePeersPerInterval = 2;
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

const getExchangeInterval = (peer: PeerState, zone: AvailabilityZone, watchers: ReadonlySet<InstanceId>): number => {
	if (peer.member.zone !== zone) {
		return otherZoneIntervalMilliseconds;
	}

	return watchers.has(peer.member.instance) ? exchangeIntervalMilliseconds : ownZoneIntervalMilliseconds;
};

/** Peers whose interval has elapsed; limits those in other zones to a random sample. */
const selectDuePeers = (options: {
	peers: readonly PeerState[];
	zone: AvailabilityZone;
	watchers: ReadonlySet<InstanceId>;
	random: RandomSource;
	now: number;
}): readonly PeerState[] => {
	const {peers, zone, watchers, random, now} = options;
	// Timers fire slightly early or late; without a tolerance a peer would be skipped for a whole interval.
	const isDue = (peer: PeerState) => now - (peer.lastRequestAtMilliseconds ?? Number.NEGATIVE_INFINITY) >= getExchangeInterval(peer, zone, watchers) - timerToleranceMilliseconds;
	const due = peers.filter(peer => !peer.isExchanging && isDue(peer));
	const others = due.filter(peer => peer.member.zone !== zone);
	while (others.length > maximumOtherZonePeersPerInterval) {
		others.splice(Math.floor(random() * others.length), 1);
	}

	return [...due.filter(peer => peer.member.zone === zone), ...others];
};

export const createPeerExchange = (options: {
	readonly zone: AvailabilityZone;
	readonly members: readonly Member[];
	readonly secret: string;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	/** State of this instance, created anew for each request. */
	readonly getKnowledge: () => Knowledge;
	/** Entry instances of the own zone that poll the platform every second. */
	readonly watchers: () => ReadonlySet<InstanceId>;
	/** Requests the peer's instance list only if it is newer than this age; undefined if no list is needed. */
	readonly getMaximumListAgeMilliseconds: () => number | undefined;
	readonly onResponse: (event: {readonly peer: PeerState; readonly response: ExchangeResponse; readonly requestedAtMilliseconds: number}) => void;
}): PeerExchange => {
	const {clock, logger} = options;
	const peers: PeerState[] = options.members.map(member => ({
		member,
		client: createPeerClient({
			baseUrl: `http://${member.address}`,
			secret: options.secret,
			defaultTimeoutMilliseconds: exchangeTimeoutMilliseconds,
		}),
		reachable: false,
		knowledge: undefined,
		requestedAtMilliseconds: undefined,
		lastRequestAtMilliseconds: undefined,
		isExchanging: false,
	}));

	const setReachable = (peer: PeerState, reachable: boolean) => {
		if (peer.reachable !== reachable) {
			peer.reachable = reachable;
			logger.log(reachable ? LogEvent.PeerReachable : LogEvent.PeerUnreachable, {peer: peer.member.instance, peerZone: peer.member.zone});
		}
	};

	const exchangeWithPeer = async (peer: PeerState) => {
		const requestedAtMilliseconds = clock.monotonicMilliseconds();
		const maximumListAgeMilliseconds = options.getMaximumListAgeMilliseconds();
		const request = create(ExchangeRequestSchema, {
			knowledge: options.getKnowledge(),
			wantsListNewerThanMs: maximumListAgeMilliseconds === undefined ? undefined : BigInt(Math.round(maximumListAgeMilliseconds)),
		});
		peer.isExchanging = true;
		peer.lastRequestAtMilliseconds = requestedAtMilliseconds;
		const result = await peer.client.call(async (service, callOptions) => service.exchange(request, callOptions));
		peer.isExchanging = false;
		result.match(
			response => {
				peer.knowledge = response.knowledge ?? create(KnowledgeSchema);
				peer.requestedAtMilliseconds = requestedAtMilliseconds;
				setReachable(peer, true);
				options.onResponse({peer, response, requestedAtMilliseconds});
			},
			error => {
				setReachable(peer, isReachableAfter(error));
			},
		);
	};

	return {
		peers: () => peers,
		findPeer: instance => peers.find(peer => peer.member.instance === instance),
		async exchange() {
			const due = selectDuePeers({
				peers, zone: options.zone, watchers: options.watchers(), random: options.random, now: clock.monotonicMilliseconds(),
			});
			await Promise.all(due.map(async peer => exchangeWithPeer(peer)));
		},
		close() {
			for (const peer of peers) {
				peer.client.close();
			}
		},
	};
};
