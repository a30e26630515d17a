/** Events that the owner reports to logs and metrics. */
import type {
	JobRow, SchedulerEvent, StartOrder, StopOrder, WorkerRow, ZoneEvacuationStatus,
} from '@turmericbay/scheduler';
import type {DispatchLog} from './owner-dispatch.js';
import type {MaintenanceLog} from './maintenance.js';
import type {PoolMoveLog} from './pool-moves.js';

export type OwnerLog = MaintenanceLog & PoolMoveLog & DispatchLog & {
	schedulerEvent(event: SchedulerEvent): void;
	startAttempted(order: StartOrder, outcome: string): void;
	/** `milliseconds` is the time from the plan to the end of the call. */
	stopAttempted(order: StopOrder, outcome: string, milliseconds: number): void;
	workerCallFailed(worker: WorkerRow, message: string): void;
	workerRecovered(worker: WorkerRow): void;
	jobFinished(job: JobRow): void;
	storeCallFailed(operation: string, message: string): void;
	/** The owner planned this many milliseconds after the time before. */
	ownerDelayed(milliseconds: number): void;
	jobsLoaded(summary: {jobs: number; workers: number; milliseconds: number}): void;
	recordUnreadable(key: string): void;
	/** The progress of the job has more bytes than a value in the store may have. */
	progressTooLarge(job: JobRow, bytes: number, outcome: string): void;
	/** The owner has ended with this number of changes that are not known to be stored. */
	changesNotStored(epoch: number, changes: number): void;
	/** State of the evacuated zones; empty once none is left. */
	evacuationsMeasured(zones: readonly ZoneEvacuationStatus[]): void;
};
