/**
 * Instances as the platform's instance list shows them. The list reflects
 * changes with a delay.
 */
import type {
	AvailabilityZone, Incarnation, InstanceId, PoolName, RackName,
} from './identifiers.js';

export enum InstanceState {
	Live = 'live',
	/** Gets no new work, for example because it drains or reboots. */
	Leaving = 'leaving',
}

export enum InstanceRole {
	/** Runs the daemon. */
	Entry = 'entry',
	/** Serves requests. */
	Upstream = 'upstream',
	/** Runs tasks of jobs. */
	Worker = 'worker',
}

/**
 * Incarnation of a listed instance whose running process is not known. While the
 * instance is listed with this value, none of its processes counts as gone.
 */
export const unknownIncarnation = '';

export type InstanceRecord = {
	readonly instance: InstanceId;
	readonly incarnation: Incarnation;
	/** IP address and port of the instance's main listener. */
	readonly address: string;
	readonly role: InstanceRole;
	readonly pool: PoolName;
	readonly zone: AvailabilityZone;
	readonly rack: RackName;
	readonly state: InstanceState;
};
