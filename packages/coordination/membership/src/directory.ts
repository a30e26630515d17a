/**
 * Instance directory, fed with copies of the platform's list that this process
 * or a peer has read.
 */
import {InstanceRole, unknownIncarnation} from '@turmericbay/types';
import type {
	Clock, InstanceDirectory, InstanceId, InstanceRecord, ProcessIdentity,
} from '@turmericbay/types';

/**
 * A list proves absence only if it was read this much later than the last one
 * that showed the process: the ages of lists passed on by peers are estimates.
 */
const proofMarginMilliseconds = 2000;

/**
 * The same for a process that only somebody else has seen listed: the copies
 * that two readers get from the platform may lag differently.
 */
const hearsayMarginMilliseconds = 60_000;

/** Copies of one read that arrive through several peers count as one read. */
const distinctReadMilliseconds = 500;

/** A process that is gone for this long is forgotten; `markPreviouslyListed` brings it back. */
const forgetAfterMilliseconds = 24 * 3_600_000;

const defaultReadsToConfirm = 5;

export enum OfferRefusal {
	/** The list is not newer than the newest one seen. */
	Older = 'older',
	/** The list is empty although the one before was not. */
	Empty = 'empty',
	/** The list lost more than half of the instances of a role at once. */
	RoleHalved = 'role-halved',
}

export type OfferOutcome
	= | {readonly type: 'adopted'}
		| {readonly type: 'refused'; readonly refusal: OfferRefusal; readonly reason: string};

export type WritableInstanceDirectory = {
	/** Offers a list; `ageMilliseconds` counts from the start of the read on the platform, transit included. */
	offer(options: {readonly records: readonly InstanceRecord[]; readonly ageMilliseconds: number}): OfferOutcome;
	/**
	 * Reports that the process was listed at some time before now, for instance
	 * because it wrote a record that only listed processes write.
	 */
	markPreviouslyListed(identity: ProcessIdentity): void;
} & InstanceDirectory;

type Sighting = {readonly instance: InstanceId; shownAt: number; marginMilliseconds: number; goneSince: number | undefined};

const identityKey = ({instance, incarnation}: ProcessIdentity): string => JSON.stringify([instance, incarnation]);

const countByRole = (records: readonly InstanceRecord[]): Map<InstanceRole, number> => {
	const counts = new Map<InstanceRole, number>();
	for (const {role} of records) {
		counts.set(role, (counts.get(role) ?? 0) + 1);
	}

	return counts;
};

/** Why a list is implausible after another one; undefined if it is not. */
const findImplausible = (before: readonly InstanceRecord[], offered: readonly InstanceRecord[]) => {
	if (before.length > 0 && offered.length === 0) {
		return {refusal: OfferRefusal.Empty, reason: `the list went from ${before.length} instances to none`};
	}

	const present = new Set(offered.map(record => record.instance));
	const earlier = countByRole(before);
	const kept = countByRole(before.filter(record => present.has(record.instance)));
	for (const role of Object.values(InstanceRole)) {
		const count = earlier.get(role) ?? 0;
		const remaining = kept.get(role) ?? 0;
		if (remaining * 2 < count) {
			return {refusal: OfferRefusal.RoleHalved, reason: `of ${count} instances with role ${role} the list shows ${remaining}`};
		}
	}

	return undefined;
};

/** Remembers when each process was last shown and since when it is proven gone. */
const createSightings = () => {
	const sightings = new Map<string, Sighting>();
	const update = (records: readonly InstanceRecord[], readAt: number, now: number) => {
		const shown = new Set<string>();
		const shownAsAnyRun = new Set<InstanceId>();
		for (const record of records) {
			if (record.incarnation === unknownIncarnation) {
				shownAsAnyRun.add(record.instance);
				continue;
			}

			const key = identityKey(record);
			shown.add(key);
			sightings.set(key, {
				instance: record.instance, shownAt: readAt, marginMilliseconds: proofMarginMilliseconds, goneSince: undefined,
			});
		}

		for (const [key, sighting] of sightings) {
			if (shown.has(key)) {
				continue;
			}

			if (shownAsAnyRun.has(sighting.instance) && sighting.goneSince === undefined) {
				sighting.shownAt = readAt;
				continue;
			}

			if (readAt - sighting.shownAt >= sighting.marginMilliseconds) {
				sighting.goneSince ??= now;
			}

			if (sighting.goneSince !== undefined && now - sighting.goneSince > forgetAfterMilliseconds) {
				sightings.delete(key);
			}
		}
	};

	const note = (identity: ProcessIdentity, now: number) => {
		const key = identityKey(identity);
		if (!sightings.has(key)) {
			sightings.set(key, {
				instance: identity.instance, shownAt: now, marginMilliseconds: hearsayMarginMilliseconds, goneSince: undefined,
			});
		}
	};

	return {
		update,
		note,
		isGone: (identity: ProcessIdentity) => sightings.get(identityKey(identity))?.goneSince !== undefined,
	};
};

export const createInstanceDirectory = (options: {
	readonly clock: Clock;
	/** Reads in a row after which an implausible list is believed. */
	readonly readsToConfirm?: number;
}): WritableInstanceDirectory => {
	const {clock, readsToConfirm = defaultReadsToConfirm} = options;
	const sightings = createSightings();
	const listeners: Array<() => void> = [];
	let adopted: readonly InstanceRecord[] = [];
	let adoptedReadAt: number | undefined;
	let newestReadAt = Number.NEGATIVE_INFINITY;
	let implausibleReads = 0;
	let lastImplausibleAt = Number.NEGATIVE_INFINITY;

	const adopt = (records: readonly InstanceRecord[], readAt: number): OfferOutcome => {
		adopted = records;
		adoptedReadAt = readAt;
		implausibleReads = 0;
		sightings.update(records, readAt, clock.monotonicMilliseconds());
		for (const listener of listeners) {
			listener();
		}

		return {type: 'adopted'};
	};

	const holdBack = (readAt: number) => {
		if (readAt - lastImplausibleAt >= distinctReadMilliseconds) {
			implausibleReads += 1;
			lastImplausibleAt = readAt;
		}

		return implausibleReads < readsToConfirm;
	};

	return {
		offer({records, ageMilliseconds}) {
			const readAt = clock.monotonicMilliseconds() - ageMilliseconds;
			if (readAt <= newestReadAt) {
				return {type: 'refused', refusal: OfferRefusal.Older, reason: 'a newer list was seen before'};
			}

			newestReadAt = readAt;
			const implausible = findImplausible(adopted, records);
			return implausible && holdBack(readAt) ? {type: 'refused', ...implausible} : adopt(records, readAt);
		},
		markPreviouslyListed(identity) {
			sightings.note(identity, clock.monotonicMilliseconds());
		},
		instances: () => adopted,
		ageMilliseconds: () => adoptedReadAt === undefined ? undefined : clock.monotonicMilliseconds() - adoptedReadAt,
		isProvenGone: identity => sightings.isGone(identity),
		subscribe(listener) {
			listeners.push(listener);
		},
	};
};
