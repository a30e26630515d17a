/** Ages of the proof that a process is gone, as this entry instance has seen it. */
import type {InstanceDirectory, ProcessIdentity} from '@turmericbay/types';
import {formatIdentity} from './state.js';

/**
 * A process that the ledger names was listed when it was recorded. If fresh
 * lists omit it for this long, longer than the platform's list lags, it is
 * gone even for an instance that never saw it listed.
 */
export const unlistedProofMilliseconds = 60_000;

export type ProofTracker = {
	/** Updates the ages; only to be called while the list is fresh. */
	observe(identities: readonly ProcessIdentity[], now: number): void;
	isProvenGone(identity: ProcessIdentity): boolean;
	/** Milliseconds since the proof was first seen; undefined without one. */
	goneForMilliseconds(identity: ProcessIdentity, now: number): number | undefined;
};

export const createProofTracker = (directory: InstanceDirectory): ProofTracker => {
	let unlistedSince = new Map<string, number>();
	let goneSince = new Map<string, number>();

	const observeOne = (identity: ProcessIdentity, now: number, next: {unlisted: Map<string, number>; gone: Map<string, number>}) => {
		const name = formatIdentity(identity);
		const isListed = directory.instances().some(record => record.instance === identity.instance && record.incarnation === identity.incarnation);
		const since = unlistedSince.get(name) ?? now;
		if (!isListed) {
			next.unlisted.set(name, since);
		}

		const isGone = directory.isProvenGone(identity) || (!isListed && now - since >= unlistedProofMilliseconds);
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
