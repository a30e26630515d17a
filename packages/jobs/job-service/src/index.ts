/** Accepts, stores, runs and reports jobs. */
export * from './ports.js';
export type {
	CancelOutcome, JobStateOutcome, JobOperations, SubmitOutcome,
} from './intake.js';
export type {OwnerClient} from './owner-link.js';
export type {OwnerLog} from './owner-log.js';
export type {GetLocalOwner, PeerTransport} from './peers.js';
export {createHttpPeerTransport} from './peers.js';
export type {OwnerRecord} from './records.js';
export type {JobService, ServiceLog} from './service.js';
export {createJobService} from './service.js';
