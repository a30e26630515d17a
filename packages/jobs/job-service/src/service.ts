/** The job service of one instance. Serves callers at all times, and becomes the owner of the jobs when there is none. */
import {createAdmissionControl} from './admission-control.js';
import {createConfigurationSource} from './configuration-source.js';
import {createDispatchServer} from './dispatch-server.js';
import type {ElectionLog} from './election.js';
import {createElection} from './election.js';
import type {AdmissionLog} from './job-operations.js';
import {createJobOperations} from './job-operations.js';
import type {OwnerLog} from './owner-log.js';
import {createOwner} from './owner.js';
import type {PeerTransport} from './peer-transport.js';
import type {
	AdviceClient, Clock, Configuration, JobStore, MachineClient, PlatformRecordCodec, WorkerClient,
} from './ports.js';
import {createTransferRequester, minimumTenureMilliseconds} from './ownership-transfer.js';
import type {OwnerRecord} from './records.js';
import {ownerKey, parseOwner} from './records.js';
import {chooseRetryAfterSeconds} from './retry-after.js';
import {createRevisionTimes} from './revision-times.js';
import {monitorStore} from './store-health.js';
import {watchPrefix} from './watch-prefix.js';

/** Interval of the check whether this instance should ask for the ownership. */
const transferCheckMilliseconds = 1000;
/** Interval at which an instance offers itself to the owner as a dispatcher. */
const dispatcherRegistrationMilliseconds = 1000;
/** The configuration is confirmed every 0.8 s while the store can be reached. */
const reachableAgeMilliseconds = 1500;

export type ServiceLog = OwnerLog & AdmissionLog & ElectionLog & {
	ownerChanged(owner: OwnerRecord | undefined): void;
	configurationApplied(version: number): void;
	configurationUnreadable(key: string): void;
	peerCallFailed(address: string, message: string): void;
	/** This instance does not call workers for an owner any more. */
	dispatchEnded(reason: string): void;
};

export type JobService = ReturnType<typeof createJobService>;

