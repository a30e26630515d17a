/**
 * Serializes the store calls of an owner: one write is in flight at a time. If
 * the answer to a write is lost, the next write waits until the outcome is known.
 * The write is read back, and sent again with the same conditions if it is missing.
 */
import {StoreErrorKind} from '@turmericbay/types';
import type {
	KeyValueStore, RandomSource, StoreCondition, StoreError, StoreOperation,
} from '@turmericbay/types';

export type WriteOutcome
	= | {readonly type: 'committed'}
		/** Had no effect; the partition records have to be read again. */
		| {readonly type: 'conflict'}
		/** Had no effect; the store rejected the write or could not be reached. */
		| {readonly type: 'failed'};

export type Write = {
	readonly conditions: readonly StoreCondition[];
	readonly operations: readonly StoreOperation[];
	/** A key that only this write creates; its presence proves that the write took effect. */
	readonly createdKey?: string;
	readonly finish: (outcome: WriteOutcome) => void;
};

export type StoreCounters = {
	reads: number;
	writes: number;
	conflicts: number;
	failures: number;
	bytesWritten: number;
	bytesRead: number;
};

const backoffBaseMilliseconds = 100;
const backoffLimitMilliseconds = 2000;

export type WriteSlot = ReturnType<typeof createWriteSlot>;

const sizeOf = (operations: readonly StoreOperation[]) => {
	let bytes = 0;
	for (const operation of operations) {
		bytes += operation.type === 'put' ? operation.value.length : 0;
	}

	return bytes;
};

export const createWriteSlot = (options: {
	readonly store: KeyValueStore;
	readonly random: RandomSource;
	readonly now: () => number;
	readonly counters: StoreCounters;
}) => {
	const {store, random, now, counters} = options;
	let write: Write | undefined;
	let busy = false;
	/** A send got no response; it may have taken effect even if a later one conflicts. */
	let uncertain = false;
	let retryAt = Number.NEGATIVE_INFINITY;
	let failures = 0;
	let error: StoreError | undefined;

	const backOff = (reason: StoreError) => {
		error = reason;
		counters.failures += 1;
		retryAt = now() + (random() * Math.min(backoffLimitMilliseconds, backoffBaseMilliseconds * (2 ** failures)));
		failures += 1;
	};

	const succeed = () => {
		error = undefined;
		failures = 0;
	};

	const finish = (outcome: WriteOutcome) => {
		const finished = write;
		write = undefined;
		uncertain = false;
		finished?.finish(outcome);
	};

	/** Whether the key exists; undefined if the read failed. */
	const readBack = async (key: string): Promise<boolean | undefined> => {
		counters.reads += 1;
		const result = await store.read({key});
		if (result.isErr()) {
			backOff(result.error);
			return undefined;
		}

		return result.value !== undefined;
	};

	const send = async (current: Write) => {
		counters.writes += 1;
		counters.bytesWritten += sizeOf(current.operations);
		const result = await store.transact(current);
		if (result.isErr()) {
			backOff(result.error);
			const certain = result.error.kind === StoreErrorKind.NotApplied || result.error.kind === StoreErrorKind.TooLarge;
			uncertain ||= !certain;
			if (!uncertain) {
				finish({type: 'failed'});
			}

			return;
		}

		succeed();
		if (result.value.type === 'committed') {
			finish({type: 'committed'});
			return;
		}

		counters.conflicts += 1;
		if (!uncertain || current.createdKey === undefined) {
			finish({type: 'conflict'});
			return;
		}

		const exists = await readBack(current.createdKey);
		if (exists !== undefined) {
			finish({type: exists ? 'committed' : 'conflict'});
		}
	};

	const execute = async (current: Write) => {
		busy = true;
		if (uncertain && current.createdKey !== undefined) {
			const exists = await readBack(current.createdKey);
			if (exists) {
				succeed();
				finish({type: 'committed'});
			} else if (exists === false) {
				await send(current);
			}
		} else {
			await send(current);
		}

		busy = false;
	};

	return {
		/** True if another call can start. */
		isFree: () => write === undefined && !busy && now() >= retryAt,
		/** True from a failed call until the next successful one. */
		isFailing: () => failures > 0,
		isUncertain: () => uncertain,
		lastError: () => error,
		start(next: Write) {
			write = next;
			void execute(next);
		},
		/** Retries a write with an unknown outcome when it is due. */
		tick() {
			if (write && !busy && now() >= retryAt) {
				void execute(write);
			}
		},
		/** Runs a read that must not overlap a write. */
		async read<T>(call: () => Promise<T>): Promise<T> {
			busy = true;
			counters.reads += 1;
			const result = await call();
			busy = false;
			return result;
		},
		reportFailure: backOff,
		reportSuccess: succeed,
	};
};
