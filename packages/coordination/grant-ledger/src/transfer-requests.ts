/** Requests units from other holders when the ledger has none free. */
import type {ProcessIdentity, RandomSource, TeamName} from '@turmericbay/types';
import {holderKey} from './shard.js';
import type {TeamRow} from './shard.js';

export type TransferPeer = {
	/** Calls `TransferGrant` of the holder; 0 if it refuses or cannot be reached. */
	requestTransfer(options: {
		readonly to: ProcessIdentity; readonly team: TeamName; readonly units: number;
	}): Promise<number>;
};

/** Limits the requests of one tick; further teams wait for the next tick. */
const requestsPerTick = 8;
const requestIntervalMilliseconds = 500;

export const createTransferRequests = (options: {
	readonly peer: TransferPeer;
	readonly random: RandomSource;
	readonly self: ProcessIdentity;
	readonly isGone: (identity: ProcessIdentity) => boolean;
	readonly onTransferred: (team: TeamName) => void;
}) => {
	const {peer, random, self, isGone, onTransferred} = options;
	const nextRequestAt = new Map<TeamName, number>();

	/** The one with more units of two random holders, since it is not known which holders have idle units. */
	const chooseHolder = (row: TeamRow) => {
		const candidates = [...row.holdings.values()].filter(({identity}) =>
			holderKey(identity) !== holderKey(self) && !isGone(identity));
		const [first, second] = [candidates[Math.floor(random() * candidates.length)], candidates[Math.floor(random() * candidates.length)]];
		return first && second && second.units > first.units ? second : first;
	};

	const requestUnits = async (to: ProcessIdentity, team: TeamName, units: number) => {
		const transferred = await peer.requestTransfer({to, team, units});
		if (transferred > 0) {
			onTransferred(team);
		}
	};

	return {
		/** Returns the number of requests sent. */
		sendRequests(unmetDemand: ReadonlyMap<TeamName, TeamRow>, now: number): number {
			let sent = 0;
			for (const [team, row] of unmetDemand) {
				if (sent >= requestsPerTick) {
					break;
				}

				const holder = now >= (nextRequestAt.get(team) ?? Number.NEGATIVE_INFINITY) ? chooseHolder(row) : undefined;
				if (!holder) {
					continue;
				}

				nextRequestAt.set(team, now + requestIntervalMilliseconds);
				sent += 1;
				// Requests as many units as this holder has, to double them, but at least two.
				const own = row.holdings.get(holderKey(self))?.units ?? 0;
				void requestUnits(holder.identity, team, Math.max(2, own));
			}

			return sent;
		},
	};
};
