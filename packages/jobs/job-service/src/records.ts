/** Keys and values of the job service in the platform's store. */
import type {JobDeclaration, JobProgress} from '@turmericbay/scheduler';
import {JobState} from '@turmericbay/scheduler';
import type {StoredEntry} from '@turmericbay/types';

const root = 'turmericbay/';
export const ownerKey = `${root}owner`;
/** Changes with every write of an owner: a write whose response was lost cannot be applied after a newer one. */
export const commitKey = `${root}commit`;
export const jobPrefix = `${root}jobs/`;
export const cancellationPrefix = `${root}cancellations/`;
export const progressPrefix = `${root}progress/`;
export const resultPrefix = `${root}results/`;
/** Segments with the runs that may be executing. */
export const runPrefix = `${root}runs/`;

/** Refused jobs, under a lease. */
export const refusalPrefix = `${root}refusals/`;

/** Progress of each maintenance wave: machines whose maintenance has started or is not needed, and machines with an order in flight. */
export const waveProgressPrefix = `${root}waves/`;

/** Name of the instance that sent the newest order for each machine. */
export const machineOrderPrefix = `${root}machine-orders/`;

export type OwnerRecord = {
	readonly instance: string;
	/** Address at which other instances reach the owner. */
	readonly address: string;
	readonly epoch: number;
	/** Lease of the owner key. */
	readonly leaseId: string;
	/** Processor cores that the owner may use; missing in records of older builds. */
	readonly cores?: number;
};

export type RefusalRecord = {
	/** Identifies the attempt that was refused. */
	readonly attempt: string;
	readonly cause: string;
};

export type CommitRecord = {readonly epoch: number; readonly sequence: number};

/** `bornAt` is the worker's incarnation. */
export type RecordedWorker = {readonly id: string; readonly address: string; readonly pool: string; readonly bornAt: number | undefined};

/** Runs whose starts were decided together, by worker. Some of them may have ended. */
export type RunSegment = ReadonlyArray<{readonly worker: RecordedWorker; readonly runs: ReadonlyArray<readonly [task: string, run: number]>}>;

export enum FinalState {
	Completed = 'completed',
	Failed = 'failed',
	Cancelled = 'cancelled',
}

export const toFinalState = (state: JobState): FinalState | undefined => {
	switch (state) {
		case JobState.Completed: {
			return FinalState.Completed;
		}

		case JobState.Failed: {
			return FinalState.Failed;
		}

		case JobState.Cancelled: {
			return FinalState.Cancelled;
		}

		case JobState.Queued:
		case JobState.Running: {
			return undefined;
		}
	}
};

export const toJobState = (state: FinalState): JobState => {
	switch (state) {
		case FinalState.Completed: {
			return JobState.Completed;
		}

		case FinalState.Failed: {
			return JobState.Failed;
		}

		case FinalState.Cancelled: {
			return JobState.Cancelled;
		}
	}
};

/** Extracts the last part of a key, the name of a job, worker or machine. */
export const idFromKey = (key: string): string => key.slice(key.lastIndexOf('/') + 1);

/** Returns undefined for malformed JSON. Valid JSON is trusted, since only this program writes these keys. */
const parseJson = <Value>(entry: StoredEntry): Value | undefined => {
	try {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Written by this program.
		return JSON.parse(entry.value) as Value;
	} catch {
		return undefined;
	}
};

export const parseJob = (entry: StoredEntry): JobDeclaration | undefined => parseJson<JobDeclaration>(entry);
export const parseProgress = (entry: StoredEntry): JobProgress | undefined => parseJson<JobProgress>(entry);
export const parseOwner = (entry: StoredEntry): OwnerRecord | undefined => parseJson<OwnerRecord>(entry);
export const parseCommit = (entry: StoredEntry): CommitRecord | undefined => parseJson<CommitRecord>(entry);
export const parseRunSegment = (entry: StoredEntry): RunSegment | undefined => parseJson<RunSegment>(entry);
export const parseRefusal = (entry: StoredEntry): RefusalRecord | undefined => parseJson<RefusalRecord>(entry);
export const parseResult = (entry: StoredEntry): FinalState | undefined => {
	const states: ReadonlyMap<string, FinalState> = new Map(Object.values(FinalState).map(state => [state, state]));
	return states.get(entry.value);
};
