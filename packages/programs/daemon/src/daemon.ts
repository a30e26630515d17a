/** Life cycle of the daemon: listeners, systems, readiness and graceful shutdown. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createPeerServer} from '@turmericbay/peer-protocol';
import type {OperatorServiceImplementation} from '@turmericbay/peer-protocol';
import {StoreCallKind} from '@turmericbay/platform-client';
import type {Settings} from '@turmericbay/settings';
import {LogEvent} from '@turmericbay/telemetry';
import {createEntryInstance} from './entry-instance.js';
import type {EntryInstanceOptions, EntryInstanceParts} from './entry-instance.js';
import {createOperationsServer} from './operations-server.js';
import type {Readiness} from './operations-server.js';
import {runSystems, waitUntil} from './systems.js';

export type DaemonPorts = {
	readonly callers: number;
	readonly operations: number;
	readonly peers: number;
};

export type Daemon = {
	/** Opens the listeners and starts the systems; rejects if a listener cannot be opened. */
	start(): Promise<DaemonPorts>;
	/** Graceful shutdown; ends when everything is handed back or the bound is reached. */
	stop(): Promise<void>;
};

/** Time that a planned stop takes at most to give back grants and claims. */
const handBackBoundMilliseconds = 5000;

/**
 * An instance that starts during an outage may get no confirmation; after this
 * time it becomes ready all the same, since open queues go on.
 */
const firstConfirmationBoundMilliseconds = 5000;

const describeReadiness = (parts: EntryInstanceParts, options: {readonly isStopping: boolean; readonly runningMilliseconds: number}): Readiness => {
	if (options.isStopping) {
		return {type: 'not-ready', reason: 'shutting down'};
	}

	if (parts.documentWatch.current() === undefined) {
		return {type: 'not-ready', reason: 'no document'};
	}

	if (parts.documentWatch.confirmationAgeMilliseconds() === undefined && options.runningMilliseconds < firstConfirmationBoundMilliseconds) {
		return {type: 'not-ready', reason: 'the document is not confirmed yet'};
	}

	if (!parts.fleet.ledger.isReady()) {
		return {type: 'not-ready', reason: 'the fleet ledger is not known yet'};
	}

	return parts.directory.ageMilliseconds() === undefined
		? {type: 'not-ready', reason: 'no instance list'}
		: {type: 'ready'};
};

export const createDaemon = (options: EntryInstanceOptions & {
	readonly createOperatorService: (parts: EntryInstanceParts, settings: Settings) => OperatorServiceImplementation;
}): Daemon => {
	const {settings, logger, metrics} = options;
	const parts = createEntryInstance(options);
	let isStopping = false;
	let isReadyLogged = false;
	const createdAt = options.clock.monotonicMilliseconds();
	const readiness = () => describeReadiness(parts, {isStopping, runningMilliseconds: options.clock.monotonicMilliseconds() - createdAt});

	const onRejected = () => {
		logger.log(LogEvent.PeerRejected);
	};

	const operations = createOperationsServer({
		token: settings.operations.token,
		operatorService: options.createOperatorService(parts, settings),
		readiness,
		renderMetrics() {
			recordGauges(options, parts);
			return metrics.renderPrometheusText();
		},
		onRejected,
	});
	const peers = createPeerServer({implementation: parts.peerService, secret: settings.peers.secret, onRejected});
	let systems: ReturnType<typeof runSystems> | undefined;

	const logReadyOnce = () => {
		if (!isReadyLogged && readiness().type === 'ready') {
			isReadyLogged = true;
			logger.log(LogEvent.DaemonReady, {version: parts.documentWatch.current()?.version});
		}
	};

	const handBack = async () => {
		parts.grants.startDraining();
		const isHandedBack = await waitUntil({
			condition: () => parts.grants.isDrained() && parts.claims.isDrained(),
			boundMilliseconds: handBackBoundMilliseconds,
		});
		if (!isHandedBack) {
			logger.log(LogEvent.ShutdownBoundExceeded, {part: 'grants and claims'});
		}

		await parts.session.stop();
	};

	return {
		async start() {
			// The peer address comes first: that it is free proves that the predecessor has ended.
			const peerPort = await peers.listen(settings.peers.listen);
			const operationsPort = await operations.listen(settings.operations.listen);
			const {port: callerPort} = await parts.gateway.listen(settings.callers.listen);
			logger.log(LogEvent.DaemonStarted, {callers: callerPort, operations: operationsPort, peers: peerPort});
			systems = runSystems({parts, logger});
			parts.documentWatch.subscribe(logReadyOnce);
			parts.directory.subscribe(logReadyOnce);
			await parts.documentWatch.start();
			return {callers: callerPort, operations: operationsPort, peers: peerPort};
		},
		async stop() {
			if (isStopping) {
				return;
			}

			isStopping = true;
			parts.setDraining();
			logger.log(LogEvent.DaemonStopping);
			// Kept-alive connections end with their next answer during the lag, so that none is open when listening stops.
			parts.gateway.beginDrain();
			await sleep(settings.shutdown.balancerLagSeconds * 1000);
			parts.claims.startDraining();
			await parts.gateway.close();
			await handBack();
			systems?.stop();
			parts.documentWatch.stop();
			parts.exchange.close();
			await Promise.all([peers.close(), operations.close(), options.platform.close(), options.tracing?.shutdown()]);
			logger.log(LogEvent.DaemonStopped);
		},
	};
};

const recordClaims = ({metrics}: EntryInstanceOptions, {claims}: EntryInstanceParts): void => {
	const {owned, serving, claims: held, memoryMode, pendingSettlements} = claims.status();
	metrics.setGauge('turmericbay_claim_partitions_owned', owned.length);
	metrics.setGauge('turmericbay_claim_partitions_serving', serving.length);
	metrics.setGauge('turmericbay_claims', held);
	metrics.setGauge('turmericbay_claims_in_memory_mode', memoryMode ? 1 : 0);
	metrics.setGauge('turmericbay_claim_settlements_pending', pendingSettlements);
};

const recordGauges = (options: EntryInstanceOptions, parts: EntryInstanceParts): void => {
	const {metrics, platform} = options;
	const {gateway, documentWatch} = parts;
	recordClaims(options, parts);
	for (const {pool, queued, inFlight} of gateway.status().pools) {
		metrics.setGauge('turmericbay_queued', queued, {pool});
		metrics.setGauge('turmericbay_in_flight', inFlight, {pool});
	}

	metrics.setGauge('turmericbay_document_version', documentWatch.status().version);
	for (const kind of Object.values(StoreCallKind)) {
		metrics.setGauge('turmericbay_store_calls_per_second', platform.store.measureCallsPerSecond(kind), {kind});
	}
};
