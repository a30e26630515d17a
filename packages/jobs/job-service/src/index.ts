/** Accepts, stores, runs and reports jobs. */
export * from './ports.js';
export type {
	CancelOutcome, DescribeOutcome, Intake, SubmitOutcome,
} from './intake.js';
export type {OwnerLog} from './owner-log.js';
export type {JobService, ServiceLog} from './service.js';
export {createJobService} from './service.js';
