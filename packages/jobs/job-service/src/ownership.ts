/**
 * One instance at a time owns the jobs: the holder of a leased key. It acts
 * only while a renewal that it sent itself is younger than the lease, and
 * after a gap in its clocks only once a renewal has been answered again.
 */
import type {KeyValueStore} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {Clock} from './ports.js';
import type {CommitRecord, OwnerRecord} from './records.js';
import {
	commitKey, ownerKey, parseCommit, parseOwner,
} from './records.js';

/** Lease of the owner's key; a crash of the owner stops new starts for about this time. */
export const ownerLeaseMilliseconds = 2000;
/** Four renewals may be lost before the owner pauses. A renewal does not wait for the answer of the one before it. */
const renewalIntervalMilliseconds = 330;
/** The owner stops earlier than its lease ends, by what a call under way may take to reach a worker. */
const safetyMarginMilliseconds = 300;
/** The wall clock and the steady clock may drift apart by this between two looks without a pause being suspected. */
const maximumClockGapMilliseconds = 150;

export type Ownership = {
	readonly epoch: number;
	readonly leaseId: string;
	/** Store revision of the commit key as this owner last wrote it. */
	readonly commitRevision: number;
};

export type AcquireOutcome
	= | {readonly type: 'acquired'; readonly ownership: Ownership; readonly renewedAt: number}
		| {readonly type: 'taken'}
		| {readonly type: 'unavailable'; readonly message: string};

/** Tries once to become the owner. */
export const acquireOwnership = async (options: {readonly store: KeyValueStore; readonly instance: string; readonly address: string; readonly clock: Clock}): Promise<AcquireOutcome> => {
	const {store, instance, address, clock} = options;
	const owner = await store.read({key: ownerKey});
	if (owner.isErr()) {
		return {type: 'unavailable', message: owner.error.message};
	}

	if (owner.value !== undefined) {
		const holder = parseOwner(owner.value);
		if (holder?.instance !== instance || holder.leaseId === undefined) {
			return {type: 'taken'};
		}

		// The former life of this process held the ownership. It is over, so its lease need not be waited out.
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
		instance, address, epoch, leaseId,
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
		// If it took effect after all, the key blocks others until the lease ends.
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
	let lastReading = {steady: clock.now(), wall: clock.wallNow()};
	let isEnded = false;
	let renewalSentAt = clock.now();

	const renew = async (): Promise<void> => {
		if (isEnded) {
			return;
		}

		const sentAt = clock.now();
		renewalSentAt = sentAt;
		const renewed = await store.renewLease({leaseId: ownership.leaseId});
		if (isEnded || renewed.isErr()) {
			return;
		}

		if (renewed.value.timeToLiveSeconds <= 0) {
			onLost('the lease has ended');
			return;
		}

		// The answer may have waited out a pause of this process.
		if (clock.now() - sentAt < ownerLeaseMilliseconds && !detectPause()) {
			renewedAt = Math.max(renewedAt, sentAt);
		}
	};

	const detectPause = (): boolean => {
		const reading = {steady: clock.now(), wall: clock.wallNow()};
		const gap = Math.abs((reading.wall - lastReading.wall) - (reading.steady - lastReading.steady));
		lastReading = reading;
		return gap > maximumClockGapMilliseconds;
	};

	return {
		/** Called often; renews in time and notices pauses of the process. */
		tick(): void {
			if (detectPause()) {
				renewedAt = Number.NEGATIVE_INFINITY;
				void renew();
				return;
			}

			if (clock.now() - renewalSentAt >= renewalIntervalMilliseconds) {
				void renew();
			}
		},
		/** True while nobody else can be the owner. */
		isValid(): boolean {
			return !isEnded && clock.now() < renewedAt + ownerLeaseMilliseconds - safetyMarginMilliseconds;
		},
		/** Steady time of the newest renewal that was answered. */
		renewedAt: () => renewedAt,
		end(): void {
			isEnded = true;
		},
	};
};
