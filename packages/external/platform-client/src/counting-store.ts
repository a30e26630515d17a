/** Counts the calls to a key-value store, since the platform's rates are bounded. */
import type {Clock, KeyValueStore} from '@turmericbay/types';
import {millisecondsPerSecond} from '@turmericbay/types';

export enum StoreCallKind {
	Read = 'read',
	Write = 'write',
}

export type CountingStore = KeyValueStore & {
	/** Calls since the start. */
	countCalls(kind: StoreCallKind): number;
	/** Mean over the last 10 s, without the second that is running. */
	measureCallsPerSecond(kind: StoreCallKind): number;
	/** Watches that wait now; the platform counts each as a call. */
	countOpenWatches(): number;
};

const windowSeconds = 10;

const createRate = (clock: Clock) => {
	const bySecond = new Map<number, number>();
	const currentSecond = (): number => Math.floor(clock.monotonicMilliseconds() / millisecondsPerSecond);
	let total = 0;
	return {
		count(): void {
			const second = currentSecond();
			total++;
			bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
			for (const old of bySecond.keys()) {
				if (old < second - windowSeconds) {
					bySecond.delete(old);
				}
			}
		},
		total: () => total,
		perSecond(): number {
			const now = currentSecond();
			const calls = [...bySecond].filter(([second]) => second < now && second >= now - windowSeconds).map(([, count]) => count);
			return calls.reduce((sum, count) => sum + count, 0) / windowSeconds;
		},
	};
};

export const createCountingStore = ({store, clock}: {readonly store: KeyValueStore; readonly clock: Clock}): CountingStore => {
	const rates = {[StoreCallKind.Read]: createRate(clock), [StoreCallKind.Write]: createRate(clock)};
	let openWatches = 0;

	const counted = <Options, Answer>(kind: StoreCallKind, call: (options: Options) => Promise<Answer>) => async (options: Options): Promise<Answer> => {
		rates[kind].count();
		return call(options);
	};

	return {
		read: counted(StoreCallKind.Read, store.read),
		list: counted(StoreCallKind.Read, store.list),
		transact: counted(StoreCallKind.Write, store.transact),
		grantLease: counted(StoreCallKind.Write, store.grantLease),
		renewLease: counted(StoreCallKind.Write, store.renewLease),
		revokeLease: counted(StoreCallKind.Write, store.revokeLease),
		watch({prefix, onChange, onEnd}) {
			rates[StoreCallKind.Read].count();
			openWatches++;
			let isWaiting = true;
			const leave = (): void => {
				openWatches -= isWaiting ? 1 : 0;
				isWaiting = false;
			};

			const handle = store.watch({
				prefix,
				onChange,
				onEnd(error) {
					leave();
					onEnd(error);
				},
			});
			return {
				stop() {
					leave();
					handle.stop();
				},
			};
		},
		countCalls: kind => rates[kind].total(),
		measureCallsPerSecond: kind => rates[kind].perSecond(),
		countOpenWatches: () => openWatches,
	};
};
