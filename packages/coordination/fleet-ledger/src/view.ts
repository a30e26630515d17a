/** What the deciding process knows at the moment of a tick; input of the decision core. */
import type {
	InstanceId, InstanceRecord, PoolName, ProcessIdentity,
} from '@turmericbay/types';
import type {BudgetRules} from './budgets.js';

/** An entry instance's own statement, as its last message carried it. */
export type RevisionConfirmation = {
	readonly identity: ProcessIdentity;
	/** Newest fleet revision that its routing table follows. */
	readonly fleetRevision: number;
	/** Instances on which it holds sent or chosen work. */
	readonly busyInstances: ReadonlySet<InstanceId>;
};

export type WantedMove = {readonly instance: InstanceId; readonly destination: PoolName};

export type FleetView = {
	readonly self: ProcessIdentity;
	/** The platform's list; only a fresh one may be passed in. */
	readonly instances: ReadonlyMap<InstanceId, InstanceRecord>;
	/** Every entry instance in the list or heard from. */
	readonly entryInstances: readonly ProcessIdentity[];
	readonly confirmations: readonly RevisionConfirmation[];
	readonly wantedMoves: readonly WantedMove[];
	isProvenGone(identity: ProcessIdentity): boolean;
	/** Proven gone, and the longest run time has passed since. */
	hasNoWorkLeft(identity: ProcessIdentity): boolean;
	isHealthy(instance: InstanceId): boolean;
	/** Running work that did not come through an entry instance, such as tasks of jobs. */
	hasRunningTasks(instance: InstanceId): boolean;
};

export type FleetTiming = {
	/** A drain that was not confirmed by then is undone. */
	readonly drainTimeoutMilliseconds: number;
	/** Wait after an undone drain, so that one stuck entry instance causes no drain loop. */
	readonly retryDelayMilliseconds: number;
	/** The instance has failed if it is not back by then. */
	readonly verifyTimeoutMilliseconds: number;
	/** An instance missing for this long was removed, not lost. */
	readonly forgetMilliseconds: number;
};

export const defaultTiming: FleetTiming = {
	drainTimeoutMilliseconds: 600_000,
	retryDelayMilliseconds: 1_800_000,
	verifyTimeoutMilliseconds: 900_000,
	forgetMilliseconds: 86_400_000,
};

export type FleetRules = {
	/** Zones with planned maintenance at the same time; one, so that a faulty change stays in one zone. */
	readonly maximumZonesAtOnce: number;
	/** Steps that are announced before they begin. */
	readonly plannedAhead: number;
	/** Unrecovered instances of the wave that stop it everywhere. */
	readonly maximumFailedReboots: number;
	readonly timing: FleetTiming;
} & BudgetRules;
