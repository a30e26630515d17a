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

/** `milliseconds` is the time since the evacuation was read, `runs` the number of runs left on workers of the zone. */
export type ZoneEvacuationEvent = {
	readonly type: 'zone-evacuation-begun' | 'zone-evacuation-cancelled' | 'zone-emptied';
	readonly zone: string;
	readonly milliseconds: number;
	readonly runs: number;
};

export type SchedulerEvent
	= | StepWaitingEvent
		| ZoneEvacuationEvent
		| PlaceWaitEvent
		| FullPoolEvent
		| {readonly type: 'run-ended'; readonly task: string; readonly run: number; readonly worker: string; readonly reason: EndReason | 'lost' | 'not-run'}
		| {readonly type: 'run-adopted'; readonly task: string; readonly run: number; readonly worker: string}
		| {readonly type: 'run-unwanted'; readonly task: string; readonly run: number; readonly worker: string}
		| {readonly type: 'worker-reborn'; readonly worker: string}
		| {readonly type: 'worker-lapsed'; readonly worker: string; readonly runs: number}
		/** `runs` is the number of runs that count as crashed with the worker. */
		| {readonly type: 'worker-crashed'; readonly worker: string; readonly runs: number}
		/** `attempts` is the number of failed runs or of crashes, by `cause`. */
		| {readonly type: 'job-failed'; readonly job: string; readonly task: string; readonly attempts: number; readonly cause: JobFailureCause};
