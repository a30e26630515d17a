/** Counts the calls to a key-value store, since the platform limits their rate. */
import type {Clock, KeyValueStore} from '@turmericbay/types';
import {millisecondsPerSecond} from '@turmericbay/types';

export enum StoreCallKind {
	Read = 'read',
	Write = 'write',
}

export type CountingStore = KeyValueStore & {
	/** Calls since the start. */
	countCalls(kind: StoreCallKind): number;
	/** Mean over the last 10 s, without the current second. */
	measureCallsPerSecond(kind: StoreCallKind): number;
	/** Watches that are open now; the platform counts each as a call. */
	countOpenWatches(): number;
};

const windowSeconds = 10;

const createCallRate = (clock: Clock) => {
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
	const rates = {[StoreCallKind.Read]: createCallRate(clock), [StoreCallKind.Write]: createCallRate(clock)};
	let openWatches = 0;

	const countAndCall = <Options, Value>(kind: StoreCallKind, call: (options: Options) => Promise<Value>) => async (options: Options): Promise<Value> => {
		rates[kind].count();
		return call(options);
	};

	return {
		read: countAndCall(StoreCallKind.Read, store.read),
		list: countAndCall(StoreCallKind.Read, store.list),
		transact: countAndCall(StoreCallKind.Write, store.transact),
		grantLease: countAndCall(StoreCallKind.Write, store.grantLease),
		renewLease: countAndCall(StoreCallKind.Write, store.renewLease),
		revokeLease: countAndCall(StoreCallKind.Write, store.revokeLease),
		watch({prefix, onChange, onEnd}) {
			rates[StoreCallKind.Read].count();
			openWatches++;
			let isOpen = true;
			const markClosed = (): void => {
				openWatches -= isOpen ? 1 : 0;
				isOpen = false;
			};

			const handle = store.watch({
				prefix,
				onChange,
				onEnd(error) {
					markClosed();
					onEnd(error);
				},
			});
			return {
				stop() {
					markClosed();
					handle.stop();
				},
			};
		},
		countCalls: kind => rates[kind].total(),
		measureCallsPerSecond: kind => rates[kind].perSecond(),
		countOpenWatches: () => openWatches,
	};
};
