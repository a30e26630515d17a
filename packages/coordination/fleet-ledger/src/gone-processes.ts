/** Tracks which processes are proven gone and for how long, as observed by this entry instance. */
import type {InstanceDirectory, ProcessIdentity} from '@turmericbay/types';
import {formatIdentity} from './state.js';

/**
 * Every process in the ledger was listed when it was recorded. If fresh lists omit
 * it for this time, which exceeds the lag of the platform's list, it counts as gone
 * even if this process has never seen it listed.
 */
export const unlistedUntilGoneMilliseconds = 60_000;

export type GoneProcessTracker = {
	/** Updates the tracker from the current list, which must be fresh; drops all other processes. */
	observe(identities: readonly ProcessIdentity[], now: number): void;
	isProvenGone(identity: ProcessIdentity): boolean;
	/** Time since the process was first proven gone; undefined if it is not. */
	goneForMilliseconds(identity: ProcessIdentity, now: number): number | undefined;
};

export const createGoneProcessTracker = (directory: InstanceDirectory): GoneProcessTracker => {
	let unlistedSince = new Map<string, number>();
	let goneSince = new Map<string, number>();

	const observeOne = (identity: ProcessIdentity, now: number, next: {unlisted: Map<string, number>; gone: Map<string, number>}) => {
		const name = formatIdentity(identity);
		const isListed = directory.instances().some(record => record.instance === identity.instance && record.incarnation === identity.incarnation);
		const since = unlistedSince.get(name) ?? now;
		if (!isListed) {
			next.unlisted.set(name, since);
		}

		const isGone = directory.isProvenGone(identity) || (!isListed && now - since >= unlistedUntilGoneMilliseconds);
		if (isGone) {
			next.gone.set(name, goneSince.get(name) ?? now);
		}
	};

	return {
		observe(identities, now) {
			const next = {unlisted: new Map<string, number>(), gone: new Map<string, number>()};
			for (const identity of identities) {
				observeOne(identity, now, next);
			}

			unlistedSince = next.unlisted;
			goneSince = next.gone;
		},
		isProvenGone: identity => goneSince.has(formatIdentity(identity)),
		goneForMilliseconds(identity, now) {
			const since = goneSince.get(formatIdentity(identity));
			return since === undefined ? undefined : now - since;
		},
	};
};
