/** Generates configuration documents and instance lists for a fleet size. */
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceRecord} from '@turmericbay/types';

export type FleetSize = {
	readonly zones: number;
	readonly entriesPerZone: number;
	/** Upstreams in the platform's instance list, besides the entry instances. */
	readonly workers: number;
	readonly pools: number;
	readonly teams: number;
};

const instancesPerRack = 4;

const listNames = (prefix: string, count: number): readonly string[] => Array.from({length: count}, (_, index) => `${prefix}-${index + 1}`);

export const listZones = ({zones}: FleetSize): readonly string[] => listNames('zone', zones);

export const createSizedDocument = (size: FleetSize): unknown => {
	const pools = listNames('pool', size.pools);
	const teams = listNames('team', size.teams);
	return {
		schemaVersion: 1,
		pools: Object.fromEntries(pools.map(pool => [pool, {kind: 'upstream'}])),
		teams: Object.fromEntries(teams.map(team => [team, {share: 1, limit: 100}])),
		queues: Object.fromEntries(pools.map(pool => [`queue-${pool}`, {pool}])),
		maintenance: {enabled: false},
	};
};

/** Instances that exist only in the platform's list; nothing is sent to them. */
export const listSizedInstances = (size: FleetSize): readonly InstanceRecord[] => {
	const zones = listZones(size);
	return Array.from({length: size.workers}, (_, index) => ({
		instance: `worker-${index + 1}`,
		incarnation: `boot-${index + 1}`,
		address: '127.0.0.1:9',
		role: InstanceRole.Upstream,
		pool: `pool-${(index % size.pools) + 1}`,
		zone: zones[index % zones.length] ?? '',
		rack: `rack-${Math.floor(index / instancesPerRack)}`,
		state: InstanceState.Live,
	}));
};
