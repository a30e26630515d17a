/** Decides which task of which job runs on which worker. */
export * from './model.js';
export {
	computeAllowedMilliseconds, estimateCriticalPath, isActive, isFinalState, usefulTimeFactor,
} from './jobs.js';
export * from './events.js';
export type {ThrottleOrder} from './throttling.js';
export type {AdviceOrder, StartOrder} from './placement.js';
export * from './progress.js';
export * from './scheduler.js';
export type {StartOutcome} from './start-outcomes.js';
export type {StopOrder} from './stops.js';
export {
	computeLatestLeaseExpiry, isEarlierIncarnation, isWithinCapacity, minimumWorkerClockRate,
} from './workers.js';
export * from './waves.js';
export * from './pools.js';
export type {DurationEstimator, DurationKey} from './durations.js';
export type {
	Backlog, GetMovableCapacity, LoadFigures, PoolLoad, WorkspaceLoad,
} from './load-figures.js';
export {computeMaxMinShares, deadlineStepMilliseconds, publicWorkspace} from './load-figures.js';
