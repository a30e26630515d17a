/**
 * Records of refused jobs. A refusal is sent only after its record is stored, on condition that
 * neither the job nor its result exists; jobs are stored on condition that no refusal has been recorded
 * meanwhile. So an earlier attempt with the same ID cannot be stored after the refusal was sent.
 */
import type {KeyValueStore} from '@turmericbay/types';
import type {Clock} from './ports.js';
import type {RefusalRecord} from './records.js';
import {jobPrefix, refusalPrefix, resultPrefix} from './records.js';

/** Longer than any write of an earlier attempt can be delayed. */
const leaseSeconds = 60;
/** Records written within this time share a lease, so that each lasts for at least 50 s. */
const leaseRefreshMilliseconds = 10_000;

export type RecordOutcome = {readonly type: 'recorded'} | {readonly type: 'already-stored'} | {readonly type: 'not-recorded'; readonly message: string};

export type RefusalRecords = ReturnType<typeof createRefusalRecords>;

export const createRefusalRecords = (options: {
	readonly store: KeyValueStore;
	readonly clock: Clock;
	readonly wait: (milliseconds: number) => Promise<void>;
}) => {
	const {store, clock, wait} = options;
	let lease: {readonly id: Promise<string | undefined>; readonly requestedAt: number} | undefined;

	const grantLease = async (): Promise<string | undefined> => {
		const granted = await store.grantLease({timeToLiveSeconds: leaseSeconds});
		return granted.isOk() ? granted.value.leaseId : undefined;
	};

	/** Refusals at the same time share one request for a lease. */
	const getLease = async (): Promise<string | undefined> => {
		const now = clock.now();
		if (!lease || now - lease.requestedAt > leaseRefreshMilliseconds) {
			lease = {id: grantLease(), requestedAt: now};
		}

		const current = lease;
		const id = await current.id;
		if (id === undefined && lease === current) {
			lease = undefined;
		}

		return id;
	};

	const write = async (id: string, value: RefusalRecord, latestAt: number): Promise<RecordOutcome> => {
		const leaseId = await getLease();
		if (leaseId === undefined) {
			return {type: 'not-recorded', message: 'no lease'};
		}

		if (clock.now() >= latestAt) {
			return {type: 'not-recorded', message: 'too late'};
		}

		const written = await store.transact({
			conditions: [{key: jobPrefix + id, modifiedRevision: 0}, {key: resultPrefix + id, modifiedRevision: 0}],
			operations: [{
				type: 'put', key: refusalPrefix + id, value: JSON.stringify(value), leaseId,
			}],
		});
		if (written.isErr()) {
			lease = undefined;
			return {type: 'not-recorded', message: written.error.message};
		}

		return written.value.type === 'committed' ? {type: 'recorded'} : {type: 'already-stored'};
	};

	return {
		/** Resolves by `latestAt` (monotonic clock); a write without an outcome by then may still take effect. */
		async record(options_: {readonly id: string; readonly value: RefusalRecord; readonly latestAt: number}): Promise<RecordOutcome> {
			const {id, value, latestAt} = options_;
			const expire = async (): Promise<RecordOutcome> => {
				await wait(Math.max(0, latestAt - clock.now()));
				return {type: 'not-recorded', message: 'no outcome in time'};
			};

			return Promise.race([write(id, value, latestAt), expire()]);
		},
	};
};
