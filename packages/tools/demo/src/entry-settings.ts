/** Settings files of entry instances. */
import type {AvailabilityZone, InstanceId} from '@turmericbay/types';
import {stringify} from 'ini';

export type EntryPorts = {
	readonly callers: number;
	readonly operations: number;
	readonly peers: number;
};

export type EntryPlace = {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	/** Loopback address of all its listeners. */
	readonly host: string;
	readonly ports: EntryPorts;
};

/** Further settings by section and key; they win over those below. */
export type SettingOverrides = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

/** For loopback only: these secrets stand in the source. */
export const operatorToken = 'operator-token-on-loopback';
const peerSecret = 'peer-secret-on-loopback';

const listen = (host: string, port: number): string => `${host}:${port}`;

export const renderEntrySettings = (options: {
	readonly place: EntryPlace;
	readonly members: readonly EntryPlace[];
	/** Base address of the platform's services. */
	readonly platformUrl: string;
	readonly overrides?: SettingOverrides;
}): string => {
	const {place, members, platformUrl, overrides = {}} = options;
	const others = members.filter(({instance}) => instance !== place.instance);
	const sections: SettingOverrides = {
		instance: {id: place.instance, zone: place.zone, region: 'region-1'},
		callers: {listen: listen(place.host, place.ports.callers)},
		operations: {listen: listen(place.host, place.ports.operations), token: operatorToken},
		peers: {
			listen: listen(place.host, place.ports.peers),
			secret: peerSecret,
			// The INI library takes a dot in a section for a subsection, but leaves keys as they are.
			...Object.fromEntries(others.map(({instance, zone, host, ports}) => [`member.${instance}`, `${zone},${listen(host, ports.peers)}`])),
		},
		platform: {'key-value': platformUrl, instances: platformUrl},
		shutdown: {'balancer-lag-seconds': 2, 'bound-seconds': 20},
	};
	const merged = Object.fromEntries([...new Set([...Object.keys(sections), ...Object.keys(overrides)])]
		.map(section => [section, {...sections[section], ...overrides[section]}]));
	return stringify(merged);
};
