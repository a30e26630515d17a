/**
 * One entry instance: wires the decision core to its adapters and runs its
 * systems at their intervals on one event loop.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {createClaims} from '@turmericbay/claims';
import type {Claims} from '@turmericbay/claims';
import {createKeyAuthenticator} from '@turmericbay/document';
import type {KeyAuthenticator} from '@turmericbay/document';
import {createDocumentWatch} from '@turmericbay/document-watch';
import type {DocumentWatch, EntryInstance as Member} from '@turmericbay/document-watch';
import {createGateway} from '@turmericbay/gateway';
import type {Gateway} from '@turmericbay/gateway';
import type {GrantHolder} from '@turmericbay/grant-ledger';
import {createSession} from '@turmericbay/membership';
import type {WritableInstanceDirectory, Session} from '@turmericbay/membership';
import type {Knowledge} from '@turmericbay/peer-protocol';
import {formatNetworkAddress} from '@turmericbay/settings';
import type {Settings} from '@turmericbay/settings';
import {createDisabledTracing} from '@turmericbay/telemetry';
import type {Logger, Metrics, Tracing} from '@turmericbay/telemetry';
import type {Clock, ProcessIdentity, RandomSource} from '@turmericbay/types';
import {createClaimPeer} from './claims-service.js';
import {logDocumentEvent} from './document-events.js';
import {createDocumentPeers} from './document-peers.js';
import {createFleetParts} from './fleet-parts.js';
import type {FleetParts} from './fleet-parts.js';
import {createGatewayTelemetry} from './gateway-telemetry.js';
import {createGrantParts} from './grant-parts.js';
import type {InstanceListSource} from './instance-list-source.js';
import {describeKnowledge, toPeerAnswer, toPeerLoad} from './knowledge.js';
import {createMembershipParts} from './membership-parts.js';
import {createPeerExchange} from './peer-exchange.js';
import type {PeerExchange} from './peer-exchange.js';
import {createPeerService} from './peer-service.js';
import type {PlatformParts} from './platform-parts.js';
import {listOwnTeams} from './status-source.js';

export type EntryInstanceOptions = {
	readonly settings: Settings;
	readonly identity: ProcessIdentity;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly tracing: Tracing | undefined;
	readonly platform: PlatformParts;
};

export type EntryInstanceParts = {
	readonly documentWatch: DocumentWatch;
	readonly directory: WritableInstanceDirectory;
	readonly session: Session;
	readonly grants: GrantHolder;
	readonly claims: Claims;
	readonly gateway: Gateway;
	readonly exchange: PeerExchange;
	readonly listSource: InstanceListSource;
	readonly fleet: FleetParts;
	readonly peerService: ReturnType<typeof createPeerService>;
	describeKnowledge(): Knowledge;
	setDraining(): void;
};

/** Refuses every key while there is no document. */
const rejectEveryKey: KeyAuthenticator = () => undefined;

const createAuthentication = (documentWatch: DocumentWatch): KeyAuthenticator => {
	let authenticate = rejectEveryKey;
	documentWatch.subscribe(({document}) => {
		authenticate = createKeyAuthenticator(document);
	});
	return presentedKey => authenticate(presentedKey);
};

export const createEntryInstance = (options: EntryInstanceOptions): EntryInstanceParts => {
	const {
		settings, identity, clock, random, logger, platform,
	} = options;
	const {zone} = settings.instance;
	const self: Member = {instance: identity.instance, zone};
	let draining = false;

	const {
		directory, incarnations, listSource, listLiveEntries, watchers,
	} = createMembershipParts({
		self, identity, members: settings.peers.members, list: platform.list, clock, logger,
	});

	// The parts below refer to each other through this function, which is first called after all exist.
	const describe = (): Knowledge => describeKnowledge({
		identity,
		zone,
		document: documentWatch.answerPeer(),
		gateway: gateway.status(),
		fleetRevision: fleet.routing.appliedRevision(),
		listAgeMilliseconds: directory.ageMilliseconds(),
		listDigest: listSource.digest(),
		draining,
	});

	const exchange = createPeerExchange({
		zone,
		members: settings.peers.members.map(member => ({...member, address: formatNetworkAddress(member.address)})),
		secret: settings.peers.secret,
		clock,
		random,
		logger,
		describeKnowledge: describe,
		watchers,
		wantedListAgeMilliseconds: () => listSource.wantedAgeMilliseconds(),
		onAnswer({row, response, askedAtMilliseconds}) {
			const {knowledge} = response;
			if (knowledge === undefined) {
				return;
			}

			incarnations.note({instance: row.member.instance, incarnation: knowledge.incarnation});
			listSource.receive({response, askedAtMilliseconds});
			void documentWatch.recordPeerAnswer({startedAt: askedAtMilliseconds, answer: toPeerAnswer(knowledge)});
		},
	});

	const documentWatch = createDocumentWatch({
		self,
		store: platform.store,
		peers: createDocumentPeers({exchange: () => exchange, describeKnowledge: describe}),
		live: listLiveEntries,
		clock,
		random,
		wait: async milliseconds => sleep(milliseconds),
		report(event) {
			logDocumentEvent(logger, event);
		},
	});

	const shared = {
		store: platform.store, clock, random, identity, zone, directory,
	};
	const grants = createGrantParts({...shared, documentWatch, exchange});
	const session = createSession({store: platform.store, clock, identity});
	const claims = createClaims({...shared, session, peer: createClaimPeer({exchange: () => exchange, identity, tracing: options.tracing ?? createDisabledTracing()})});
	const fleet = createFleetParts({
		region: settings.instance.region,
		identity,
		store: platform.store,
		control: platform.control,
		directory,
		configuration: documentWatch,
		clock,
		logger,
		exchange: () => exchange,
		gateway: () => gateway,
	});
	const gateway: Gateway = createGateway({
		configuration: documentWatch,
		grants,
		claims,
		instances: fleet.routing,
		clock,
		random,
		zone,
		settings: {
			maximumHeaderBytes: settings.requests.headerLimitBytes,
			maximumBodyBytes: settings.requests.bodyLimitBytes,
			requestTimeoutMilliseconds: settings.requests.slowSenderTimeoutMilliseconds,
			headersTimeoutMilliseconds: settings.requests.slowSenderTimeoutMilliseconds,
			drainTimeoutMilliseconds: settings.shutdown.boundSeconds * 1000,
		},
		telemetry: createGatewayTelemetry(options),
		issueTicket: () => claims.issueTicket(),
		authenticate: createAuthentication(documentWatch),
	});

	const peerService = createPeerService({
		documentWatch,
		grants,
		claims,
		listSource,
		describeKnowledge: describe,
		listTeams: () => listOwnTeams({gateway, grants}),
		onKnowledge({instance, documentVersion}) {
			void documentWatch.receivePeerVersion({instance, version: Number(documentVersion)});
		},
	});

	return {
		documentWatch,
		directory,
		session,
		grants,
		claims,
		gateway,
		exchange,
		listSource,
		fleet,
		peerService,
		describeKnowledge: describe,
		setDraining() {
			draining = true;
		},
	};
};

/** Load reports of the peers that answered lately. */
export const listPeerLoads = (exchange: PeerExchange) => exchange.rows()
	.filter(row => row.reachable)
	.flatMap(({knowledge}) => knowledge === undefined ? [] : [toPeerLoad(knowledge)]);
