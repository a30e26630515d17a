/** Asks peers with units of a team for some of them when the ledger has none free. */
import type {ProcessIdentity, RandomSource, TeamName} from '@turmericbay/types';
import {holderKey} from './shard.js';
import type {TeamRow} from './shard.js';

export type TransferPeer = {
	/** Sends `TransferGrant` to the holder; 0 if it refuses or cannot be reached. */
	requestTransfer(options: {
		readonly to: ProcessIdentity; readonly team: TeamName; readonly units: number;
	}): Promise<number>;
};

/** Bounds the messages of one tick; teams beyond it wait for the next one. */
const asksPerTick = 8;
const pauseAfterAskMilliseconds = 500;

export const createTransferRequests = (options: {
	readonly peer: TransferPeer;
	readonly random: RandomSource;
	readonly self: ProcessIdentity;
	readonly isGone: (identity: ProcessIdentity) => boolean;
	readonly onMoved: (team: TeamName) => void;
}) => {
	const {peer, random, self, isGone, onMoved} = options;
	const nextAskAt = new Map<TeamName, number>();

	/** Two random holders, the one with more units: nobody knows which units are idle. */
	const chooseDonor = (row: TeamRow) => {
		const donors = [...row.holdings.values()].filter(({identity}) =>
			holderKey(identity) !== holderKey(self) && !isGone(identity));
		const [first, second] = [donors[Math.floor(random() * donors.length)], donors[Math.floor(random() * donors.length)]];
		return first && second && second.units > first.units ? second : first;
	};

	const askOne = async (to: ProcessIdentity, team: TeamName, units: number) => {
		const moved = await peer.requestTransfer({to, team, units});
		if (moved > 0) {
			onMoved(team);
		}
	};

	return {
		/** Number of peers asked. */
		ask(unmet: ReadonlyMap<TeamName, TeamRow>, now: number): number {
			let asked = 0;
			for (const [team, row] of unmet) {
				if (asked >= asksPerTick) {
					break;
				}

				const donor = now >= (nextAskAt.get(team) ?? Number.NEGATIVE_INFINITY) ? chooseDonor(row) : undefined;
				if (!donor) {
					continue;
				}

				nextAskAt.set(team, now + pauseAfterAskMilliseconds);
				asked += 1;
				const own = row.holdings.get(holderKey(self))?.units ?? 0;
				void askOne(donor.identity, team, Math.max(2, own));
			}

			return asked;
		},
	};
};
