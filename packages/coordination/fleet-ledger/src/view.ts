/** Input of the decision core: what this process knows at the time of a tick. */
import type {
	InstanceId, InstanceRecord, PoolName, ProcessIdentity,
} from '@turmericbay/types';
import type {BudgetRules} from './budgets.js';

/** State of an entry instance, as sent in its last message. */
export type RevisionConfirmation = {
	readonly identity: ProcessIdentity;
	/** Fleet revision that its routing table has applied. */
	readonly fleetRevision: number;
	/** Instances that it has chosen for work or sent work to. */
	readonly busyInstances: ReadonlySet<InstanceId>;
};

export type WantedMove = {readonly instance: InstanceId; readonly destination: PoolName};

export type FleetView = {
	readonly self: ProcessIdentity;
	/** The platform's instance list, which must be fresh. */
	readonly instances: ReadonlyMap<InstanceId, InstanceRecord>;
	/** Every entry instance that is listed or has sent a confirmation. */
	readonly entryInstances: readonly ProcessIdentity[];
	readonly confirmations: readonly RevisionConfirmation[];
	readonly wantedMoves: readonly WantedMove[];
	isProvenGone(identity: ProcessIdentity): boolean;
	/** Proven gone, and the longest run time has passed since. */
	hasNoWorkLeft(identity: ProcessIdentity): boolean;
	isHealthy(instance: InstanceId): boolean;
	/** True while the instance runs work that was not sent by an entry instance, such as tasks of jobs. */
	hasRunningTasks(instance: InstanceId): boolean;
};

export type FleetTiming = {
	/** A drain that is not confirmed within this time is cancelled. */
	readonly drainTimeoutMilliseconds: number;
	/** Delay after a cancelled drain, so that an unresponsive entry instance does not cause repeated drains. */
	readonly retryDelayMilliseconds: number;
	/** A rebooted instance that is not back in service within this time has failed. */
	readonly verifyTimeoutMilliseconds: number;
	/** An instance that is missing for this time counts as removed from the fleet. */
	readonly removeMissingAfterMilliseconds: number;
};

export const defaultTiming: FleetTiming = {
	drainTimeoutMilliseconds: 600_000,
	retryDelayMilliseconds: 1_800_000,
	verifyTimeoutMilliseconds: 900_000,
	removeMissingAfterMilliseconds: 86_400_000,
};

export type FleetRules = {
	/** Zones with active maintenance steps at the same time; 1 by default, so that a faulty change affects one zone only. */
	readonly maximumZonesAtOnce: number;
	/** Steps that are announced in advance. */
	readonly maximumPlannedSteps: number;
	/** No further steps begin in any zone once this many instances have failed in maintenance. */
	readonly failedRebootsToStop: number;
	readonly timing: FleetTiming;
} & BudgetRules;
