/** Decides which task of which job runs on which worker. */
export * from './model.js';
export {
	computeAllowedMilliseconds, estimateCriticalPath, isActive, isFinalState, usefulTimeFactor,
} from './jobs.js';
export * from './events.js';
export type {ThrottleOrder} from './throttling.js';
export type {AdviceOrder} from './advice.js';
export type {StartOrder} from './placement.js';
export {countOccurrenceRows, isEndless, largestJobRows} from './occurrence-window.js';
export * from './progress.js';
export * from './scheduler.js';
export type {StartOutcome} from './start-outcomes.js';
export type {StopOrder} from './stops.js';
export {
	computeLatestLeaseExpiry, isEarlierIncarnation, isWithinCapacity, minimumWorkerClockRate,
} from './workers.js';
export {isDisruptionAllowed} from './availability.js';
export {planWave} from './waves.js';
export type {WaveMachine, WaveRow} from './waves.js';
export * from './pools.js';
export type {ZoneEvacuationStatus} from './zone-evacuation.js';
export type {DurationEstimator, DurationKey} from './durations.js';
export type {DecidePlace, PlaceDecision, PlaceQuestion} from './place-wait.js';
export {ElsewhereReason} from './place-wait.js';
export {PlaceWaitEnd} from './place-wait-table.js';
export type {PlaceWaitEvent} from './place-wait-table.js';
export type {
	Backlog, GetMovableCapacity, LoadFigures, PoolLoad, WorkspaceLoad,
} from './load-figures.js';
export {computeMaxMinShares, deadlineStepMilliseconds, publicWorkspace} from './load-figures.js';
