/** Starts one instance over the stand-ins, measures it, and ends both processes. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';
import type {Usage} from './usage.js';
import {readUsage} from './usage.js';

export type Limits = {
	readonly memoryMegabytes: number;
	readonly descriptors: number;
	/** Heap of the old generation; replaces the size in the deploy file. */
	readonly heapMegabytes: number;
};

export enum Port {
	Callers = 'callers',
	Readiness = 'readiness',
	Peers = 'peers',
}

/** Written by the stand-ins as one line of JSON. */
export type ClientSite = {
	readonly settings: string;
	readonly address: string;
	readonly ports: Readonly<Record<Port, number>>;
	/** Host and API key of the requests that callers send. */
	readonly host: string;
	readonly apiKey: string;
	readonly maximumBodyBytes: number;
	/** Path of a job without its ID. */
	readonly jobPrefix: string;
	readonly readinessPath: string;
	readonly metricsPath: string;
	/** Path at which instances send jobs to each other. */
	readonly peerJobsPath: string;
	readonly jobBody: string;
};

export type Instance = {
	readonly site: ClientSite;
	hasEnded(): boolean;
	/** SIGSTOP. */
	pause(): void;
	/** SIGCONT. */
	resume(): void;
	/** Exit code or signal; undefined while the process runs. */
	getExit(): string | undefined;
	/** Open sockets and pipes; 0 once the process has ended. */
	countSockets(): number;
	/** Highest values so far; they remain after the process has ended. */
	measure(): Usage;
	readLog(): Promise<string>;
	/** Ends the processes by their IDs. */
	close(): Promise<void>;
};

const sampleMilliseconds = 100;
const root = fileURLToPath(new URL('../../../../../', import.meta.url));
const standInProgram = path.join(root, 'platform/dist/stand-ins/client-site-main.js');
const deployFile = path.join(root, 'deploy/system.toml');
const bundle = path.join(root, 'target/turmericbay.js');

/** Flags of the interpreter in the deploy file, with another heap size. */
const readFlags = (heapMegabytes: number): readonly string[] => {
	const deployment = parse(readFileSync(deployFile, 'utf8')) as {roles: Record<string, {run: string}>}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- A file of this repository.
	const flags = Object.values(deployment.roles)[0]!.run.split(' ').filter(word => word.startsWith('--'));
	const heapFlag = '--max-old-space-size=';
	if (!flags.some(flag => flag.startsWith(heapFlag))) {
		throw new Error(`${deployFile} sets no heap size`);
	}

	return flags.map(flag => flag.startsWith(heapFlag) ? `${heapFlag}${heapMegabytes}` : flag);
};

const end = async (child: ChildProcess): Promise<void> => {
	if (child.pid !== undefined && child.exitCode === null && child.signalCode === null) {
		const exited = once(child, 'exit');
		child.kill('SIGKILL');
		await exited;
	}
};

export const startInstance = async (limits: Limits): Promise<Instance> => {
	const folder = await mkdtemp(path.join(tmpdir(), 'turmericbay-clients-'));
	const standInArguments = ['--folder', folder, '--memory', String(limits.memoryMegabytes), '--descriptors', String(limits.descriptors)];
	const standIns = spawn(process.execPath, [standInProgram, ...standInArguments], {stdio: ['pipe', 'pipe', 'inherit']});
	const [line] = await once(createInterface({input: standIns.stdout}), 'line') as [string]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- Event of the line reader.
	const site = JSON.parse(line) as ClientSite; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- Written by the stand-ins.

	const logFile = path.join(folder, 'instance.log');
	const log = openSync(logFile, 'a');
	// The shell lowers its own limit and becomes the program, so the process ID is that of the program.
	const child = spawn('/bin/sh', ['-c', 'ulimit -n "$0" && exec "$@"', String(limits.descriptors), process.execPath, ...readFlags(limits.heapMegabytes), bundle], {
		cwd: root, env: {...process.env, TURMERICBAY_BOOT: site.settings}, stdio: ['ignore', log, log], // eslint-disable-line @typescript-eslint/naming-convention -- Environment variable.
	});
	closeSync(log);

	let peak: Usage = {peakResidentKilobytes: 0, descriptors: 0, sockets: 0};
	const readCurrentUsage = (): Usage | undefined => child.pid === undefined ? undefined : readUsage(child.pid);
	const sample = (): void => {
		const usage = readCurrentUsage();
		if (usage) {
			peak = {
				peakResidentKilobytes: Math.max(peak.peakResidentKilobytes, usage.peakResidentKilobytes),
				descriptors: Math.max(peak.descriptors, usage.descriptors), sockets: Math.max(peak.sockets, usage.sockets),
			};
		}
	};

	const sampleTimer = setInterval(sample, sampleMilliseconds);
	const getExit = (): string | undefined => child.signalCode ?? (child.exitCode === null ? undefined : String(child.exitCode));
	const killAll = (): void => {
		child.kill('SIGKILL');
		standIns.kill('SIGKILL');
	};

	// AVA ends this process without a teardown if a test hangs.
	process.once('exit', killAll);
	return {
		site, getExit,
		countSockets: () => readCurrentUsage()?.sockets ?? 0,
		measure() {
			sample();
			return peak;
		},
		hasEnded: () => getExit() !== undefined,
		pause() {
			child.kill('SIGSTOP');
		},
		resume() {
			child.kill('SIGCONT');
		},
		readLog: async () => readFile(logFile, 'utf8'),
		async close() {
			clearInterval(sampleTimer);
			await Promise.all([end(child), end(standIns)]);
			process.off('exit', killAll);
			await rm(folder, {recursive: true, force: true});
		},
	};
};
