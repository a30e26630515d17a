/** Cluster for the soak and the demo on loopback: entry instances and a simulated platform as separate processes, with fault-injecting proxies between them. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {Proxy} from './proxy.js';
import {startProxy} from './proxy.js';

const host = '127.0.0.1';
const instanceCount = 3;
/** Time between the start of the entry instances and the first fault. */
const warmUpMilliseconds = 2000;
const platformProgram = fileURLToPath(new URL('../../../../../platform/dist/stand-ins/site-main.js', import.meta.url));
const bundle = fileURLToPath(new URL('../../../../../target/turmericbay.js', import.meta.url));

/** Observations of the simulated platform; its process writes them as one line of JSON. */
export type PlatformReport = {
	readonly sent: number;
	readonly accepted: number;
	readonly ended: number;
	readonly cancelled: number;
	readonly starts: number;
	readonly violations: ReadonlyArray<{readonly rule: string; readonly at: number; readonly what: string}>;
	readonly unfinished: readonly string[];
};

export type ClusterReport = PlatformReport & {
	/** Processes that exited although no fault ended them. */
	readonly unexpectedExits: readonly string[];
	readonly isPassed: boolean;
	/** Log files of the instances; deleted after a run that passed. */
	readonly logFolder: string;
};

export type Cluster = {
	readonly instances: ReadonlyArray<ReturnType<typeof createInstance>>;
	readonly storeProxy: Proxy;
	readonly workerProxies: readonly Proxy[];
	/** Crashes a worker with all its tasks and restarts it under the same name. */
	crashWorker(index: number): void;
	/** Makes a caller cancel the newest job. */
	cancelJob(): void;
};

export const sleep = async (milliseconds: number): Promise<void> => {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
};

const startPlatform = (folder: string, seed: number) => {
	const child = spawn(process.execPath, [platformProgram, '--instances', String(instanceCount), '--seed', String(seed), '--folder', folder, '--host', host], {stdio: ['pipe', 'pipe', 'inherit']});
	const lines = createInterface({input: child.stdout})[Symbol.asyncIterator]();
	return {
		child,
		send(command: string): void {
			child.stdin.write(`${command}\n`);
		},
		async read<Line>(): Promise<Line> {
			const next = await lines.next();
			if (next.done === true) {
				throw new Error('the simulated platform exited');
			}

			return JSON.parse(next.value) as Line; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- Written by the simulated platform.
		},
	};
};

const createInstance = (options: {readonly name: string; readonly settings: string; readonly logFile: string; readonly onExit: (code: number | undefined) => void}) => {
	const {name, settings, logFile, onExit} = options;
	let child: ChildProcess | undefined;
	let isExitExpected = false;
	const start = (): void => {
		isExitExpected = false;
		const log = openSync(logFile, 'a');
		const startedChild = spawn(process.execPath, [bundle], {env: {...process.env, TURMERICBAY_BOOT: settings}, stdio: ['ignore', log, log]}); // eslint-disable-line @typescript-eslint/naming-convention -- Environment variable.
		closeSync(log);
		child = startedChild;
		startedChild.on('exit', code => {
			if (!isExitExpected && child === startedChild) {
				onExit(code ?? undefined);
			}
		});
	};

	start();
	return {
		name,
		signal(signal: NodeJS.Signals): void {
			isExitExpected ||= signal === 'SIGKILL' || signal === 'SIGTERM';
			child?.kill(signal);
		},
		/** Kills the process if it still runs, and starts it again. */
		async restart(afterMilliseconds: number): Promise<void> {
			await sleep(afterMilliseconds);
			isExitExpected = true;
			child?.kill('SIGKILL');
			start();
		},
		kill(): void {
			isExitExpected = true;
			child?.kill('SIGKILL');
		},
	};
};

/** Starts the cluster, injects faults, waits until all accepted jobs have ended, and kills the processes that it started. */
export const runCluster = async (options: {readonly seed: number; readonly injectFaults: (cluster: Cluster) => Promise<void>}): Promise<ClusterReport> => {
	const {seed, injectFaults} = options;
	const folder = await mkdtemp(path.join(tmpdir(), `turmericbay-soak-${seed}-`));
	const unexpectedExits: string[] = [];
	const platform = startPlatform(folder, seed);
	const proxies: Proxy[] = [];
	const instances: Array<ReturnType<typeof createInstance>> = [];
	let isPassed = false;
	try {
		const ports = await platform.read<{store: number; workers: number[]}>();
		const storeProxy = await startProxy({host, targetPort: ports.store});
		const workerProxies = await Promise.all(ports.workers.map(async targetPort => startProxy({host, targetPort})));
		proxies.push(storeProxy, ...workerProxies);
		platform.send(`open ${proxies.map(({port}) => port).join(' ')}`);
		const {settings} = await platform.read<{settings: string[]}>();
		instances.push(...settings.map((file, index) => {
			const name = `entry-${index + 1}`;
			return createInstance({
				name, settings: file, logFile: path.join(folder, `${name}.log`),
				onExit(code) {
					unexpectedExits.push(`${name} exited with ${code ?? 'a signal'}`);
				},
			});
		}));
		await sleep(warmUpMilliseconds);
		await injectFaults({
			instances, storeProxy, workerProxies,
			crashWorker(index) {
				platform.send(`crash ${index}`);
			},
			cancelJob() {
				platform.send('cancel');
			},
		});
		for (const proxy of proxies) {
			proxy.setFault({type: 'none'});
		}

		platform.send('finish');
		const report = await platform.read<PlatformReport>();
		isPassed = report.accepted > 0 && report.violations.length === 0 && report.unfinished.length === 0 && unexpectedExits.length === 0;
		return {
			...report, unexpectedExits, isPassed, logFolder: folder,
		};
	} finally {
		for (const instance of instances) {
			instance.kill();
		}

		for (const proxy of proxies) {
			proxy.close();
		}

		platform.child.kill('SIGKILL');
		if (isPassed) {
			await rm(folder, {recursive: true, force: true});
		}
	}
};
