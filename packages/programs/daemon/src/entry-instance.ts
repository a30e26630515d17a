/**
 * Creates the components of an entry instance and connects them to each other,
 * to the platform and to the peers.
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
import {createFleetComponents} from './fleet-components.js';
import type {FleetComponents} from './fleet-components.js';
import {createGatewayTelemetry} from './gateway-telemetry.js';
import {createConnectedGrantHolder} from './connected-grant-holder.js';
import type {InstanceListSource} from './instance-list-source.js';
import {createKnowledge, toPeerAnswer, toPeerLoad} from './peer-messages.js';
import {createMembershipComponents} from './membership-components.js';
import {createPeerExchange} from './peer-exchange.js';
import type {PeerExchange} from './peer-exchange.js';
import {createPeerService} from './peer-service.js';
import type {PlatformClients} from './platform-clients.js';
import {listLocalTeams} from './status-source.js';

export type EntryInstanceOptions = {
	readonly settings: Settings;
	readonly identity: ProcessIdentity;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly tracing: Tracing | undefined;
	readonly platform: PlatformClients;
};

export type EntryInstanceComponents = {
	readonly documentWatch: DocumentWatch;
	readonly directory: WritableInstanceDirectory;
	readonly session: Session;
	readonly grants: GrantHolder;
	readonly claims: Claims;
	readonly gateway: Gateway;
	readonly exchange: PeerExchange;
	readonly listSource: InstanceListSource;
	readonly fleet: FleetComponents;
	readonly peerService: ReturnType<typeof createPeerService>;
	getKnowledge(): Knowledge;
	setDraining(): void;
};

/** Used until the first document is known. */
const rejectEveryKey: KeyAuthenticator = () => undefined;

const createAuthentication = (documentWatch: DocumentWatch): KeyAuthenticator => {
	let authenticate = rejectEveryKey;
	documentWatch.subscribe(({document}) => {
		authenticate = createKeyAuthenticator(document);
	});
	return presentedKey => authenticate(presentedKey);
};

export const createEntryInstance = (options: EntryInstanceOptions): EntryInstanceComponents => {
	const {
		settings, identity, clock, random, logger, platform,
	} = options;
	const {zone} = settings.instance;
	const self: Member = {instance: identity.instance, zone};
	let draining = false;

	const {
		directory, incarnations, listSource, listLiveEntryInstances, watchers,
	} = createMembershipComponents({
		self, identity, members: settings.peers.members, list: platform.list, clock, logger,
	});

	// Refers to components that are created below; it is first called after all of them exist.
	const getKnowledge = (): Knowledge => createKnowledge({
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
		getKnowledge,
		watchers,
		getMaximumListAgeMilliseconds: () => listSource.getMaximumListAgeMilliseconds(),
		onResponse({peer, response, requestedAtMilliseconds}) {
			const {knowledge} = response;
			if (knowledge === undefined) {
				return;
			}

			incarnations.record({instance: peer.member.instance, incarnation: knowledge.incarnation});
			listSource.receiveFromPeer({response, requestedAtMilliseconds});
			void documentWatch.recordPeerAnswer({startedAt: requestedAtMilliseconds, answer: toPeerAnswer(knowledge)});
		},
	});

	const documentWatch = createDocumentWatch({
		self,
		store: platform.store,
		peers: createDocumentPeers({exchange: () => exchange, getKnowledge}),
		live: listLiveEntryInstances,
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
	const grants = createConnectedGrantHolder({...shared, documentWatch, exchange});
	const session = createSession({store: platform.store, clock, identity});
	const claims = createClaims({...shared, session, peer: createClaimPeer({exchange: () => exchange, identity, tracing: options.tracing ?? createDisabledTracing()})});
	const fleet = createFleetComponents({
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
		getKnowledge,
		listTeams: () => listLocalTeams({gateway, grants}),
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
		getKnowledge,
		setDraining() {
			draining = true;
		},
	};
};

/** Loads of the reachable peers, as last reported. */
export const listPeerLoads = (exchange: PeerExchange) => exchange.peers()
	.filter(peer => peer.reachable)
	.flatMap(({knowledge}) => knowledge === undefined ? [] : [toPeerLoad(knowledge)]);
