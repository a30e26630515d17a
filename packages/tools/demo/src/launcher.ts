/**
 * Starts stand-ins and entry instances as child processes on free loopback
 * ports, and ends everything it started.
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
import type {EntryPlace, SettingOverrides} from './entry-settings.js';
import {renderEntrySettings} from './entry-settings.js';
import {answersOk} from './health-check.js';

export type PlatformProcess = ManagedProcess & {
	/** Base address of the platform's services. */
	readonly url: string;
	readonly control: PlatformControlClient;
};

export type UpstreamProcess = ManagedProcess & {
	readonly record: InstanceRecord;
	readonly control: UpstreamControlClient;
	/** Runs started so far; also known after the process was killed. */
	readStartedRuns(): Promise<readonly RunRecord[]>;
};

export type EntryProcess = ManagedProcess & {
	readonly place: EntryPlace;
	readonly record: InstanceRecord;
	/** Base addresses of the listeners for callers and operators. */
	readonly callersUrl: string;
	readonly operationsUrl: string;
};

export type Launcher = {
	/** Loopback address of the stand-ins and of links between zones; the system chooses their ports. */
	readonly host: string;
	/** Temporary folder that `endAll` removes. */
	readonly folder: string;
	/** Loopback address of the entry instances. Only they listen there, so that their ports stay free while they are down. */
	readonly entryHost: string;
	/** Ports of `entryHost` for entry instances, no two of them the same. */
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
	/** Returns once the operations listener answers; `waitUntilReady` waits for the document. */
	startEntry(options: {
		readonly place: EntryPlace;
		readonly members: readonly EntryPlace[];
		readonly platformUrl: string;
		readonly overrides?: SettingOverrides;
	}): Promise<EntryProcess>;
	waitUntilReady(entries: readonly EntryProcess[], boundMilliseconds?: number): Promise<void>;
	/** Called by `endAll`. */
	onEnd(cleanUp: () => void): void;
	/** Kills everything that still runs, calls the clean-ups and removes the temporary folder. */
	endAll(): Promise<void>;
};

const defaultReadyBoundMilliseconds = 20_000;

/** Resolved through the package, so that it works wherever npm links it. */
const platformProgram = fileURLToPath(new URL('platform-main.js', import.meta.resolve('@turmericbay/fakes')));
const upstreamProgram = fileURLToPath(new URL('upstream-main.js', import.meta.resolve('@turmericbay/fakes')));
const daemonProgram = fileURLToPath(new URL('../../../../programs/daemon/dist/src/main.js', import.meta.url));

/**
 * Loopback addresses of its own for each launcher. Outgoing connections start
 * from 127.0.0.1 and take ports there, so a port that is closed for a while,
 * as during a restart, would be lost to them on that address.
 */
const chooseHost = (): string => `127.${randomInt(1, 255)}.${randomInt(0, 256)}.${randomInt(1, 255)}`;

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
		throw new Error(`unexpected ready line: ${line}`);
	}

	return value;
};

/** Lines were written by the stand-in, whole ones at a time. */
const readRunLog = async (file: string): Promise<readonly RunRecord[]> => {
	const text = await readFile(file, 'utf8');
	return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as RunRecord); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
};

