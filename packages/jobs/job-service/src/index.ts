/** Accepts, stores, runs and reports jobs. */
export * from './ports.js';
export type {
	CancelOutcome, DescribeOutcome, Intake, SubmitOutcome,
} from './intake.js';
export type {OwnerLink} from './owner-link.js';
export type {OwnerLog} from './owner-log.js';
export type {LocalOwner, PeerTransport} from './peers.js';
export {createHttpPeers} from './peers.js';
export type {OwnerRecord} from './records.js';
export type {JobService, ServiceLog} from './service.js';
export {createJobService} from './service.js';
