/** The fleet as seen by a holder: live entry instances by availability zone, and holders that are gone. */
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {
	AvailabilityZone, InstanceDirectory, ProcessIdentity,
} from '@turmericbay/types';
import {holderKey} from './shard.js';

/** Instance directory of a holder; `markPreviouslyListed` is called for the holders in the ledger, since only listed processes write to it. */
export type HolderDirectory = InstanceDirectory & {markPreviouslyListed?(identity: ProcessIdentity): void};

export type EntryInstancesView = {
	/** Live entry instances of each availability zone, sorted. */
	readonly entriesByZone: ReadonlyMap<AvailabilityZone, readonly string[]>;
	/** True if this process is in the platform's instance list. */
	readonly isSelfListed: boolean;
};

export const viewFleet = (directory: InstanceDirectory, self: ProcessIdentity): EntryInstancesView => {
	const entriesByZone = new Map<AvailabilityZone, string[]>();
	let isSelfListed = false;
	for (const record of directory.instances()) {
		if (record.role !== InstanceRole.Entry) {
			continue;
		}

		isSelfListed ||= record.instance === self.instance && record.incarnation === self.incarnation;
		if (record.state === InstanceState.Live) {
			entriesByZone.set(record.zone, [...(entriesByZone.get(record.zone) ?? []), record.instance]);
		}
	}

	for (const entries of entriesByZone.values()) {
		entries.sort((left, right) => left.localeCompare(right, 'en'));
	}

	return {entriesByZone, isSelfListed};
};

/** Tracks since when this process has had proof that a holder is gone. */
export const createGoneProcessTracker = (directory: HolderDirectory) => {
	const since = new Map<string, number>();
	return {
		update(holders: ReadonlyMap<string, ProcessIdentity>, now: number) {
			for (const [key, identity] of holders) {
				directory.markPreviouslyListed?.(identity);
				if (!directory.isProvenGone(identity)) {
					since.delete(key);
				} else if (!since.has(key)) {
					since.set(key, now);
				}
			}

			for (const key of since.keys()) {
				if (!holders.has(key)) {
					since.delete(key);
				}
			}
		},
		goneMilliseconds(identity: ProcessIdentity, now: number) {
			const start = since.get(holderKey(identity));
			// The instance list may show the process again since the last update.
			return start !== undefined && directory.isProvenGone(identity) ? now - start : undefined;
		},
	};
};
