/** Events that the scheduler reports to logs and metrics. */
import type {FullPoolEvent} from './full-pools.js';
import type {EndReason} from './model.js';
import type {PlaceWaitEvent} from './place-wait-table.js';
import type {StepWaitingEvent} from './waiting-steps.js';

/** Why a job cannot be done. */
export enum JobFailureCause {
	/** Runs of one of its tasks have failed as often as the queue allows. */
	Failures = 'failures',
	/** Workers have crashed under one of its tasks. */
	Crashes = 'crashes',
}

/** Why a run is stopped. */
export enum StopCause {
	JobEnded = 'job-ended',
	TaskDone = 'task-done',
	/** To be started on another worker. */
	Evacuating = 'evacuating',
	/** The worker does not report it, but its start may still arrive. */
	Unconfirmed = 'unconfirmed',
	/** Another run of its task is known. */
	Unwanted = 'unwanted',
	/** An earlier stop was not answered. */
	Repeated = 'repeated',
}

/** Why an order ends runs that are at work. */
export enum DisruptionCause {
	Maintenance = 'maintenance',
	/** A run leaves a worker whose machine is due for maintenance. */
	Wave = 'wave',
	ZoneEvacuation = 'zone-evacuation',
}

/** An order is about to end runs; `steps` is what its count of unavailable tasks was made from. */
export type DisruptionEvent = {
	readonly type: 'disruption';
	readonly cause: DisruptionCause;
	readonly worker: string;
	/** The run that is stopped; undefined if all runs on the worker end. */
	readonly task: string | undefined;
	readonly run: number | undefined;
	/** Runs on the worker. */
	readonly runs: number;
	readonly steps: readonly string[];
};

/** `milliseconds` is the time since the evacuation was read, `runs` the number of runs left on workers of the zone. */
export type ZoneEvacuationEvent = {
	readonly type: 'zone-evacuation-begun' | 'zone-evacuation-cancelled' | 'zone-emptied';
	readonly zone: string;
	readonly milliseconds: number;
	readonly runs: number;
};

/** How the owner learned that the process of a worker has ended. */
export enum ProcessEndEvidence {
	/** A run report of a later process. */
	Report = 'report',
	/** The platform's list names a later process. */
	Registration = 'registration',
	/** Another worker answers at the address. */
	AddressReused = 'address-reused',
	/** An order for the machine was accepted. */
	MachineOrder = 'machine-order',
}

/** What the owner knew when it gave up the runs on a worker. Times are milliseconds before the event; undefined if there was none. */
export type WorkerKnowledge = {
	readonly worker: string;
	/** Start of the worker process whose runs are given up, Unix milliseconds. */
	readonly incarnation: number | undefined;
	/** Runs on the worker. */
	readonly runs: number;
	/** The newest answered call was sent this long ago. */
	readonly sinceContact: number | undefined;
	/** This owner granted the newest lease this long ago; undefined if only a previous owner may have granted one. */
	readonly sinceLease: number | undefined;
	/** Calls since the last answered one. */
	readonly unansweredCalls: number;
};

/** The runs on a worker are given up, because no lease on it can be valid any more or because its process has ended. */
export type WorkerGivenUpEvent
	= | (WorkerKnowledge & {readonly type: 'worker-lapsed'})
		| (WorkerKnowledge & {readonly type: 'worker-reborn'; readonly evidence: ProcessEndEvidence; readonly nextIncarnation: number | undefined})
		| (WorkerKnowledge & {readonly type: 'worker-lost'; readonly evidence: ProcessEndEvidence});

export type SchedulerEvent
	= | StepWaitingEvent
		| ZoneEvacuationEvent
		| PlaceWaitEvent
		| FullPoolEvent
		| DisruptionEvent
		/** The run was to leave its worker, but its step may not lose it any more. */
		| {readonly type: 'move-withheld'; readonly task: string; readonly run: number; readonly worker: string}
		| {readonly type: 'stop-planned'; readonly task: string; readonly run: number; readonly worker: string; readonly cause: StopCause}
		| {readonly type: 'run-ended'; readonly task: string; readonly run: number; readonly worker: string; readonly reason: EndReason | 'lost' | 'not-run'}
		| {readonly type: 'run-adopted'; readonly task: string; readonly run: number; readonly worker: string}
		| {readonly type: 'run-unwanted'; readonly task: string; readonly run: number; readonly worker: string}
		| WorkerGivenUpEvent
		/** `runs` is the number of runs that count as crashed with the worker. */
		| {readonly type: 'worker-crashed'; readonly worker: string; readonly runs: number}
		/** `attempts` is the number of failed runs or of crashes, by `cause`. */
		| {readonly type: 'job-failed'; readonly job: string; readonly task: string; readonly attempts: number; readonly cause: JobFailureCause};
