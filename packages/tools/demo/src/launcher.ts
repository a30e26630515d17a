/**
 * Starts stand-ins and entry instances as child processes on free loopback
 * ports, and kills them on shutdown.
 */
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {createServer} from 'node:net';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {RunRecord} from '@turmericbay/fakes';
import type {
	AvailabilityZone, InstanceId, InstanceRecord, PoolName, RackName,
} from '@turmericbay/types';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {ManagedProcess} from './child-process.js';
import {startProcess, startProcessWithReadyLine, waitUntil} from './child-process.js';
import type {PlatformControlClient, UpstreamControlClient} from './control-clients.js';
import {createPlatformControlClient, createUpstreamControlClient} from './control-clients.js';
import type {EntryEndpoints, SettingOverrides} from './entry-settings.js';
import {renderEntrySettings} from './entry-settings.js';
import {isHealthy} from './health-check.js';

export type PlatformProcess = ManagedProcess & {
	/** Base URL of the platform's services. */
	readonly url: string;
	readonly control: PlatformControlClient;
};

export type UpstreamProcess = ManagedProcess & {
	readonly record: InstanceRecord;
	readonly control: UpstreamControlClient;
	/** Runs started so far, read from a file that remains after the process is killed. */
	readStartedRuns(): Promise<readonly RunRecord[]>;
};

export type EntryProcess = ManagedProcess & {
	readonly endpoints: EntryEndpoints;
	readonly record: InstanceRecord;
	/** Base URLs of the listeners for callers and operators. */
	readonly callersUrl: string;
	readonly operationsUrl: string;
};

export type Launcher = {
	/** Loopback address of the stand-ins and of the forwarders between zones; the operating system chooses their ports. */
	readonly host: string;
	/** Temporary folder that `shutDown` removes. */
	readonly folder: string;
	/** Loopback address of the entry instances. Only they listen there, so that their ports stay free while they are down. */
	readonly entryHost: string;
	/** Finds distinct free ports on `entryHost`. */
	findFreePorts(count: number): Promise<readonly number[]>;
	startPlatform(options?: {readonly listLagMilliseconds?: number; readonly rebootMilliseconds?: number}): Promise<PlatformProcess>;
	startUpstream(options: {
		readonly instance: InstanceId;
		readonly pool: PoolName;
		readonly zone: AvailabilityZone;
		readonly rack?: RackName;
		readonly slots?: number;
		readonly runMilliseconds?: number;
	}): Promise<UpstreamProcess>;
	/** Resolves once the health check passes; readiness also needs a configuration document, see `waitUntilReady`. */
	startEntry(options: {
		readonly endpoints: EntryEndpoints;
		readonly members: readonly EntryEndpoints[];
		readonly platformUrl: string;
		readonly overrides?: SettingOverrides;
	}): Promise<EntryProcess>;
	waitUntilReady(entries: readonly EntryProcess[], timeoutMilliseconds?: number): Promise<void>;
	/** Adds a function that `shutDown` calls. */
	onShutdown(cleanUp: () => void): void;
	/** Kills all running processes, calls the functions added by `onShutdown` and removes the temporary folder. */
	shutDown(): Promise<void>;
};

const defaultReadyTimeoutMilliseconds = 20_000;

/** Resolved through the package name, so that it works wherever npm links the package. */
const platformProgram = fileURLToPath(new URL('platform-main.js', import.meta.resolve('@turmericbay/fakes')));
const upstreamProgram = fileURLToPath(new URL('upstream-main.js', import.meta.resolve('@turmericbay/fakes')));
const daemonProgram = fileURLToPath(new URL('../../../../programs/daemon/dist/src/main.js', import.meta.url));

/**
 * Each launcher chooses random loopback addresses. Outgoing connections use
 * ephemeral ports of 127.0.0.1, so a port that is free for a moment, as during
 * a restart, could be taken by one of them on that address.
 */
const chooseLoopbackAddress = (): string => `127.${randomInt(1, 255)}.${randomInt(0, 256)}.${randomInt(1, 255)}`;

const findFreePorts = async (host: string, count: number): Promise<readonly number[]> => {
	const servers = await Promise.all(Array.from({length: count}, async () => {
		const server = createServer().listen(0, host);
		await once(server, 'listening');
		return server;
	}));
	return Promise.all(servers.map(async server => {
		const address = server.address();
		server.close();
		await once(server, 'close');
		return typeof address === 'object' && address !== null ? address.port : 0;
	}));
};

type ReadyLine = {readonly port: number; readonly controlPort: number};

const isReadyLine = (value: unknown): value is ReadyLine =>
	typeof value === 'object' && value !== null && 'port' in value && 'controlPort' in value;

const parseReadyLine = (line: string): ReadyLine => {
	const value: unknown = JSON.parse(line);
	if (!isReadyLine(value)) {
		throw new Error(`first line of output is not a ready message: ${line}`);
	}

	return value;
};

/** The stand-in writes one JSON object per line and never part of a line. */
const readRunLog = async (file: string): Promise<readonly RunRecord[]> => {
	const text = await readFile(file, 'utf8');
	return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as RunRecord); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
};

