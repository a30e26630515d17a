/**
 * The one write of an owner that may be in flight. A write whose answer was
 * lost keeps the slot until its outcome is certain: it is read back, and sent
 * again under the same conditions if it is not there.
 */
import {StoreErrorKind} from '@turmericbay/types';
import type {
	KeyValueStore, RandomSource, StoreCondition, StoreError, StoreOperation,
} from '@turmericbay/types';

export type WriteOutcome
	= | {readonly type: 'committed'}
		/** Certainly without effect; the records of partitions have to be read again. */
		| {readonly type: 'conflict'}
		/** Certainly without effect; the store refused or cannot be reached. */
		| {readonly type: 'failed'};

export type Write = {
	readonly conditions: readonly StoreCondition[];
	readonly operations: readonly StoreOperation[];
	/** A key that only this write creates; shows afterwards whether it took effect. */
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
	/** A try got no answer, so a refusal of a later one says nothing about it. */
	let uncertain = false;
	let notBefore = Number.NEGATIVE_INFINITY;
	let failures = 0;
	let error: StoreError | undefined;

	const backOff = (reason: StoreError) => {
		error = reason;
		counters.failures += 1;
		notBefore = now() + (random() * Math.min(backoffLimitMilliseconds, backoffBaseMilliseconds * (2 ** failures)));
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

	/** True if the write is known to have taken effect; undefined if the store did not answer. */
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

	const attempt = async (current: Write) => {
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
		/** True if another write can start. */
		isFree: () => write === undefined && !busy && now() >= notBefore,
		/** True since the last call failed until one succeeds. */
		isFailing: () => failures > 0,
		isUncertain: () => uncertain,
		lastError: () => error,
		start(next: Write) {
			write = next;
			void attempt(next);
		},
		/** Tries a write without a certain outcome again when it is due. */
		tick() {
			if (write && !busy && now() >= notBefore) {
				void attempt(write);
			}
		},
		/** Takes the slot for a read that must not overlap a write. */
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
