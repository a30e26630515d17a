/** Actions that the scheduler requests from the platform. */
import type {InstanceId} from '@turmericbay/types';
import type {JobId} from './tables.js';

export enum RefusalReason {
	UnknownTeam = 'unknown-team',
	/** The job is larger than every worker of the pool. */
	FitsNoWorker = 'fits-no-worker',
	/** The job failed on the maximum number of workers. */
	FailedEverywhere = 'failed-everywhere',
}

export type FleetAction
	= | {readonly type: 'start'; readonly job: JobId; readonly worker: InstanceId}
		| {readonly type: 'throttle'; readonly job: JobId}
		| {readonly type: 'unthrottle'; readonly job: JobId}
		| {readonly type: 'checkpoint'; readonly job: JobId}
		| {readonly type: 'stop'; readonly job: JobId}
		| {readonly type: 'refuse'; readonly job: JobId; readonly reason: RefusalReason};
