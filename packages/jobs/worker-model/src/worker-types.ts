/** Options, calls and events of the worker model. */
import type {EndReason, Resources} from '@turmericbay/scheduler';
import type {Gangs} from './gangs.js';

/** What a run does. The caller decides, since the model does not know the jobs. */
export type TaskWork = {
	readonly resources: Resources;
	/** Run time at normal speed; ignored for a long-running task. */
	readonly durationMilliseconds: number;
	/** `worker-crash`: the run ends its worker process, and so all runs on it. */
	readonly outcome: EndReason.Done | EndReason.Failed | 'worker-crash';
	readonly longRunning: boolean;
	/** Reserves no CPU. */
	readonly bestEffort: boolean;
	readonly checkpointing: boolean;
	/** Number of members if the task belongs to a gang. */
	readonly gangSize: number | undefined;
};

export type WorkerEvent
	= | {readonly type: 'started'; readonly task: string; readonly run: number; readonly checkpoint: string; readonly fencingToken: number}
		/** A long-running task is at work. */
		| {readonly type: 'ready'; readonly task: string; readonly run: number}
		/** An order is ending the run. `isDelayed`: the order arrived long after it was sent. */
		| {readonly type: 'displaced'; readonly task: string; readonly run: number; readonly isDelayed: boolean}
		| {readonly type: 'ended'; readonly task: string; readonly run: number; readonly reason: EndReason}
		/** The run has ended the worker process. The end of each run on it follows. */
		| {readonly type: 'crashed'; readonly task: string; readonly run: number}
		/** The caller has persisted the end, and the worker has removed it. */
		| {readonly type: 'acknowledged'; readonly task: string; readonly run: number; readonly reason: EndReason}
		/** Also emitted if no run existed. */
		| {readonly type: 'lease-expired'};

export type StartResponse = 'started' | 'fenced' | 'superseded' | 'late' | 'room';

export type WorkerModelOptions = {
	/** Start of the worker process, Unix time in milliseconds. */
	readonly incarnation: number;
	readonly capacity: Resources;
	readonly enforcesCapacity: boolean;
	/** Simulation time at which the worker process started. */
	readonly startedAt: number;
	/** Rate of the worker's clock relative to simulation time; at least 0.98. */
	readonly clockRate: number;
	readonly stopDurationMilliseconds: number;
	readonly gangTimeoutMilliseconds: number;
	readonly checkpointIntervalMilliseconds: number;
	readonly restoreCostMilliseconds: number;
	readonly maximumLeaseMilliseconds: number;
	readonly gangs: Gangs;
	readonly createWork: (task: string, run: number) => TaskWork;
	readonly onEvent: (event: WorkerEvent, now: number) => void;
};
