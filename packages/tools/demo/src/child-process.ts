/** Child processes that can be killed, paused, resumed and stopped. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';

export type ExitStatus = {readonly code: number | undefined; readonly signal: string | undefined};

export type ManagedProcess = {
	readonly name: string;
	readonly processId: number;
	readonly exited: Promise<ExitStatus>;
	isRunning(): boolean;
	/** SIGKILL; resolves once the process has ended. */
	kill(): Promise<ExitStatus>;
	/** SIGSTOP: the process keeps its sockets and does nothing until `resume`. */
	pause(): void;
	/** SIGCONT. */
	resume(): void;
	/** SIGTERM; resolves once the process has ended. */
	stop(): Promise<ExitStatus>;
	/** Standard error of the process, and its standard output unless that is read for the ready line. */
	readLog(): Promise<string>;
};

export type StartOptions = {
	readonly name: string;
	/** Path of the program's main module. */
	readonly file: string;
	readonly programArguments: readonly string[];
	readonly logFile: string;
};

const spawnProgram = (options: StartOptions, isOutputRead: boolean): ChildProcess => {
	const log = openSync(options.logFile, 'a');
	const child = spawn(process.execPath, [options.file, ...options.programArguments], {stdio: ['ignore', isOutputRead ? 'pipe' : log, log]});
	closeSync(log);
	return child;
};

const watchExit = async (child: ChildProcess): Promise<ExitStatus> => new Promise(resolve => {
	child.once('exit', (code, signal) => {
		resolve({code: code ?? undefined, signal: signal ?? undefined});
	});
	child.once('error', () => {
		resolve({code: undefined, signal: undefined});
	});
});

const createManagedProcess = (child: ChildProcess, options: StartOptions): ManagedProcess => {
	const exited = watchExit(child);
	const signalAndWait = async (signal: 'SIGKILL' | 'SIGTERM'): Promise<ExitStatus> => {
		child.kill(signal);
		return exited;
	};

	return {
		name: options.name,
		processId: child.pid ?? 0,
		exited,
		isRunning: () => child.pid !== undefined && child.exitCode === null && child.signalCode === null,
		kill: async () => signalAndWait('SIGKILL'),
		pause() {
			child.kill('SIGSTOP');
		},
		resume() {
			child.kill('SIGCONT');
		},
		stop: async () => signalAndWait('SIGTERM'),
		readLog: async () => readFile(options.logFile, 'utf8'),
	};
};

/** Starts a program without waiting until it is ready. */
export const startProcess = (options: StartOptions): ManagedProcess => createManagedProcess(spawnProgram(options, false), options);

/** Starts a program and waits for the first line of its standard output, which it writes when it is ready. */
export const startProcessWithReadyLine = async (options: StartOptions): Promise<{readonly managed: ManagedProcess; readonly readyLine: string}> => {
	const child = spawnProgram(options, true);
	const managed = createManagedProcess(child, options);
	const lines = createInterface({input: child.stdout!});
	const line = once(lines, 'line').then(([text]) => String(text));
	const ended = managed.exited.then(async () => {
		throw new Error(`${options.name} ended before it was ready:\n${await managed.readLog()}`);
	});
	return {managed, readyLine: await Promise.race([line, ended])};
};

const pollMilliseconds = 20;

/** Polls until the condition holds; throws after the timeout. */
export const waitUntil = async (options: {
	readonly description: string;
	readonly condition: () => Promise<boolean> | boolean;
	readonly timeoutMilliseconds: number;
}): Promise<void> => {
	const deadline = performance.now() + options.timeoutMilliseconds;
	// eslint-disable-next-line no-await-in-loop -- One poll at a time.
	while (!await options.condition()) {
		if (performance.now() > deadline) {
			throw new Error(`timed out after ${options.timeoutMilliseconds} ms while waiting until ${options.description}`);
		}

		await sleep(pollMilliseconds); // eslint-disable-line no-await-in-loop
	}
};
