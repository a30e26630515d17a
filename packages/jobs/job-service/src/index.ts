/** Accepts, stores and runs jobs, and reports their states. */
export * from './ports.js';
export type {
	AdmissionLog, CancelOutcome, JobOperations, JobStateOutcome, SubmitOutcome,
} from './job-operations.js';
export type {
	AcceptDispatchChannel, ChannelHandlers, DispatchChannel, OpenDispatchChannel,
} from './dispatch-channel.js';
export {createDispatchServer} from './dispatch-server.js';
export {ElectionStep} from './election.js';
export {createFencingTokens} from './fencing-tokens.js';
export {createOrderExecutor} from './order-executor.js';
export {createWorkerSession} from './worker-session.js';
export type {CallRoute} from './dispatched-worker-client.js';
export type {DispatcherRegistration} from './dispatcher-directory.js';
export type {Refusal} from './admission.js';
export {RefusalCause} from './admission.js';
export {createFiguresCache} from './known-figures.js';
export type {SizeRefusal} from './job-size.js';
export {SizeCause} from './job-size.js';
export type {OwnerClient} from './owner-client.js';
export {createOwnerDispatch} from './owner-dispatch.js';
export type {OwnerLog} from './owner-log.js';
export {ownerLeaseMilliseconds} from './ownership.js';
export type {GetLocalOwner, PeerTransport} from './peer-transport.js';
export {createHttpPeerTransport} from './peer-transport.js';
export type {OwnerRecord} from './records.js';
export type {JobService, ServiceLog} from './service.js';
export {createJobService} from './service.js';
