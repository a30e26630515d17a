/** The job service of one instance. Serves callers at all times, and becomes the owner of the jobs when there is none. */
import {createAdmissionControl} from './admission-control.js';
import {createConfigurationSource} from './configuration-source.js';
import {chooseElectionDelay} from './election-delay.js';
import {createDispatchServer} from './dispatch-server.js';
import type {AdmissionLog} from './job-operations.js';
import {createJobOperations} from './job-operations.js';
import type {OwnerLog} from './owner-log.js';
import type {Owner} from './owner.js';
import {createOwner} from './owner.js';
import {acquireOwnership, createLeaseRenewal} from './ownership.js';
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

/** Delay after a failed attempt, and after ownership was lost. */
const electionRetryMilliseconds = 300;
/** Interval of the check whether this instance should ask for the ownership. */
const transferCheckMilliseconds = 1000;
/** Interval at which an instance offers itself to the owner as a dispatcher. */
const dispatcherRegistrationMilliseconds = 1000;
/** The configuration is confirmed every 0.8 s while the store can be reached. */
const reachableAgeMilliseconds = 1500;

/** Why an instance has not become the owner in an election. */
export enum ElectionOutcome {
	/** The election was skipped, since an earlier one is not over. */
	Pending = 'pending',
	/** There is no configuration yet. */
	Unconfigured = 'unconfigured',
	/** Another instance owns the jobs, or has become the owner meanwhile. */
	Taken = 'taken',
	/** The store did not answer, or rejected a call. */
	Unavailable = 'unavailable',
	/** The ownership was lost while the stored jobs were being read. */
	Interrupted = 'interrupted',
}

