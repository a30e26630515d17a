/**
 * Leader election of one instance. It depends on no single event: an instance that has a configuration and knows no other
 * owner tries until it is the owner, whatever ended its last attempt and whatever it has missed meanwhile.
 */
import {chooseElectionDelay} from './election-delay.js';
import type {Owner} from './owner.js';
import type {AcquireOutcome, LeaseRenewal, Ownership} from './ownership.js';
import {acquireOwnership, createLeaseRenewal} from './ownership.js';
import type {Clock, Configuration, JobStore} from './ports.js';

/** Delay after a failed attempt, and after ownership was lost. */
const retryMilliseconds = 300;
/** Interval of the check that an instance which should try does so. */
const checkIntervalMilliseconds = 1000;
/** Time without an owner after which this is logged, and the interval of further log lines. */
const missingOwnerMilliseconds = 5000;

/** What an instance that knows no owner waits for. */
export enum ElectionStep {
	/** There is no configuration yet. */
	Configuration = 'configuration',
	/** The delay before the next attempt. */
	Delay = 'delay',
	/** The store's answers to an attempt. */
	Store = 'store',
	/** The stored jobs, which this instance reads as the owner. */
	StoredJobs = 'stored jobs',
}

export type ElectionLog = {
	ownershipGained(epoch: number): void;
	ownershipLost(epoch: number, reason: string): void;
	/** An attempt to become the owner has failed. */
	electionFailed(outcome: Exclude<AcquireOutcome, {readonly type: 'acquired'}>): void;
	/** No owner has been known for this time. */
	ownerMissing(milliseconds: number, waitsFor: ElectionStep): void;
};

export type CreateOwner = (options: {
	readonly ownership: Ownership;
	readonly leaseRenewal: LeaseRenewal;
	readonly configuration: () => Configuration;
	readonly onLost: (reason: string) => void;
}) => Promise<NonNullable<Owner> | undefined>;

export type Election = ReturnType<typeof createElection>;

export const createElection = (options: {
	readonly store: JobStore;
	readonly instance: string;
	readonly address: string;
	/** Processor cores that this process may use; may be a fraction. */
	readonly cores: number;
	readonly clock: Clock;
	readonly random: () => number;
	readonly configuration: () => Configuration | undefined;
	/** True while another instance is known to be the owner. */
	readonly isTaken: () => boolean;
	readonly createOwner: CreateOwner;
	readonly onGained: (epoch: number) => void;
	readonly onLost: (epoch: number) => void;
	readonly log: ElectionLog;
}) => {
	const {store, instance, address, cores, clock, random, configuration, isTaken, createOwner, onGained, onLost, log} = options;
	let owner: NonNullable<Owner> | undefined;
	let ownedSince = 0;
	/** What the attempt under way waits for; undefined if there is none. */
	let step: ElectionStep.Store | ElectionStep.StoredJobs | undefined;
	let timer: NodeJS.Timeout | undefined;
	/** Ends the ownership at once, so that another instance can take over; undefined if this instance was never the owner. */
	let endOwnership: ((reason: string, isHandover: boolean) => void) | undefined;
	let isStopped = false;
	let missingSince: number | undefined;
	let missingLoggedAt = Number.NEGATIVE_INFINITY;

	const shouldTry = (): boolean => !isStopped && !owner && step === undefined && !isTaken() && configuration() !== undefined;

	const schedule = (delay: number): void => {
		if (!isStopped) {
			clearTimeout(timer);
			timer = setTimeout(() => {
				timer = undefined;
				void tryAcquire();
			}, delay + chooseElectionDelay({cores, random}));
		}
	};

	const tryAcquire = async (): Promise<void> => {
		if (!shouldTry()) {
			return;
		}

		step = ElectionStep.Store;
		const outcome = await acquireOwnership({
			store, instance, address, cores, clock,
		});
		switch (outcome.type) {
			case 'taken':
			case 'unavailable': {
				step = undefined;
				log.electionFailed(outcome);
				schedule(retryMilliseconds);
				break;
			}

			case 'acquired': {
				await lead(outcome);
				break;
			}
		}
	};

	const lead = async ({ownership, renewedAt}: Extract<AcquireOutcome, {readonly type: 'acquired'}>): Promise<void> => {
		const {epoch, leaseId} = ownership;
		const current = configuration();
		if (isStopped || current === undefined) {
			// Otherwise no other instance could become the owner until the lease expires.
			void store.revokeLease({leaseId});
			step = undefined;
			return;
		}

		step = ElectionStep.StoredJobs;
		ownedSince = clock.now();
		log.ownershipGained(epoch);
		onGained(epoch);
		let isLost = false;
		// The next attempt need not wait until the reading of the jobs has ended.
		const end = (reason: string, isHandover: boolean): void => {
			if (isLost) {
				return;
			}

			isLost = true;
			log.ownershipLost(epoch, reason);
			owner?.end(isHandover);
			owner = undefined;
			step = undefined;
			leaseRenewal.end();
			void store.revokeLease({leaseId});
			onLost(epoch);
			schedule(retryMilliseconds);
		};

		const endUnexpectedly = (reason: string): void => {
			end(reason, false);
		};

		const leaseRenewal = createLeaseRenewal({
			store, clock, ownership, renewedAt, onLost: endUnexpectedly,
		});
		endOwnership = end;
		const created = await createOwner({
			ownership, leaseRenewal, configuration: () => configuration() ?? current, onLost: endUnexpectedly,
		});
		if (isLost) {
			created?.end();
		} else if (created) {
			step = undefined;
			owner = created;
			owner.setConfiguration(configuration() ?? current);
		} else {
			endUnexpectedly('the lease expired while the jobs were being read');
		}
	};

	const reportMissingOwner = (): void => {
		if (owner !== undefined || isTaken()) {
			missingSince = undefined;
			return;
		}

		const now = clock.now();
		missingSince ??= now;
		if (now - Math.max(missingSince, missingLoggedAt) >= missingOwnerMilliseconds) {
			missingLoggedAt = now;
			log.ownerMissing(now - missingSince, step ?? (configuration() === undefined ? ElectionStep.Configuration : ElectionStep.Delay));
		}
	};

	const checkTimer = setInterval(() => {
		reportMissingOwner();
		if (timer === undefined && shouldTry()) {
			schedule(0);
		}
	}, checkIntervalMilliseconds);

	return {
		owner: () => owner,
		/** When this instance last became the owner, on the monotonic clock in milliseconds. */
		ownedSince: () => ownedSince,
		/** Tries to become the owner after a short random delay, unless there is an owner then. */
		request(): void {
			schedule(0);
		},
		/** Gives up the ownership, so that another instance can take over. */
		handOver(reason: string): void {
			endOwnership?.(reason, true);
		},
		/** Gives up the ownership and never tries again. */
		stop(reason: string): void {
			isStopped = true;
			clearTimeout(timer);
			clearInterval(checkTimer);
			endOwnership?.(reason, true);
		},
		close(): void {
			clearInterval(checkTimer);
		},
	};
};
