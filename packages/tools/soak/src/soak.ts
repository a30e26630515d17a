/** One seed of the soak: starts the programs, injects faults in series and overlapping, and returns what was seen. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Proxy, ProxyFault} from './proxy.js';
import {startProxy} from './proxy.js';

const host = '127.0.0.1';
const instanceCount = 3;
/** Faults begin this long after the first job. */
const warmUpMilliseconds = 2000;
const longestPauseMilliseconds = 1500;
const longestFaultMilliseconds = 4000;
/** Longer than the pause between SIGTERM and the end of a process. */
const stopMilliseconds = 4000;
const siteProgram = fileURLToPath(new URL('../../../../../platform/dist/stand-ins/site-main.js', import.meta.url));
const bundle = fileURLToPath(new URL('../../../../../target/turmericbay.js', import.meta.url));

export type SoakReport = {
	readonly sent: number;
	readonly accepted: number;
	readonly ended: number;
	readonly starts: number;
	readonly violations: ReadonlyArray<{readonly rule: string; readonly at: number; readonly what: string}>;
	readonly unfinished: readonly string[];
	/** Processes that ended by themselves. */
	readonly exits: readonly string[];
	readonly faults: readonly string[];
	readonly logFolder: string;
};

const pause = async (milliseconds: number): Promise<void> => {
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

const createInstance = (name: string, settings: string, onExit: (name: string, code: number | undefined) => void) => {
	let child: ChildProcess | undefined;
	let isExpected = false;
	const start = (): void => {
		isExpected = false;
		const started = spawn(process.execPath, [bundle], {env: {...process.env, TURMERICBAY_BOOT: settings}, stdio: 'ignore'}); // eslint-disable-line @typescript-eslint/naming-convention -- Name of the variable.
		child = started;
		started.on('exit', code => {
			if (!isExpected && child === started) {
				onExit(name, code ?? undefined);
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

export const runSoak = async (options: {readonly seed: number; readonly faults: number}): Promise<SoakReport> => {
	const {seed, faults} = options;
	const generator = xoroshiro128plus(seed);
	const draw = (low: number, high: number): number => uniformInt(generator, low, high);
	const choose = <Value>(list: readonly Value[]): Value => list[draw(0, list.length - 1)]!;
	const folder = await mkdtemp(path.join(tmpdir(), `turmericbay-soak-${seed}-`));
	const exits: string[] = [];
	const seen: string[] = [];
	const site = startSite(folder, seed);
	const proxies: Proxy[] = [];
	const instances: Array<ReturnType<typeof createInstance>> = [];
	try {
		const ports = await site.read<{store: number; workers: number[]}>();
		const storeProxy = await startProxy({host, targetPort: ports.store});
		const workerProxies = await Promise.all(ports.workers.map(async targetPort => startProxy({host, targetPort})));
		proxies.push(storeProxy, ...workerProxies);
		site.send(`open ${proxies.map(({port}) => port).join(' ')}`);
		const {settings} = await site.read<{settings: string[]}>();
		instances.push(...settings.map((file, index) => createInstance(`entry-${index + 1}`, file, (name, code) => {
			exits.push(`${name} ended with ${code ?? 'a signal'}`);
		})));
		await pause(warmUpMilliseconds);

		const disturb = async (): Promise<void> => {
			const milliseconds = draw(200, longestFaultMilliseconds);
			const instance = choose(instances);
			const kind = choose(['kill', 'pause', 'stop', 'store', 'worker', 'crash'] as const);
			const link: ProxyFault = choose([
				{type: 'delay', milliseconds: draw(20, 400)},
				{type: 'reset'},
				{type: 'silence', direction: 'both'},
				{type: 'silence', direction: 'to-client'},
				{type: 'silence', direction: 'to-server'},
			] as const);
			seen.push(`${kind} ${kind === 'store' || kind === 'worker' ? JSON.stringify(link) : instance.name} ${milliseconds} ms`);
			switch (kind) {
				case 'kill': {
					instance.signal('SIGKILL');
					await instance.restart(milliseconds / 2);
					break;
				}

				case 'pause': {
					instance.signal('SIGSTOP');
					await pause(milliseconds);
					instance.signal('SIGCONT');
					break;
				}

				case 'stop': {
					instance.signal('SIGTERM');
					await instance.restart(stopMilliseconds);
					break;
				}

				case 'store':
				case 'worker': {
					const proxy = kind === 'store' ? storeProxy : choose(workerProxies);
					proxy.setFault(link);
					await pause(milliseconds);
					proxy.setFault({type: 'none'});
					break;
				}

				case 'crash': {
					site.send(`crash ${draw(0, 100)}`);
					break;
				}
			}
		};

		const running: Array<Promise<void>> = [];
		for (let index = 0; index < faults; index += 1) {
			running.push(disturb());
			// eslint-disable-next-line no-await-in-loop -- Faults begin one after the other and overlap.
			await pause(draw(100, longestPauseMilliseconds));
		}

		await Promise.all(running);
		for (const proxy of proxies) {
			proxy.setFault({type: 'none'});
		}

		site.send('finish');
		const report = await site.read<Omit<SoakReport, 'exits' | 'faults' | 'logFolder'>>();
		return {
			...report, exits, faults: seen, logFolder: folder,
		};
	} finally {
		for (const instance of instances) {
			instance.end();
		}

		for (const proxy of proxies) {
			proxy.close();
		}

		site.child.kill('SIGKILL');
		await rm(folder, {recursive: true, force: true});
	}
};
