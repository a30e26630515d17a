/**
 * Leader election: one instance at a time owns the jobs, the one that holds the leased owner key.
 * It acts only while the newest renewal that the store acknowledged was sent less than a lease
 * ago. After a pause of the process it acts only once another renewal is acknowledged.
 */
import type {KeyValueStore} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {Clock} from './ports.js';
import type {CommitRecord, OwnerRecord} from './records.js';
import {
	commitKey, ownerKey, parseCommit, parseOwner,
} from './records.js';

/** Lease of the owner key. After a crash of the owner no task starts for about this time. */
export const ownerLeaseMilliseconds = 2000;
/** Four lost renewals are tolerated. A renewal is sent even if the previous one has no response yet. */
const renewalIntervalMilliseconds = 330;
/** The owner stops this long before its lease expires, since a request in flight may reach a worker later. */
const safetyMarginMilliseconds = 300;
/** A larger difference between the progress of the wall clock and of the monotonic clock means that the process was suspended. */
export const maximumClockGapMilliseconds = 150;

/** One period of ownership by one instance. */
export type Ownership = {
	/** Grows with every owner; workers and the machine service receive it as the fencing token. */
	readonly epoch: number;
	readonly leaseId: string;
	/** Store revision at which the owner wrote the commit key when it took over. */
	readonly commitRevision: number;
};

export type AcquireOutcome
	= | {readonly type: 'acquired'; readonly ownership: Ownership; readonly renewedAt: number}
		| {readonly type: 'taken'}
		| {readonly type: 'unavailable'; readonly message: string};

/** Makes one attempt to become the owner. */
export const acquireOwnership = async (options: {readonly store: KeyValueStore; readonly instance: string; readonly address: string; readonly cores: number; readonly clock: Clock}): Promise<AcquireOutcome> => {
	const {store, instance, address, cores, clock} = options;
	const owner = await store.read({key: ownerKey});
	if (owner.isErr()) {
		return {type: 'unavailable', message: owner.error.message};
	}

	if (owner.value !== undefined) {
		const holder = parseOwner(owner.value);
		if (holder?.instance !== instance || holder.leaseId === undefined) {
			return {type: 'taken'};
		}

		// An earlier incarnation of this instance was the owner. It has ended, so its lease is revoked instead of waited for.
		await store.revokeLease({leaseId: holder.leaseId});
	}

	const commit = await store.read({key: commitKey});
	if (commit.isErr()) {
		return {type: 'unavailable', message: commit.error.message};
	}

	const previous: CommitRecord = (commit.value && parseCommit(commit.value)) ?? {epoch: 0, sequence: 0};
	const renewedAt = clock.now();
	const lease = await store.grantLease({timeToLiveSeconds: ownerLeaseMilliseconds / 1000});
	if (lease.isErr()) {
		return {type: 'unavailable', message: lease.error.message};
	}

	const epoch = previous.epoch + 1;
	const {leaseId} = lease.value;
	const record: OwnerRecord = {
		instance, address, epoch, leaseId, cores,
	};
	const taken = await store.transact({
		conditions: [{key: ownerKey, modifiedRevision: 0}, {key: commitKey, modifiedRevision: commit.value?.modifiedRevision ?? 0}],
		operations: [
			{
				type: 'put', key: ownerKey, value: JSON.stringify(record), leaseId,
			},
			{type: 'put', key: commitKey, value: JSON.stringify({epoch, sequence: 0} satisfies CommitRecord)},
		],
	});
	if (taken.isOk() && taken.value.type === 'committed') {
		return {type: 'acquired', ownership: {epoch, leaseId, commitRevision: taken.value.revision}, renewedAt};
	}

	if (taken.isErr() && taken.error.kind === StoreErrorKind.Unknown) {
		// If the transaction was applied, the owner key would block other instances until the lease expires.
		void store.revokeLease({leaseId});
		return {type: 'unavailable', message: taken.error.message};
	}

	void store.revokeLease({leaseId});
	return {type: 'taken'};
};

export type LeaseRenewal = ReturnType<typeof createLeaseRenewal>;

export const createLeaseRenewal = (options: {
	readonly store: KeyValueStore;
	readonly clock: Clock;
	readonly ownership: Ownership;
	readonly renewedAt: number;
	readonly onLost: (reason: string) => void;
}) => {
	const {store, clock, ownership, onLost} = options;
	let {renewedAt} = options;
	let lastReading = {monotonic: clock.now(), wall: clock.wallNow()};
	let isEnded = false;
	let renewalSentAt = clock.now();
	/** Number of pauses of the process; a renewal that was sent before a pause does not count. */
	let pauses = 0;

	const renew = async (): Promise<void> => {
		if (isEnded) {
			return;
		}

		const sentAt = clock.now();
		renewalSentAt = sentAt;
		const pausesBefore = pauses;
		const renewed = await store.renewLease({leaseId: ownership.leaseId});
		if (isEnded || renewed.isErr()) {
			return;
		}

		if (renewed.value.timeToLiveSeconds <= 0) {
			onLost('the lease has expired');
			return;
		}

		// The process may have been suspended while the response was waiting to be read.
		if (!detectPause() && pauses === pausesBefore && clock.now() - sentAt < ownerLeaseMilliseconds) {
			renewedAt = Math.max(renewedAt, sentAt);
		}
	};

	/** After a pause of the process no earlier renewal counts: the monotonic clock does not count the time of a suspension. */
	const detectPause = (): boolean => {
		const reading = {monotonic: clock.now(), wall: clock.wallNow()};
		const gap = Math.abs((reading.wall - lastReading.wall) - (reading.monotonic - lastReading.monotonic));
		lastReading = reading;
		const isPaused = gap > maximumClockGapMilliseconds;
		if (isPaused) {
			renewedAt = Number.NEGATIVE_INFINITY;
			renewalSentAt = Number.NEGATIVE_INFINITY;
			pauses += 1;
		}

		return isPaused;
	};

	return {
		/** Called on every tick of the owner: renews when due and detects pauses of the process. */
		tick(): void {
			detectPause();
			if (clock.now() - renewalSentAt >= renewalIntervalMilliseconds) {
				void renew();
			}
		},
		/** True while no other instance can be the owner. */
		isValid(): boolean {
			return !isEnded && !detectPause() && clock.now() < renewedAt + ownerLeaseMilliseconds - safetyMarginMilliseconds;
		},
		/** Send time of the newest renewal that was acknowledged, on the monotonic clock; negative infinity after a pause of the process. */
		renewedAt(): number {
			detectPause();
			return renewedAt;
		},
		isEnded: () => isEnded,
		end(): void {
			isEnded = true;
		},
	};
};
