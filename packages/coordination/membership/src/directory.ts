/**
 * Instance directory, updated from copies of the platform's instance list that
 * this process or a peer has read.
 */
import {InstanceRole, unknownIncarnation} from '@turmericbay/types';
import type {
	Clock, InstanceDirectory, InstanceId, InstanceRecord, ProcessIdentity,
} from '@turmericbay/types';

/**
 * A process counts as gone only if a list that omits it was read this much later
 * than the last list that contained it: the ages of lists from peers are estimates.
 */
const absenceMarginMilliseconds = 2000;

/**
 * The same margin for a process that this directory has never seen in a list:
 * the copies that two readers get from the platform may lag by different times.
 */
const unseenAbsenceMarginMilliseconds = 60_000;

/** Lists closer together than this count as one read: several peers pass on copies of the same read. */
const minimumReadSpacingMilliseconds = 500;

/** A gone process is dropped after this time; `markPreviouslyListed` adds it again. */
const goneRetentionMilliseconds = 24 * 3_600_000;

const defaultReadsToConfirm = 5;

export enum OfferRefusal {
	/** The list is not newer than the newest one offered before. */
	Older = 'older',
	/** The list is empty although the current one is not. */
	Empty = 'empty',
	/** More than half of the current instances of a role are missing. */
	RoleHalved = 'role-halved',
}

export type OfferOutcome
	= | {readonly type: 'adopted'}
		| {readonly type: 'refused'; readonly refusal: OfferRefusal; readonly reason: string};

export type WritableInstanceDirectory = {
	/** Offers a list; `ageMilliseconds` counts from the start of the read on the platform and includes the time in transit. */
	offer(options: {readonly records: readonly InstanceRecord[]; readonly ageMilliseconds: number}): OfferOutcome;
	/**
	 * Records that the process was on the platform's list at some time before now,
	 * for instance because it wrote a record that only listed processes write.
	 */
	markPreviouslyListed(identity: ProcessIdentity): void;
} & InstanceDirectory;

type ProcessListing = {readonly instance: InstanceId; lastListedAt: number; marginMilliseconds: number; goneSince: number | undefined};

const identityKey = ({instance, incarnation}: ProcessIdentity): string => JSON.stringify([instance, incarnation]);

const countByRole = (records: readonly InstanceRecord[]): Map<InstanceRole, number> => {
	const counts = new Map<InstanceRole, number>();
	for (const {role} of records) {
		counts.set(role, (counts.get(role) ?? 0) + 1);
	}

	return counts;
};

/** Why the offered list is implausible as the successor of the current one; undefined if it is plausible. */
const findImplausibility = (current: readonly InstanceRecord[], offered: readonly InstanceRecord[]) => {
	if (current.length > 0 && offered.length === 0) {
		return {refusal: OfferRefusal.Empty, reason: `the list went from ${current.length} instances to none`};
	}

	const present = new Set(offered.map(record => record.instance));
	const currentCounts = countByRole(current);
	const remainingCounts = countByRole(current.filter(record => present.has(record.instance)));
	for (const role of Object.values(InstanceRole)) {
		const count = currentCounts.get(role) ?? 0;
		const remaining = remainingCounts.get(role) ?? 0;
		if (remaining * 2 < count) {
			return {refusal: OfferRefusal.RoleHalved, reason: `of ${count} instances with role ${role} the list contains ${remaining}`};
		}
	}

	return undefined;
};

/** Tracks when each process was last on a list and since when it has been gone. */
const createListingTracker = () => {
	const listings = new Map<string, ProcessListing>();
	const update = (records: readonly InstanceRecord[], readAt: number, now: number) => {
		const listedKeys = new Set<string>();
		const instancesWithUnknownIncarnation = new Set<InstanceId>();
		for (const record of records) {
			if (record.incarnation === unknownIncarnation) {
				instancesWithUnknownIncarnation.add(record.instance);
				continue;
			}

			const key = identityKey(record);
			listedKeys.add(key);
			listings.set(key, {
				instance: record.instance, lastListedAt: readAt, marginMilliseconds: absenceMarginMilliseconds, goneSince: undefined,
			});
		}

		for (const [key, listing] of listings) {
			if (listedKeys.has(key)) {
				continue;
			}

			// The listed instance may still run this process.
			if (instancesWithUnknownIncarnation.has(listing.instance) && listing.goneSince === undefined) {
				listing.lastListedAt = readAt;
				continue;
			}

			if (readAt - listing.lastListedAt >= listing.marginMilliseconds) {
				listing.goneSince ??= now;
			}

			if (listing.goneSince !== undefined && now - listing.goneSince > goneRetentionMilliseconds) {
				listings.delete(key);
			}
		}
	};

	const markPreviouslyListed = (identity: ProcessIdentity, now: number) => {
		const key = identityKey(identity);
		if (!listings.has(key)) {
			listings.set(key, {
				instance: identity.instance, lastListedAt: now, marginMilliseconds: unseenAbsenceMarginMilliseconds, goneSince: undefined,
			});
		}
	};

	return {
		update,
		markPreviouslyListed,
		isGone: (identity: ProcessIdentity) => listings.get(identityKey(identity))?.goneSince !== undefined,
	};
};

export const createInstanceDirectory = (options: {
	readonly clock: Clock;
	/** Number of consecutive implausible reads after which the list is accepted. */
	readonly readsToConfirm?: number;
}): WritableInstanceDirectory => {
	const {clock, readsToConfirm = defaultReadsToConfirm} = options;
	const listingTracker = createListingTracker();
	const listeners: Array<() => void> = [];
	let current: readonly InstanceRecord[] = [];
	let currentReadAt: number | undefined;
	let newestReadAt = Number.NEGATIVE_INFINITY;
	let implausibleReads = 0;
	let lastImplausibleAt = Number.NEGATIVE_INFINITY;

	const adopt = (records: readonly InstanceRecord[], readAt: number): OfferOutcome => {
		current = records;
		currentReadAt = readAt;
		implausibleReads = 0;
		listingTracker.update(records, readAt, clock.monotonicMilliseconds());
		for (const listener of listeners) {
			listener();
		}

		return {type: 'adopted'};
	};

	/** Counts an implausible read; true while more consecutive ones are needed to accept the list. */
	const needsMoreReads = (readAt: number) => {
		if (readAt - lastImplausibleAt >= minimumReadSpacingMilliseconds) {
			implausibleReads += 1;
			lastImplausibleAt = readAt;
		}

		return implausibleReads < readsToConfirm;
	};

	return {
		offer({records, ageMilliseconds}) {
			const readAt = clock.monotonicMilliseconds() - ageMilliseconds;
			if (readAt <= newestReadAt) {
				return {type: 'refused', refusal: OfferRefusal.Older, reason: `the list was read ${Math.round(newestReadAt - readAt)} ms before the newest one offered`};
			}

			newestReadAt = readAt;
			const implausibility = findImplausibility(current, records);
			return implausibility && needsMoreReads(readAt) ? {type: 'refused', ...implausibility} : adopt(records, readAt);
		},
		markPreviouslyListed(identity) {
			listingTracker.markPreviouslyListed(identity, clock.monotonicMilliseconds());
		},
		instances: () => current,
		ageMilliseconds: () => currentReadAt === undefined ? undefined : clock.monotonicMilliseconds() - currentReadAt,
		isProvenGone: identity => listingTracker.isGone(identity),
		subscribe(listener) {
			listeners.push(listener);
		},
	};
};
