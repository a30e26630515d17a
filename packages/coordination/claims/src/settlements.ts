/** Sends settlements to the owners of their partitions and retries until they are recorded. */
import type {ProcessIdentity} from '@turmericbay/types';
import type {SettleMessage} from './messages.js';

const retryMilliseconds = 1000;
/**
 * After this time, or above `maximumPending`, a settlement is dropped: its claim
 * keeps its state, and the key is refused until the claim expires.
 */
const giveUpAfterMilliseconds = 120_000;
const maximumPending = 10_000;
const sendsPerTick = 16;

type PendingSettlement = {readonly message: SettleMessage; nextAt: number; readonly giveUpAt: number};

export const createSettlementQueue = (options: {
	readonly now: () => number;
	readonly ownerOf: (key: string) => ProcessIdentity | undefined;
	/** True if the owner recorded the settlement. */
	readonly send: (to: ProcessIdentity, message: SettleMessage) => Promise<boolean>;
}) => {
	const {now, ownerOf, send} = options;
	const pending = new Map<string, PendingSettlement>();

	const deliver = async (entry: PendingSettlement) => {
		const {message} = entry;
		const owner = ownerOf(message.key);
		if (owner && await send(owner, message)) {
			pending.delete(message.attempt);
		}
	};

	return {
		add(message: SettleMessage) {
			const [oldest] = pending.keys();
			if (pending.size >= maximumPending && oldest !== undefined) {
				pending.delete(oldest);
			}

			const entry = {message, nextAt: now() + retryMilliseconds, giveUpAt: now() + giveUpAfterMilliseconds};
			pending.set(message.attempt, entry);
			void deliver(entry);
		},
		tick() {
			let sends = 0;
			for (const [attempt, entry] of pending) {
				if (sends >= sendsPerTick) {
					break;
				}

				if (now() >= entry.giveUpAt) {
					pending.delete(attempt);
				} else if (now() >= entry.nextAt) {
					entry.nextAt = now() + retryMilliseconds;
					sends += 1;
					void deliver(entry);
				}
			}
		},
		count: () => pending.size,
	};
};
