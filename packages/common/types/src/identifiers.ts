/**
 * Identifiers shared by all packages. They are plain strings on the wire and
 * in the configuration document; the aliases name what a string identifies.
 */

/** Name of one machine in the platform's instance list. */
export type InstanceId = string;

/** Identifies one run of a process on an instance; a restart gets a new one. */
export type Incarnation = string;

export type PoolName = string;
export type TeamName = string;
export type QueueName = string;
export type AvailabilityZone = string;
export type RackName = string;
export type RegionName = string;

/** Version of the configuration document; starts at 1 and only increases. */
export type DocumentVersion = number;
