/** The job service of one instance: takes ownership when it is free, and serves callers whether or not it owns. */
import type {KeyValueStore} from '@turmericbay/types';
import {chooseCampaignPause} from './campaign.js';
import {createConfigurationSource} from './configuration-source.js';
import {followPrefix} from './follow.js';
import {createJobOperations} from './intake.js';
import type {Owner} from './owner.js';
import {createOwner} from './owner.js';
import type {OwnerLog} from './owner-log.js';
import {acquireOwnership, createRenewal} from './ownership.js';
import type {PeerTransport} from './peers.js';
import type {
	AdviceClient, Clock, Configuration, MachineClient, PlatformRecordCodec, WorkerClient,
} from './ports.js';
import type {OwnerRecord} from './records.js';
import {ownerKey, parseOwner} from './records.js';
import {createRevisionTimes} from './revision-times.js';
import {chooseRetryAfter} from './retry-after.js';
import {observeStore} from './store-health.js';

/** Pause after a try that the store did not answer. */
const campaignRetryMilliseconds = 300;

export type ServiceLog = OwnerLog & {
	ownershipGained(epoch: number): void;
	ownershipLost(epoch: number, reason: string): void;
	ownerChanged(owner: OwnerRecord | undefined): void;
	configurationApplied(version: number): void;
	configurationUnreadable(key: string): void;
	peerCallFailed(address: string, message: string): void;
};

export type JobService = ReturnType<typeof createJobService>;

export const createJobService = (options: {
	readonly instance: string;
	readonly peers: PeerTransport;
	readonly store: KeyValueStore;
	readonly recordCodec: PlatformRecordCodec;
	readonly workerClient: WorkerClient;
	readonly adviceClient: AdviceClient | undefined;
	readonly machineClient: MachineClient | undefined;
	readonly clock: Clock;
	readonly random: () => number;
	/** Cores that this process may use. */
	readonly cores: number;
	readonly workerLeaseMilliseconds: number;
	readonly log: ServiceLog;
}) => {
	const {instance, peers, recordCodec, workerClient, adviceClient, machineClient, clock, random, cores, workerLeaseMilliseconds, log} = options;
	const {address} = peers;
	const {store, health} = observeStore(options);
	let owner: NonNullable<Owner> | undefined;
	let seenOwner: OwnerRecord | undefined;
	let isCampaigning = false;
	let isStopping = false;
	let campaignTimer: NodeJS.Timeout | undefined;
	let abandon: (() => void) | undefined;

	const revisions = createRevisionTimes();
	const configuration = createConfigurationSource({
		store, records: recordCodec, clock,
		onRevision(revision) {
			revisions.note(revision, clock.now());
		},
		onChange(next) {
			log.configurationApplied(next.version);
			owner?.setConfiguration(next);
			campaignSoon(0);
		},
		onUnreadable: log.configurationUnreadable,
		onTrouble(message) {
			log.storeCallFailed('configuration', message);
		},
	});

	const campaign = async (): Promise<void> => {
		const current = configuration.current();
		const isTaken = owner !== undefined || (seenOwner !== undefined && seenOwner.instance !== instance);
		if (isStopping || isCampaigning || isTaken || !current) {
			return;
		}

		isCampaigning = true;
		const acquired = await acquireOwnership({
			store, instance, address, clock,
		});
		if (acquired.type !== 'acquired') {
			isCampaigning = false;
			campaignSoon(campaignRetryMilliseconds);
			return;
		}

		const {tenure} = acquired;
		log.ownershipGained(tenure.epoch);
		let isLost = false;
		const giveUp = (reason: string, isHandover: boolean): void => {
			if (isLost) {
				return;
			}

			isLost = true;
			log.ownershipLost(tenure.epoch, reason);
			owner?.end(isHandover);
			owner = undefined;
			renewal.end();
			void store.revokeLease({leaseId: tenure.leaseId});
			seenOwner = undefined;
			campaignSoon(campaignRetryMilliseconds);
		};

		const onLost = (reason: string): void => {
			giveUp(reason, false);
		};

		const renewal = createRenewal({
			store, clock, tenure, confirmedAt: acquired.confirmedAt, onLost,
		});
		abandon = () => {
			giveUp('this instance is stopping', true);
		};

		const created = await createOwner({
			store, records: recordCodec, tenure, renewal, workerClient, advice: adviceClient, machines: machineClient, instance, clock,
			configuration: () => configuration.current() ?? current,
			leaseMilliseconds: workerLeaseMilliseconds, reachedBy: revisions.reachedBy, onLost, log,
		});
		isCampaigning = false;
		if (isLost) {
			created?.end();
		} else if (created) {
			owner = created;
			owner.setConfiguration(configuration.current() ?? current);
		} else {
			onLost('the lease ended while the jobs were read');
		}
	};

	const campaignSoon = (pause: number): void => {
		if (!isStopping) {
			clearTimeout(campaignTimer);
			campaignTimer = setTimeout(() => {
				void campaign();
			}, pause + chooseCampaignPause({cores, random}));
		}
	};

	const seeOwner = (next: OwnerRecord | undefined): void => {
		if (next?.epoch !== seenOwner?.epoch) {
			log.ownerChanged(next);
		}

		seenOwner = next;
		// An owner of this name that is not this process is its former life.
		if (next === undefined || (next.instance === instance && !owner)) {
			campaignSoon(0);
		}
	};

	const ownerFollow = followPrefix({
		store, prefix: ownerKey,
		onSnapshot(entries) {
			seeOwner(entries[0] && parseOwner(entries[0]));
		},
		onChange(entries) {
			seeOwner(entries.at(-1) && parseOwner(entries.at(-1)!));
		},
		onDelete() {
			seeOwner(undefined);
		},
		onTrouble(error) {
			log.storeCallFailed('owner', error.message);
		},
	});

	const link = peers.createOwnerClient({
		getLocalOwner: () => owner,
		getRemoteOwner: () => seenOwner?.instance === instance ? undefined : seenOwner,
		onFailure: log.peerCallFailed,
	});
	peers.serve(() => owner);

	return {
		jobs: createJobOperations({
			store, health, link, clock, onUnreadable: log.configurationUnreadable,
		}),
		configuration: (): Configuration | undefined => configuration.current(),
		/** Milliseconds since the configuration was certainly the newest. */
		configurationAge: () => configuration.age(),
		owner: () => owner,
		/** Seconds after which a caller that is refused now should come back. */
		retryAfterSeconds: () => chooseRetryAfter({downMilliseconds: health.downFor() ?? 0, random}),
		/** Hands the ownership over at once; callers are served until the process ends. */
		handOver(): void {
			isStopping = true;
			clearTimeout(campaignTimer);
			abandon?.();
		},
		close(): void {
			configuration.stop();
			ownerFollow.stop();
			peers.close();
		},
	};
};
