/**
 * Moves the ownership to a larger instance. While the larger instances are disconnected a small
 * one may become the owner; it would start fewer tasks than are accepted for as long as it stays.
 */
import type {OwnerRecord} from './records.js';

/** A smaller difference is not worth the pause of a transfer. */
const minimumCoresRatio = 2;
/** An instance that has just reached the store again may lose it again. */
const stableMilliseconds = 3000;
/** Bounds how often the ownership moves. */
export const minimumTenureMilliseconds = 5000;

export type TransferRequester = ReturnType<typeof createTransferRequester>;

export const createTransferRequester = (options: {readonly cores: number; readonly now: () => number}) => {
	const {cores, now} = options;
	let stableSince: number | undefined;
	return {
		/** True if this instance should ask the owner to hand the jobs over. Called at regular intervals. */
		shouldRequest(owner: OwnerRecord | undefined, isStoreReachable: boolean): boolean {
			stableSince = isStoreReachable ? stableSince ?? now() : undefined;
			return owner?.cores !== undefined && cores >= minimumCoresRatio * owner.cores
				&& stableSince !== undefined && now() - stableSince >= stableMilliseconds;
		},
	};
};
