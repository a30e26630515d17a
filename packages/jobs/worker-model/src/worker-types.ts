/** What a worker model is told and what it tells. */
import type {EndReason, Resources} from '@turmericbay/scheduler';
import type {Gangs} from './gangs.js';

/** What a run does; decided by the caller, since workers do not know. */
export type TaskWork = {
	readonly resources: Resources;
	/** Work on a worker of usual speed; ignored for a long-running task. */
	readonly milliseconds: number;
	readonly outcome: EndReason.Done | EndReason.Failed;
	readonly longRunning: boolean;
	readonly fills: boolean;
	readonly checkpointing: boolean;
	/** Members of the gang, if it is one. */
	readonly gangSize: number | undefined;
};

export type WorkerEvent
	= | {readonly type: 'started'; readonly task: string; readonly run: number; readonly checkpoint: string; readonly fencingToken: number}
		| {readonly type: 'ended'; readonly task: string; readonly run: number; readonly reason: EndReason}
		/** The end is forgotten here: the caller has stored it. */
		| {readonly type: 'acknowledged'; readonly task: string; readonly run: number; readonly reason: EndReason}
		/** The lease has ended, whether anything ran or not. */
		| {readonly type: 'lapsed'};

export type StartAnswer = 'started' | 'fenced' | 'superseded' | 'late' | 'room';

export type WorkerModelOptions = {
	readonly incarnation: number;
	readonly capacity: Resources;
	readonly enforcesCapacity: boolean;
	/** Steady time of the start of this life. */
	readonly startedAt: number;
	/** Seconds of the worker's clock in a second; 0.98 at the slowest. */
	readonly clockRate: number;
	readonly stopMilliseconds: number;
	readonly gangTimeoutMilliseconds: number;
	readonly checkpointMilliseconds: number;
	readonly restoreMilliseconds: number;
	readonly longestLeaseMilliseconds: number;
	readonly gangs: Gangs;
	readonly createWork: (task: string, run: number) => TaskWork;
	readonly observe: (event: WorkerEvent, now: number) => void;
};