export const createJobService = (options: {
	readonly instance: string;
	/** Zone in which this instance runs; it calls workers of that zone for the owner. */
	readonly zone: string;
	readonly peers: PeerTransport;
	readonly store: JobStore;
	/** Largest value that the store takes. */
	readonly maximumValueBytes: number;
	readonly recordCodec: PlatformRecordCodec;
	readonly workerClient: WorkerClient;
	readonly adviceClient: AdviceClient | undefined;
	readonly machineClient: MachineClient | undefined;
	readonly clock: Clock;
	readonly random: () => number;
	/** Processor cores that this process may use; may be a fraction. */
	readonly cores: number;
	readonly workerLeaseMilliseconds: number;
	/** Longest lease that workers take. */
	readonly maximumLeaseMilliseconds: number;
	/** Time after which no task may start in a zone that the operator evacuates; undefined where zones are not evacuated. */
	readonly evacuationMilliseconds: number | undefined;
	/** How many times as long a task takes away from its preferred rack; 1 if unknown. */
	readonly farFactor?: number;
	/** Fleets of at most this many workers are called by the owner alone; 64 if omitted. */
	readonly largestDirectFleet?: number;
	readonly log: ServiceLog;
}) => {
	const {instance, zone, peers, maximumValueBytes, recordCodec, workerClient, adviceClient, machineClient, clock, random, cores, workerLeaseMilliseconds, maximumLeaseMilliseconds, evacuationMilliseconds, farFactor, log} = options;
	const {address} = peers;
	const {store, health} = monitorStore(options);
	let knownOwner: OwnerRecord | undefined;
	let isStopping = false;

	const dispatchServer = createDispatchServer({workerClient, clock, onConnectionClosed: log.dispatchEnded});
	const startedAt = clock.wallNow();
	const revisionTimes = createRevisionTimes();
	const configuration = createConfigurationSource({
		store, recordCodec, clock,
		onRevision(revision) {
			revisionTimes.record(revision, clock.now());
		},
		onChange(next) {
			log.configurationApplied(next.version);
			election.owner()?.setConfiguration(next);
			election.request();
		},
		onUnreadable: log.configurationUnreadable,
		onFailure(message) {
			log.storeCallFailed('configuration', message);
		},
	});

	const election = createElection({
		store, instance, address, cores, clock, random, log,
		configuration: () => configuration.current(),
		isTaken: () => knownOwner !== undefined && knownOwner.instance !== instance,
		createOwner: async period => createOwner({
			...period, store, maximumValueBytes, recordCodec, workerClient, openDispatchChannel: peers.openDispatchChannel, adviceClient, machineClient, instance, clock,
			...(options.largestDirectFleet !== undefined && {largestDirectFleet: options.largestDirectFleet}),
			workerLeaseMilliseconds, maximumLeaseMilliseconds, evacuationMilliseconds, farFactor, getReachedTime: revisionTimes.getReachedTime, log,
		}),
		onGained: dispatchServer.observeEpoch,
		onLost(epoch) {
			// The next owner may be known already.
			if (knownOwner?.epoch === epoch) {
				knownOwner = undefined;
			}
		},
	});

	const updateKnownOwner = (next: OwnerRecord | undefined): void => {
		if (next?.epoch !== knownOwner?.epoch) {
			log.ownerChanged(next);
		}

		knownOwner = next;
		dispatchServer.observeEpoch(next?.epoch ?? 0);
		// An owner with this name that is not this process is an earlier incarnation of it.
		if (next === undefined || (next.instance === instance && !election.owner())) {
			election.request();
		}
	};

	const ownerWatch = watchPrefix({
		store, prefix: ownerKey,
		onSnapshot(entries) {
			updateKnownOwner(entries[0] && parseOwner(entries[0]));
		},
		onChange(entries) {
			updateKnownOwner(entries.at(-1) && parseOwner(entries.at(-1)!));
		},
		onDelete() {
			updateKnownOwner(undefined);
		},
		onFailure(error) {
			log.storeCallFailed('owner', error.message);
		},
	});

	const ownerClient = peers.createOwnerClient({
		clock,
		getLocalOwner: election.owner,
		getRemoteOwner: () => knownOwner?.instance === instance ? undefined : knownOwner,
		onFailure: log.peerCallFailed,
	});
	/** Gives the ownership to a larger instance. Ignored shortly after a takeover, and while the jobs are being read. */
	const yieldOwnership = (epoch: number): void => {
		if (election.owner()?.epoch === epoch && clock.now() - election.ownedSince() >= minimumTenureMilliseconds) {
			election.handOver('a larger instance takes over');
		}
	};

	peers.serve({getLocalOwner: election.owner, onTransferRequested: yieldOwnership, acceptDispatchChannel: dispatchServer.accept});

	const registrationTimer = setInterval(() => {
		if (!election.owner() && !isStopping) {
			ownerClient.registerDispatcher({
				name: instance, address, zone, cores, startedAt,
			});
		}
	}, dispatcherRegistrationMilliseconds);

	const transferRequester = createTransferRequester({cores, now: clock.now});
	const transferTimer = setInterval(() => {
		const isReachable = configuration.age() < reachableAgeMilliseconds;
		const remoteOwner = knownOwner?.instance === instance ? undefined : knownOwner;
		if (transferRequester.shouldRequest(remoteOwner, isReachable) && remoteOwner && !isStopping) {
			ownerClient.requestTransfer(remoteOwner.epoch);
		}
	}, transferCheckMilliseconds);

	return {
		jobs: createJobOperations({
			store, health, maximumValueBytes, ownerClient, clock, random, log, onUnreadable: log.configurationUnreadable,
			getReachedTime: revisionTimes.getReachedTime,
			admission: createAdmissionControl({
				clock, random, getFigures: ownerClient.getLoadFigures, getPolicy: queue => configuration.current()?.queues.get(queue),
			}),
		}),
		configuration: (): Configuration | undefined => configuration.current(),
		/** Milliseconds since the configuration was last confirmed as the newest. */
		configurationAge: () => configuration.age(),
		owner: election.owner,
		yieldOwnership,
		acceptDispatchChannel: dispatchServer.accept,
		/** Seconds after which a caller whose request is rejected now should retry. */
		retryAfterSeconds: () => chooseRetryAfterSeconds({outageMilliseconds: health.unavailableMilliseconds() ?? 0, random}),
		/** Gives up ownership at once, if this instance is the owner. Callers are served until the process ends. */
		handOver(): void {
			isStopping = true;
			dispatchServer.leave();
			election.stop('this instance is stopping');
		},
		close(): void {
			clearInterval(transferTimer);
			clearInterval(registrationTimer);
			election.close();
			dispatchServer.close();
			configuration.stop();
			ownerWatch.stop();
			peers.close();
		},
	};
};
