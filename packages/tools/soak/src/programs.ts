/** The programs of a soak or a demo as separate processes on loopback: a stand-in of the platform, proxies, and entry instances. */
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
/** Disturbances begin this long after the first job. */
const warmUpMilliseconds = 2000;
const siteProgram = fileURLToPath(new URL('../../../../../platform/dist/stand-ins/site-main.js', import.meta.url));
const bundle = fileURLToPath(new URL('../../../../../target/turmericbay.js', import.meta.url));

/** What the stand-in of the platform has seen. */
export type SiteReport = {
	readonly sent: number;
	readonly accepted: number;
	readonly ended: number;
	readonly cancelled: number;
	readonly starts: number;
	readonly violations: ReadonlyArray<{readonly rule: string; readonly at: number; readonly what: string}>;
	readonly unfinished: readonly string[];
};

export type ProgramsReport = SiteReport & {
	/** Processes that ended by themselves. */
	readonly exits: readonly string[];
	readonly isSound: boolean;
	/** Log files of the instances; kept only if something was broken. */
	readonly folder: string;
};

export type Programs = {
	readonly instances: ReadonlyArray<ReturnType<typeof createInstance>>;
	readonly storeProxy: Proxy;
	readonly workerProxies: readonly Proxy[];
	/** A worker ends with all that it runs, and starts again under its name. */
	crashWorker(index: number): void;
	/** A caller cancels the newest job. */
	cancelJob(): void;
};

export const pause = async (milliseconds: number): Promise<void> => {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
};

const startSite = (folder: string, seed: number) => {
	const child = spawn(process.execPath, [siteProgram, '--instances', String(instanceCount), '--seed', String(seed), '--folder', folder, '--host', host], {stdio: ['pipe', 'pipe', 'inherit']});
	const lines = createInterface({input: child.stdout})[Symbol.asyncIterator]();
	return {
		child,
		send(command: string): void {
			child.stdin.write(`${command}\n`);
		},
		async read<Line>(): Promise<Line> {
			const next = await lines.next();
			if (next.done === true) {
				throw new Error('the stand-in of the platform has ended');
			}

			return JSON.parse(next.value) as Line; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- Written by our own stand-in.
		},
	};
};

const createInstance = (options: {readonly name: string; readonly settings: string; readonly logFile: string; readonly onExit: (code: number | undefined) => void}) => {
	const {name, settings, logFile, onExit} = options;
	let child: ChildProcess | undefined;
	let isExpected = false;
	const start = (): void => {
		isExpected = false;
		const log = openSync(logFile, 'a');
		const started = spawn(process.execPath, [bundle], {env: {...process.env, TURMERICBAY_BOOT: settings}, stdio: ['ignore', log, log]}); // eslint-disable-line @typescript-eslint/naming-convention -- Name of the variable.
		closeSync(log);
		child = started;
		started.on('exit', code => {
			if (!isExpected && child === started) {
				onExit(code ?? undefined);
			}
		});
	};

	start();
	return {
		name,
		signal(signal: NodeJS.Signals): void {
			isExpected ||= signal === 'SIGKILL' || signal === 'SIGTERM';
			child?.kill(signal);
		},
		/** Ends what is left of it, and starts it again. */
		async restart(afterMilliseconds: number): Promise<void> {
			await pause(afterMilliseconds);
			isExpected = true;
			child?.kill('SIGKILL');
			start();
		},
		end(): void {
			isExpected = true;
			child?.kill('SIGKILL');
		},
	};
};

/** Starts the programs, disturbs them, waits until all accepted jobs have ended, and ends what it has started. */
export const playPrograms = async (options: {readonly seed: number; readonly disturb: (programs: Programs) => Promise<void>}): Promise<ProgramsReport> => {
	const {seed, disturb} = options;
	const folder = await mkdtemp(path.join(tmpdir(), `turmericbay-soak-${seed}-`));
	const exits: string[] = [];
	const site = startSite(folder, seed);
	const proxies: Proxy[] = [];
	const instances: Array<ReturnType<typeof createInstance>> = [];
	let isSound = false;
	try {
		const ports = await site.read<{store: number; workers: number[]}>();
		const storeProxy = await startProxy({host, targetPort: ports.store});
		const workerProxies = await Promise.all(ports.workers.map(async targetPort => startProxy({host, targetPort})));
		proxies.push(storeProxy, ...workerProxies);
		site.send(`open ${proxies.map(({port}) => port).join(' ')}`);
		const {settings} = await site.read<{settings: string[]}>();
		instances.push(...settings.map((file, index) => {
			const name = `entry-${index + 1}`;
			return createInstance({
				name, settings: file, logFile: path.join(folder, `${name}.log`),
				onExit(code) {
					exits.push(`${name} ended with ${code ?? 'a signal'}`);
				},
			});
		}));
		await pause(warmUpMilliseconds);
		await disturb({
			instances, storeProxy, workerProxies,
			crashWorker(index) {
				site.send(`crash ${index}`);
			},
			cancelJob() {
				site.send('cancel');
			},
		});
		for (const proxy of proxies) {
			proxy.setFault({type: 'none'});
		}

		site.send('finish');
		const report = await site.read<SiteReport>();
		isSound = report.accepted > 0 && report.violations.length === 0 && report.unfinished.length === 0 && exits.length === 0;
		return {
			...report, exits, isSound, folder,
		};
	} finally {
		for (const instance of instances) {
			instance.end();
		}

		for (const proxy of proxies) {
			proxy.close();
		}

		site.child.kill('SIGKILL');
		if (isSound) {
			await rm(folder, {recursive: true, force: true});
		}
	}
};
