/** Life cycle of the daemon: listeners, periodic tasks, readiness and graceful shutdown. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createPeerServer} from '@turmericbay/peer-protocol';
import type {OperatorServiceImplementation} from '@turmericbay/peer-protocol';
import {StoreCallKind} from '@turmericbay/platform-client';
import type {Settings} from '@turmericbay/settings';
import {LogEvent} from '@turmericbay/telemetry';
import {createEntryInstance} from './entry-instance.js';
import type {EntryInstanceOptions, EntryInstanceComponents} from './entry-instance.js';
import {createOperationsServer} from './operations-server.js';
import type {Readiness} from './operations-server.js';
import {startPeriodicTasks, waitUntil} from './periodic-tasks.js';

export type DaemonPorts = {
	readonly callers: number;
	readonly operations: number;
	readonly peers: number;
};

export type Daemon = {
	/** Opens the listeners and starts the periodic tasks; rejects if a listener cannot be opened. */
	start(): Promise<DaemonPorts>;
	/** Graceful shutdown; resolves once all grants and claims are released or the timeout has passed. */
	stop(): Promise<void>;
};

/** Longest wait for the release of grants and claims during shutdown. */
const releaseTimeoutMilliseconds = 5000;

/**
 * An instance that starts during a platform outage may get no confirmation of
 * its document. It then becomes ready after this time, because it can still
 * serve open queues.
 */
const firstConfirmationTimeoutMilliseconds = 5000;

const describeReadiness = (components: EntryInstanceComponents, options: {readonly isStopping: boolean; readonly runningMilliseconds: number}): Readiness => {
	if (options.isStopping) {
		return {type: 'not-ready', reason: 'shutting down'};
	}

	if (components.documentWatch.current() === undefined) {
		return {type: 'not-ready', reason: 'no document'};
	}

	if (components.documentWatch.confirmationAgeMilliseconds() === undefined && options.runningMilliseconds < firstConfirmationTimeoutMilliseconds) {
		return {type: 'not-ready', reason: 'the document is not confirmed yet'};
	}

	if (!components.fleet.ledger.isReady()) {
		return {type: 'not-ready', reason: 'the fleet ledger is not known yet'};
	}

	return components.directory.ageMilliseconds() === undefined
		? {type: 'not-ready', reason: 'no instance list'}
		: {type: 'ready'};
};

export const createDaemon = (options: EntryInstanceOptions & {
	readonly createOperatorService: (components: EntryInstanceComponents, settings: Settings) => OperatorServiceImplementation;
}): Daemon => {
	const {settings, logger, metrics} = options;
	const components = createEntryInstance(options);
	let isStopping = false;
	let isReadyLogged = false;
	const createdAt = options.clock.monotonicMilliseconds();
	const readiness = () => describeReadiness(components, {isStopping, runningMilliseconds: options.clock.monotonicMilliseconds() - createdAt});

	const onRejected = () => {
		logger.log(LogEvent.PeerRejected);
	};

	const operations = createOperationsServer({
		token: settings.operations.token,
		operatorService: options.createOperatorService(components, settings),
		readiness,
		renderMetrics() {
			recordGauges(options, components);
			return metrics.renderPrometheusText();
		},
		onRejected,
	});
	const peers = createPeerServer({implementation: components.peerService, secret: settings.peers.secret, onRejected});
	let periodicTasks: ReturnType<typeof startPeriodicTasks> | undefined;

	const logReadyOnce = () => {
		if (!isReadyLogged && readiness().type === 'ready') {
			isReadyLogged = true;
			logger.log(LogEvent.DaemonReady, {version: components.documentWatch.current()?.version});
		}
	};

	const releaseGrantsAndClaims = async () => {
		components.grants.startDraining();
		const isReleased = await waitUntil({
			condition: () => components.grants.isDrained() && components.claims.isDrained(),
			timeoutMilliseconds: releaseTimeoutMilliseconds,
		});
		if (!isReleased) {
			logger.log(LogEvent.ShutdownBoundExceeded, {part: 'grants and claims'});
		}

		await components.session.stop();
	};

	return {
		async start() {
			// The peer listener is opened first: that its address is free proves that the previous daemon process has ended.
			const peerPort = await peers.listen(settings.peers.listen);
			const operationsPort = await operations.listen(settings.operations.listen);
			const {port: callerPort} = await components.gateway.listen(settings.callers.listen);
			logger.log(LogEvent.DaemonStarted, {callers: callerPort, operations: operationsPort, peers: peerPort});
			periodicTasks = startPeriodicTasks({components, logger});
			components.documentWatch.subscribe(logReadyOnce);
			components.directory.subscribe(logReadyOnce);
			await components.documentWatch.start();
			return {callers: callerPort, operations: operationsPort, peers: peerPort};
		},
		async stop() {
			if (isStopping) {
				return;
			}

			isStopping = true;
			components.setDraining();
			logger.log(LogEvent.DaemonStopping);
			// During the load balancer's lag, keep-alive connections are closed with their next response, so that none is open when the listener closes.
			components.gateway.beginDrain();
			await sleep(settings.shutdown.balancerLagSeconds * 1000);
			components.claims.startDraining();
			await components.gateway.close();
			await releaseGrantsAndClaims();
			periodicTasks?.stop();
			components.documentWatch.stop();
			components.exchange.close();
			await Promise.all([peers.close(), operations.close(), options.platform.close(), options.tracing?.shutdown()]);
			logger.log(LogEvent.DaemonStopped);
		},
	};
};

const recordClaimGauges = ({metrics}: EntryInstanceOptions, {claims}: EntryInstanceComponents): void => {
	const {owned, serving, claims: claimCount, memoryMode, pendingSettlements} = claims.status();
	metrics.setGauge('turmericbay_claim_partitions_owned', owned.length);
	metrics.setGauge('turmericbay_claim_partitions_serving', serving.length);
	metrics.setGauge('turmericbay_claims', claimCount);
	metrics.setGauge('turmericbay_claims_in_memory_mode', memoryMode ? 1 : 0);
	metrics.setGauge('turmericbay_claim_settlements_pending', pendingSettlements);
};

const recordGauges = (options: EntryInstanceOptions, components: EntryInstanceComponents): void => {
	const {metrics, platform} = options;
	const {gateway, documentWatch} = components;
	recordClaimGauges(options, components);
	for (const {pool, queued, inFlight} of gateway.status().pools) {
		metrics.setGauge('turmericbay_queued', queued, {pool});
		metrics.setGauge('turmericbay_in_flight', inFlight, {pool});
	}

	metrics.setGauge('turmericbay_document_version', documentWatch.status().version);
	for (const kind of Object.values(StoreCallKind)) {
		metrics.setGauge('turmericbay_store_calls_per_second', platform.store.measureCallsPerSecond(kind), {kind});
	}
};
