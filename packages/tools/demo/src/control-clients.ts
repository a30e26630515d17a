/** Clients of the stand-ins' control ports. */
import type {
	CallCounts, FaultScope, InstanceOrder, PlatformFaults, RunCounts, RunRecord, UpstreamFaultSetting,
} from '@turmericbay/fakes';
import type {InstanceId, InstanceRecord} from '@turmericbay/types';
import {request} from 'undici';

const loopback = 'http://127.0.0.1';

const callControl = async (port: number, path: string, body?: unknown): Promise<unknown> => {
	const response = await request(`${loopback}:${port}${path}`, body === undefined
		? {method: 'GET'}
		: {method: 'POST', body: JSON.stringify(body)});
	const answer = await response.body.json();
	if (response.statusCode !== 200) {
		throw new Error(`control call ${path} failed: ${JSON.stringify(answer)}`);
	}

	return answer;
};

// The stand-in and this client are built from one source tree, so the answers are not checked again.
const read = async <Answer>(port: number, path: string): Promise<Answer> => await callControl(port, path) as Answer; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

const command = (port: number, path: string) => async (body: unknown): Promise<void> => {
	await callControl(port, path, body);
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

export const createPlatformControlClient = (port: number): PlatformControlClient => ({
	setFaults: command(port, '/faults'),
	refuseConnections: async enabled => command(port, '/faults/refuse-connections')({enabled}),
	clearFaults: async () => command(port, '/faults/clear')({}),
	setInstance: command(port, '/instances'),
	removeInstance: async instance => command(port, '/instances/remove')({instance}),
	setListLag: async milliseconds => command(port, '/instances/lag')({milliseconds}),
	readOrders: async () => read(port, '/orders'),
	readInstances: async () => read(port, '/instances'),
	readCounters: async () => read(port, '/counters'),
	resetCounters: async () => command(port, '/counters/reset')({}),
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

export const createUpstreamControlClient = (port: number): UpstreamControlClient => ({
	setFault: command(port, '/fault'),
	setRunTime: async milliseconds => command(port, '/run-time')({milliseconds}),
	readRuns: async () => read(port, '/runs'),
	readRunLog: async () => read(port, '/run-log'),
	readStatistics: async () => read(port, '/statistics'),
	reset: async () => command(port, '/reset')({}),
});
