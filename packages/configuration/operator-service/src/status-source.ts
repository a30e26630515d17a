/** What the status calls report; the daemon gathers it. Counts are whole numbers. */
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
	/** Instances that the platform lists. */
	readonly instances: number;
	/** Instances that take work. */
	readonly available: number;
	readonly inFlight: number;
	readonly queued: number;
};

export type TeamReport = {
	readonly team: TeamName;
	readonly share: number;
	readonly limit: number;
	/** Units of the limit that entry instances hold. */
	readonly granted: number;
	readonly running: number;
	readonly queued: number;
};

export type MaintenanceReport = {
	readonly steps: ReadonlyArray<{readonly instance: InstanceId; readonly pool: PoolName; readonly phase: string}>;
	readonly failedInstances: readonly InstanceId[];
	readonly done: number;
	readonly remaining: number;
	/** Undefined while nothing has finished yet. */
	readonly estimatedSeconds?: number | undefined;
	/** Why no step begins; empty if nothing blocks. */
	readonly blockedReason: string;
};

export type StatusSource = {
	/** Asks the other entry instances for their figures; ends within a bounded time. */
	refresh(): Promise<void>;
	/** All known entry instances, the answering one included. */
	entryInstances(): readonly EntryInstanceReport[];
	pools(): readonly PoolReport[];
	teams(): readonly TeamReport[];
	maintenance(): MaintenanceReport;
};
