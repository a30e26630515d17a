/**
 * Instances as the platform's list shows them. The list lags behind reality.
 */
import type {
	AvailabilityZone, Incarnation, InstanceId, PoolName, RackName,
} from './identifiers.js';

export enum InstanceState {
	Live = 'live',
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
 * Stands for a listed instance of which it is not known which process runs on
 * it: none of its processes can be proven gone by such a list.
 */
export const unknownIncarnation = '';

export type InstanceRecord = {
	readonly instance: InstanceId;
	readonly incarnation: Incarnation;
	/** Host (IP number) and port of the instance's main listener. */
	readonly address: string;
	readonly role: InstanceRole;
	readonly pool: PoolName;
	readonly zone: AvailabilityZone;
	readonly rack: RackName;
	readonly state: InstanceState;
};
