/** Data for the status calls, which the daemon collects. All counts are integers. */
import type {
	AvailabilityZone, DocumentVersion, InstanceId, PoolName, TeamName,
} from '@turmericbay/types';

export type EntryInstanceReport = {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly reachable: boolean;
	readonly documentVersion: DocumentVersion;
	readonly platformReachable: boolean;
	readonly confirmationAgeMilliseconds?: number | undefined;
};

export type PoolReport = {
	readonly pool: PoolName;
	/** Instances of the pool in the instance list. */
	readonly instances: number;
	/** Instances that accept work. */
	readonly available: number;
	readonly inFlight: number;
	readonly queued: number;
};

export type TeamReport = {
	readonly team: TeamName;
	readonly share: number;
	readonly limit: number;
	/** Units of the limit that entry instances hold as grants. */
	readonly granted: number;
	readonly running: number;
	readonly queued: number;
};

export type MaintenanceReport = {
	readonly steps: ReadonlyArray<{readonly instance: InstanceId; readonly pool: PoolName; readonly phase: string}>;
	readonly failedInstances: readonly InstanceId[];
	readonly done: number;
	readonly remaining: number;
	/** Undefined until two instances have been maintained in the current period. */
	readonly estimatedSeconds?: number | undefined;
	/** Why no maintenance step can begin; empty if nothing blocks. */
	readonly blockedReason: string;
};

export type StatusSource = {
	/** Fetches the counts of the other entry instances; resolves within a limited time. */
	refresh(): Promise<void>;
	/** All known entry instances, including this one. */
	entryInstances(): readonly EntryInstanceReport[];
	pools(): readonly PoolReport[];
	teams(): readonly TeamReport[];
	maintenance(): MaintenanceReport;
};
