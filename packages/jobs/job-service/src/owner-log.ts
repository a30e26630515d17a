/** What the owner reports of itself. */
import type {
	JobRow, SchedulerEvent, StartOrder, WorkerRow,
} from '@turmericbay/scheduler';
import type {MaintenanceLog} from './maintenance.js';
import type {PoolMoveLog} from './pool-moves.js';

export type OwnerLog = MaintenanceLog & PoolMoveLog & {
	scheduler(event: SchedulerEvent): void;
	start(order: StartOrder, outcome: string): void;
	workerLost(worker: WorkerRow, message: string): void;
	workerRegained(worker: WorkerRow): void;
	jobFinished(job: JobRow): void;
	storeTrouble(what: string, message: string): void;
	loaded(summary: {jobs: number; workers: number; milliseconds: number}): void;
	unreadable(key: string): void;
};
