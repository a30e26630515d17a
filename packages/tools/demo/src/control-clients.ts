/** Clients of the control APIs of the platform and upstream stand-ins. */
import type {
	CallCounts, FaultScope, InstanceOrder, PlatformFaults, RunCounts, RunRecord, UpstreamFaultSetting,
} from '@turmericbay/fakes';
import type {InstanceId, InstanceRecord} from '@turmericbay/types';
import {request} from 'undici';

const callControl = async (baseUrl: string, path: string, body?: unknown): Promise<unknown> => {
	const response = await request(`${baseUrl}${path}`, body === undefined
		? {method: 'GET'}
		: {method: 'POST', body: JSON.stringify(body)});
	const responseBody = await response.body.json();
	if (response.statusCode !== 200) {
		throw new Error(`control call ${path} failed: ${JSON.stringify(responseBody)}`);
	}

	return responseBody;
};

// The stand-in and this client are built from the same source tree, so the response needs no validation.
const read = async <Body>(baseUrl: string, path: string): Promise<Body> => await callControl(baseUrl, path) as Body; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

const createCommand = (baseUrl: string, path: string) => async (body: unknown): Promise<void> => {
	await callControl(baseUrl, path, body);
};

export type PlatformControlClient = {
	setFaults(options: {readonly scope?: FaultScope; readonly faults: Partial<PlatformFaults>}): Promise<void>;
	refuseConnections(isRefusing: boolean): Promise<void>;
	clearFaults(): Promise<void>;
	setInstance(record: InstanceRecord): Promise<void>;
	removeInstance(instance: InstanceId): Promise<void>;
	setListLag(milliseconds: number): Promise<void>;
	readOrders(): Promise<readonly InstanceOrder[]>;
	readInstances(): Promise<readonly InstanceRecord[]>;
	readCounters(): Promise<CallCounts>;
	resetCounters(): Promise<void>;
};

export const createPlatformControlClient = (baseUrl: string): PlatformControlClient => ({
	setFaults: createCommand(baseUrl, '/faults'),
	refuseConnections: async enabled => createCommand(baseUrl, '/faults/refuse-connections')({enabled}),
	clearFaults: async () => createCommand(baseUrl, '/faults/clear')({}),
	setInstance: createCommand(baseUrl, '/instances'),
	removeInstance: async instance => createCommand(baseUrl, '/instances/remove')({instance}),
	setListLag: async milliseconds => createCommand(baseUrl, '/instances/lag')({milliseconds}),
	readOrders: async () => read(baseUrl, '/orders'),
	readInstances: async () => read(baseUrl, '/instances'),
	readCounters: async () => read(baseUrl, '/counters'),
	resetCounters: async () => createCommand(baseUrl, '/counters/reset')({}),
});

export type UpstreamStatistics = {
	readonly received: number;
	readonly running: number;
	readonly maximumRunning: number;
};

export type UpstreamControlClient = {
	setFault(setting: UpstreamFaultSetting): Promise<void>;
	setRunTime(milliseconds: number): Promise<void>;
	readRuns(): Promise<RunCounts>;
	readRunLog(): Promise<readonly RunRecord[]>;
	readStatistics(): Promise<UpstreamStatistics>;
	reset(): Promise<void>;
};

export const createUpstreamControlClient = (baseUrl: string): UpstreamControlClient => ({
	setFault: createCommand(baseUrl, '/fault'),
	setRunTime: async milliseconds => createCommand(baseUrl, '/run-time')({milliseconds}),
	readRuns: async () => read(baseUrl, '/runs'),
	readRunLog: async () => read(baseUrl, '/run-log'),
	readStatistics: async () => read(baseUrl, '/statistics'),
	reset: async () => createCommand(baseUrl, '/reset')({}),
});
