/** Settings files of entry instances. */
import type {AvailabilityZone, InstanceId} from '@turmericbay/types';
import {stringify} from 'ini';

export type EntryPorts = {
	readonly callers: number;
	readonly operations: number;
	readonly peers: number;
};

export type EntryEndpoints = {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	/** Loopback address of all listeners of the instance. */
	readonly host: string;
	readonly ports: EntryPorts;
};

/** Settings by section and key; they take precedence over the defaults of `renderEntrySettings`. */
export type SettingOverrides = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

/** Fixed secrets; safe only because all listeners are on loopback. */
export const operatorToken = 'operator-token-on-loopback';
const peerSecret = 'peer-secret-on-loopback';

const formatAddress = (host: string, port: number): string => `${host}:${port}`;

export const renderEntrySettings = (options: {
	readonly endpoints: EntryEndpoints;
	readonly members: readonly EntryEndpoints[];
	/** Base URL of the platform's services. */
	readonly platformUrl: string;
	readonly overrides?: SettingOverrides;
}): string => {
	const {endpoints, members, platformUrl, overrides = {}} = options;
	const others = members.filter(({instance}) => instance !== endpoints.instance);
	const sections: SettingOverrides = {
		instance: {id: endpoints.instance, zone: endpoints.zone, region: 'region-1'},
		callers: {listen: formatAddress(endpoints.host, endpoints.ports.callers)},
		operations: {listen: formatAddress(endpoints.host, endpoints.ports.operations), token: operatorToken},
		peers: {
			listen: formatAddress(endpoints.host, endpoints.ports.peers),
			secret: peerSecret,
			// The `ini` package reads a dot in a section name as a subsection, but leaves dots in keys alone.
			...Object.fromEntries(others.map(({instance, zone, host, ports}) => [`member.${instance}`, `${zone},${formatAddress(host, ports.peers)}`])),
		},
		platform: {'key-value': platformUrl, instances: platformUrl},
		shutdown: {'balancer-lag-seconds': 2, 'bound-seconds': 20},
	};
	const merged = Object.fromEntries([...new Set([...Object.keys(sections), ...Object.keys(overrides)])]
		.map(section => [section, {...sections[section], ...overrides[section]}]));
	return stringify(merged);
};