const killOnExit = (running: ReadonlySet<ManagedProcess>): (() => void) => {
	const killAll = (): void => {
		for (const managed of running) {
			void managed.kill();
		}
	};

	const interrupt = (): void => {
		killAll();
		process.exit(130); // eslint-disable-line unicorn/no-process-exit -- Ends the program on SIGINT and SIGTERM.
	};

	process.once('exit', killAll);
	process.once('SIGINT', interrupt);
	process.once('SIGTERM', interrupt);
	return () => {
		process.off('exit', killAll);
		process.off('SIGINT', interrupt);
		process.off('SIGTERM', interrupt);
	};
};

export const createLauncher = async (): Promise<Launcher> => {
	const host = chooseLoopbackAddress();
	const entryHost = chooseLoopbackAddress();
	const folder = await mkdtemp(path.join(tmpdir(), 'turmericbay-'));
	const running = new Set<ManagedProcess>();
	const removeExitHandlers = killOnExit(running);
	const cleanUps: Array<() => void> = [];
	let startCount = 0;

	const track = <Process extends ManagedProcess>(managed: Process): Process => {
		running.add(managed);
		void managed.exited.then(() => {
			running.delete(managed);
		});
		return managed;
	};

	const createIncarnation = (name: string): {readonly incarnation: string; readonly logFile: string} => {
		startCount++;
		return {incarnation: `${name}-run-${startCount}`, logFile: path.join(folder, `${name}-${startCount}.log`)};
	};

	const startStandIn = async (options: {readonly name: string; readonly file: string; readonly programArguments: readonly string[]}) => {
		const run = createIncarnation(options.name);
		const {managed, readyLine} = await startProcessWithReadyLine({...options, programArguments: ['--host', host, ...options.programArguments], logFile: run.logFile});
		return {managed: track(managed), ready: parseReadyLine(readyLine), incarnation: run.incarnation};
	};

	return {
		host,
		folder,
		entryHost,
		findFreePorts: async count => findFreePorts(entryHost, count),
		async startPlatform({listLagMilliseconds = 0, rebootMilliseconds = 1000} = {}) {
			const {managed, ready} = await startStandIn({
				name: 'platform', file: platformProgram, programArguments: ['--list-lag', String(listLagMilliseconds), '--reboot-time', String(rebootMilliseconds)],
			});
			return {...managed, url: `http://${host}:${ready.port}`, control: createPlatformControlClient(`http://${host}:${ready.controlPort}`)};
		},
		async startUpstream({instance, pool, zone, rack = `${zone}-rack-1`, slots = 8, runMilliseconds = 0}) {
			const runLog = path.join(folder, `${instance}-runs-${startCount}`);
			await writeFile(runLog, '');
			const {managed, ready, incarnation} = await startStandIn({
				name: instance, file: upstreamProgram, programArguments: ['--instance', instance, '--slots', String(slots), '--run-time', String(runMilliseconds), '--run-log', runLog],
			});
			const record: InstanceRecord = {
				instance, incarnation, address: `${host}:${ready.port}`, role: InstanceRole.Upstream, pool, zone, rack, state: InstanceState.Live,
			};
			return {
				...managed, record, control: createUpstreamControlClient(`http://${host}:${ready.controlPort}`), readStartedRuns: async () => readRunLog(runLog),
			};
		},
		async startEntry({endpoints, members, platformUrl, overrides}) {
			const {instance, zone, ports} = endpoints;
			const {incarnation, logFile} = createIncarnation(instance);
			const settingsFile = path.join(folder, `${instance}.ini`);
			await writeFile(settingsFile, renderEntrySettings({
				endpoints, members, platformUrl, overrides,
			}));
			const managed = track(startProcess({
				name: instance, file: daemonProgram, programArguments: ['--settings', settingsFile], logFile,
			}));
			const operationsUrl = `http://${endpoints.host}:${ports.operations}`;
			await waitUntil({
				description: `${instance} has started`,
				async condition() {
					if (!managed.isRunning()) {
						throw new Error(`${instance} ended while starting:\n${await managed.readLog()}`);
					}

					return isHealthy(`${operationsUrl}/healthz`);
				},
				timeoutMilliseconds: defaultReadyTimeoutMilliseconds,
			});
			const record: InstanceRecord = {
				instance, incarnation, address: `${endpoints.host}:${ports.callers}`, role: InstanceRole.Entry, pool: 'entry', zone, rack: `${zone}-rack-1`, state: InstanceState.Live,
			};
			return {
				...managed, endpoints, record, callersUrl: `http://${record.address}`, operationsUrl,
			};
		},
		async waitUntilReady(entries, timeoutMilliseconds = defaultReadyTimeoutMilliseconds) {
			await Promise.all(entries.map(async ({name, operationsUrl}) => waitUntil({
				description: `${name} is ready`, condition: async () => isHealthy(`${operationsUrl}/readyz`), timeoutMilliseconds,
			})));
		},
		onShutdown(cleanUp) {
			cleanUps.push(cleanUp);
		},
		async shutDown() {
			await Promise.all([...running].map(async managed => managed.kill()));
			for (const cleanUp of cleanUps.splice(0)) {
				cleanUp();
			}

			removeExitHandlers();
			await rm(folder, {recursive: true, force: true});
		},
	};
};