const endOnExit = (running: ReadonlySet<ManagedProcess>): (() => void) => {
	const killAll = (): void => {
		for (const managed of running) {
			void managed.kill();
		}
	};

	const interrupt = (): void => {
		killAll();
		process.exit(130); // eslint-disable-line unicorn/no-process-exit -- Ends a tool that was interrupted.
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
	const host = chooseHost();
	const entryHost = chooseHost();
	const folder = await mkdtemp(path.join(tmpdir(), 'turmericbay-'));
	const running = new Set<ManagedProcess>();
	const stopWatchingExit = endOnExit(running);
	const cleanUps: Array<() => void> = [];
	let startCount = 0;

	const track = <Process extends ManagedProcess>(managed: Process): Process => {
		running.add(managed);
		void managed.exited.then(() => {
			running.delete(managed);
		});
		return managed;
	};

	const nextRun = (name: string): {readonly incarnation: string; readonly logFile: string} => {
		startCount++;
		return {incarnation: `${name}-run-${startCount}`, logFile: path.join(folder, `${name}-${startCount}.log`)};
	};

	const startStandIn = async (options: {readonly name: string; readonly file: string; readonly parameters: readonly string[]}) => {
		const run = nextRun(options.name);
		const {managed, readyLine} = await startProcessWithReadyLine({...options, parameters: ['--host', host, ...options.parameters], logFile: run.logFile});
		return {managed: track(managed), ready: parseReadyLine(readyLine), incarnation: run.incarnation};
	};

	return {
		host,
		folder,
		entryHost,
		findFreePorts: async count => findFreePorts(entryHost, count),
		async startPlatform({listLagMilliseconds = 0, rebootMilliseconds = 1000} = {}) {
			const {managed, ready} = await startStandIn({
				name: 'platform', file: platformProgram, parameters: ['--list-lag', String(listLagMilliseconds), '--reboot-time', String(rebootMilliseconds)],
			});
			return {...managed, url: `http://${host}:${ready.port}`, control: createPlatformControlClient(`http://${host}:${ready.controlPort}`)};
		},
		async startUpstream({instance, pool, zone, rack = `${zone}-rack-1`, slots = 8, runMilliseconds = 0}) {
			const runLog = path.join(folder, `${instance}-runs-${startCount}`);
			await writeFile(runLog, '');
			const {managed, ready, incarnation} = await startStandIn({
				name: instance, file: upstreamProgram, parameters: ['--instance', instance, '--slots', String(slots), '--run-time', String(runMilliseconds), '--run-log', runLog],
			});
			const record: InstanceRecord = {
				instance, incarnation, address: `${host}:${ready.port}`, role: InstanceRole.Upstream, pool, zone, rack, state: InstanceState.Live,
			};
			return {
				...managed, record, control: createUpstreamControlClient(`http://${host}:${ready.controlPort}`), readStartedRuns: async () => readRunLog(runLog),
			};
		},
		async startEntry({place, members, platformUrl, overrides}) {
			const {instance, zone, ports} = place;
			const {incarnation, logFile} = nextRun(instance);
			const settingsFile = path.join(folder, `${instance}.ini`);
			await writeFile(settingsFile, renderEntrySettings({
				place, members, platformUrl, overrides,
			}));
			const managed = track(startProcess({
				name: instance, file: daemonProgram, parameters: ['--settings', settingsFile], logFile,
			}));
			const operationsUrl = `http://${place.host}:${ports.operations}`;
			await waitUntil({
				what: `${instance} starts`,
				async condition() {
					if (!managed.isRunning()) {
						throw new Error(`${instance} ended while starting:\n${await managed.readLog()}`);
					}

					return answersOk(`${operationsUrl}/healthz`);
				},
				boundMilliseconds: defaultReadyBoundMilliseconds,
			});
			const record: InstanceRecord = {
				instance, incarnation, address: `${place.host}:${ports.callers}`, role: InstanceRole.Entry, pool: 'entry', zone, rack: `${zone}-rack-1`, state: InstanceState.Live,
			};
			return {
				...managed, place, record, callersUrl: `http://${record.address}`, operationsUrl,
			};
		},
		async waitUntilReady(entries, boundMilliseconds = defaultReadyBoundMilliseconds) {
			await Promise.all(entries.map(async ({name, operationsUrl}) => waitUntil({
				what: `${name} is ready`, condition: async () => answersOk(`${operationsUrl}/readyz`), boundMilliseconds,
			})));
		},
		onEnd(cleanUp) {
			cleanUps.push(cleanUp);
		},
		async endAll() {
			await Promise.all([...running].map(async managed => managed.kill()));
			for (const cleanUp of cleanUps.splice(0)) {
				cleanUp();
			}

			stopWatchingExit();
			await rm(folder, {recursive: true, force: true});
		},
	};
};
