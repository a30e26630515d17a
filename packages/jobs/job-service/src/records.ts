/** Keys and values of the job service in the platform's store. */
import type {JobDeclaration, JobProgress} from '@turmericbay/scheduler';
import {JobState} from '@turmericbay/scheduler';
import type {StoredEntry} from '@turmericbay/types';

const root = 'turmericbay/';
export const ownerKey = `${root}owner`;
/** Changes with every write of an owner, so that a write with a lost answer cannot be carried out after a newer one. */
export const commitKey = `${root}commit`;
export const jobPrefix = `${root}jobs/`;
export const cancellationPrefix = `${root}cancellations/`;
export const progressPrefix = `${root}progress/`;
export const resultPrefix = `${root}results/`;
/** Segments of runs that may be at work. */
export const runPrefix = `${root}runs/`;

/** Machines of each wave whose upkeep has begun. */
export const waveProgressPrefix = `${root}waves/`;

/** Holder of the newest order for each machine. */
export const machineOrderPrefix = `${root}machine-orders/`;

export type OwnerRecord = {
	readonly instance: string;
	/** Address of the owner's peer listener. */
	readonly address: string;
	readonly epoch: number;
	/** Lease of the owner's key. */
	readonly leaseId: string;
};

export type CommitRecord = {readonly epoch: number; readonly sequence: number};

export type RecordedWorker = {readonly id: string; readonly address: string; readonly pool: string; readonly bornAt: number | undefined};

/** Runs that were about to be started together, by worker; some of them may have ended. */
export type RunSegment = ReadonlyArray<{readonly worker: RecordedWorker; readonly runs: ReadonlyArray<readonly [task: string, run: number]>}>;

export enum TerminalState {
	Completed = 'completed',
	Failed = 'failed',
	Cancelled = 'cancelled',
}

export const toTerminalState = (state: JobState): TerminalState | undefined => {
	switch (state) {
		case JobState.Completed: {
			return TerminalState.Completed;
		}

		case JobState.Failed: {
			return TerminalState.Failed;
		}

		case JobState.Cancelled: {
			return TerminalState.Cancelled;
		}

		case JobState.Queued:
		case JobState.Running: {
			return undefined;
		}
	}
};

export const toJobState = (state: TerminalState): JobState => {
	switch (state) {
		case TerminalState.Completed: {
			return JobState.Completed;
		}

		case TerminalState.Failed: {
			return JobState.Failed;
		}

		case TerminalState.Cancelled: {
			return JobState.Cancelled;
		}
	}
};

/** The part of a key that names its job or worker. */
export const idFromKey = (key: string): string => key.slice(key.lastIndexOf('/') + 1);

/** Values are written by this program only; one that cannot be parsed is reported by the caller. */
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
export const parseResult = (entry: StoredEntry): TerminalState | undefined => {
	const states: ReadonlyMap<string, TerminalState> = new Map(Object.values(TerminalState).map(state => [state, state]));
	return states.get(entry.value);
};
