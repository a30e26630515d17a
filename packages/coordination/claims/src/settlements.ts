/** Settlements that wait for the owner of their partition. */
import type {ProcessIdentity} from '@turmericbay/types';
import type {SettleMessage} from './messages.js';

const retryMilliseconds = 1000;
/** A claim whose settlement is given up stays as it is, and its key is refused until it expires. */
const giveUpAfterMilliseconds = 120_000;
const maximumPending = 10_000;
const sendsPerTick = 16;

type Pending = {readonly message: SettleMessage; nextAt: number; readonly giveUpAt: number};

export const createSettlements = (options: {
	readonly now: () => number;
	readonly ownerOf: (key: string) => ProcessIdentity | undefined;
	/** True if the owner recorded it. */
	readonly send: (to: ProcessIdentity, message: SettleMessage) => Promise<boolean>;
}) => {
	const {now, ownerOf, send} = options;
	const pending = new Map<string, Pending>();

	const deliver = async (entry: Pending) => {
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