export type ServiceLog = OwnerLog & AdmissionLog & {
	ownershipGained(epoch: number): void;
	ownershipLost(epoch: number, reason: string): void;
	ownerChanged(owner: OwnerRecord | undefined): void;
	electionEnded(outcome: ElectionOutcome, message?: string): void;
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
	/** Time after which no task may start in a zone that the operator evacuates; undefined where zones are not evacuated. */
	readonly evacuationMilliseconds: number | undefined;
	/** How many times as long a task takes away from its preferred rack; 1 if unknown. */
	readonly farFactor?: number;
	/** Fleets of at most this many workers are called by the owner alone; 64 if omitted. */
	readonly largestDirectFleet?: number;
	readonly log: ServiceLog;
}) => {
	const {instance, zone, peers, maximumValueBytes, recordCodec, workerClient, adviceClient, machineClient, clock, random, cores, workerLeaseMilliseconds, evacuationMilliseconds, farFactor, log} = options;
	const {address} = peers;
	const {store, health} = monitorStore(options);
	let owner: NonNullable<Owner> | undefined;
	let knownOwner: OwnerRecord | undefined;
	let isAcquiring = false;
	let isStopping = false;
	let electionTimer: NodeJS.Timeout | undefined;
	/** Ends the ownership at once, so that another instance can take over; undefined if this instance was never the owner. */
	let handOverOwnership: ((reason: string) => void) | undefined;
	let ownedSince = 0;

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
			owner?.setConfiguration(next);
			scheduleElection(0);
		},
		onUnreadable: log.configurationUnreadable,
		onFailure(message) {
			log.storeCallFailed('configuration', message);
		},
	});

	/** Read anew after each pause of a function. */
	const hasStopped = (): boolean => isStopping;

	const tryAcquireOwnership = async (): Promise<void> => {
		const current = configuration.current();
		const isTaken = owner !== undefined || (knownOwner !== undefined && knownOwner.instance !== instance);
		if (isStopping || isTaken) {
			return;
		}

		if (isAcquiring || !current) {
			log.electionEnded(isAcquiring ? ElectionOutcome.Pending : ElectionOutcome.Unconfigured);
			return;
		}

		isAcquiring = true;
		const acquired = await acquireOwnership({
			store, instance, address, cores, clock,
		});
		if (acquired.type !== 'acquired') {
			isAcquiring = false;
			if (acquired.type === 'taken') {
				log.electionEnded(ElectionOutcome.Taken);
			} else {
				log.electionEnded(ElectionOutcome.Unavailable, acquired.message);
			}

			scheduleElection(electionRetryMilliseconds);
			return;
		}

		const {ownership} = acquired;
		if (hasStopped()) {
			// Otherwise no other instance could become the owner until the lease expires.
			void store.revokeLease({leaseId: ownership.leaseId});
			isAcquiring = false;
			return;
		}

		log.ownershipGained(ownership.epoch);
		ownedSince = clock.now();
		dispatchServer.observeEpoch(ownership.epoch);
		let isLost = false;
		const endOwnership = (reason: string, isHandover: boolean): void => {
			if (isLost) {
				return;
			}

			isLost = true;
			log.ownershipLost(ownership.epoch, reason);
			owner?.end(isHandover);
			owner = undefined;
			leaseRenewal.end();
			void store.revokeLease({leaseId: ownership.leaseId});
			// The next owner may be known already.
			if (knownOwner?.epoch === ownership.epoch) {
				knownOwner = undefined;
			}

			scheduleElection(electionRetryMilliseconds);
		};

		const onLost = (reason: string): void => {
			endOwnership(reason, false);
		};

		const leaseRenewal = createLeaseRenewal({
			store, clock, ownership, renewedAt: acquired.renewedAt, onLost,
		});
		handOverOwnership = reason => {
			endOwnership(reason, true);
		};

		const created = await createOwner({
			store, maximumValueBytes, recordCodec, ownership, leaseRenewal, workerClient, openDispatchChannel: peers.openDispatchChannel, adviceClient, machineClient, instance, clock,
			configuration: () => configuration.current() ?? current, ...(options.largestDirectFleet !== undefined && {largestDirectFleet: options.largestDirectFleet}),
			workerLeaseMilliseconds, evacuationMilliseconds, farFactor, getReachedTime: revisionTimes.getReachedTime, onLost, log,
		});
		isAcquiring = false;
		if (isLost) {
			created?.end();
			log.electionEnded(ElectionOutcome.Interrupted);
		} else if (created) {
			owner = created;
			owner.setConfiguration(configuration.current() ?? current);
		} else {
			onLost('the lease expired while the jobs were being read');
		}
	};

	const scheduleElection = (delay: number): void => {
		if (!isStopping) {
			clearTimeout(electionTimer);
			electionTimer = setTimeout(() => {
				void tryAcquireOwnership();
			}, delay + chooseElectionDelay({cores, random}));
		}
	};

	const updateKnownOwner = (next: OwnerRecord | undefined): void => {
		if (next?.epoch !== knownOwner?.epoch) {
			log.ownerChanged(next);
		}

		knownOwner = next;
		dispatchServer.observeEpoch(next?.epoch ?? 0);
		// An owner with this name that is not this process is an earlier incarnation of it.
		if (next === undefined || (next.instance === instance && !owner)) {
			scheduleElection(0);
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
		getLocalOwner: () => owner,
		getRemoteOwner: () => knownOwner?.instance === instance ? undefined : knownOwner,
		onFailure: log.peerCallFailed,
	});
	/** Gives the ownership to a larger instance. Ignored shortly after a takeover, and while the jobs are being read. */
	const yieldOwnership = (epoch: number): void => {
		if (owner?.epoch === epoch && clock.now() - ownedSince >= minimumTenureMilliseconds) {
			handOverOwnership?.('a larger instance takes over');
		}
	};

	peers.serve({getLocalOwner: () => owner, onTransferRequested: yieldOwnership, acceptDispatchChannel: dispatchServer.accept});

	const registrationTimer = setInterval(() => {
		if (!owner && !isStopping) {
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
		owner: () => owner,
		yieldOwnership,
		acceptDispatchChannel: dispatchServer.accept,
		/** Seconds after which a caller whose request is rejected now should retry. */
		retryAfterSeconds: () => chooseRetryAfterSeconds({outageMilliseconds: health.unavailableMilliseconds() ?? 0, random}),
		/** Gives up ownership at once, if this instance is the owner. Callers are served until the process ends. */
		handOver(): void {
			isStopping = true;
			clearTimeout(electionTimer);
			dispatchServer.leave();
			handOverOwnership?.('this instance is stopping');
		},
		close(): void {
			clearInterval(transferTimer);
			clearInterval(registrationTimer);
			dispatchServer.close();
			configuration.stop();
			ownerWatch.stop();
			peers.close();
		},
	};
};
