/**
 * A small deployment on loopback for the cases of this review: the store of `platform/stand-ins`, simulated runners on top of
 * `@turmericbay/worker-model`, callers, and the project's own program as separate processes with the command of the deploy file.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as sendRequest} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {startStoreServer} from '../../platform/dist/stand-ins/store-server.js';
import {startRunner} from './runner.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
const host = '127.0.0.1';
/** Exit codes for run-case.sh. Node uses 1 for errors of its own. */
const brokenExitCode = 11;
const failedExitCode = 2;
/** No case runs longer. */
const longestRunMilliseconds = 115_000;
/** `heartbeatMs` of the settings. */
const heartbeatMilliseconds = 1500;
const parentCheckMilliseconds = 500;
const callTimeoutMilliseconds = 3000;
export const queueHost = 'jobs.example';

export const sleep = async milliseconds => {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
};

/** Polls until the function returns a value other than undefined and false; undefined if it does not in time. */
export const waitFor = async (probe, timeoutMilliseconds, intervalMilliseconds = 20) => {
	const deadline = performance.now() + timeoutMilliseconds;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- Polls.
		const value = await probe();
		if (value !== undefined && value !== false) {
			return value;
		}

		if (performance.now() > deadline) {
			return undefined;
		}

		// eslint-disable-next-line no-await-in-loop -- Polls.
		await sleep(intervalMilliseconds);
	}
};

/** The case could not run: exit code 2. */
export class CannotRunError extends Error {
	name = 'CannotRunError';
}

/** Below the ports that the system gives to outgoing connections, which could take a port before its process listens. Each run has a block of its own. */
const lowestPort = 20_000;
const portsPerRun = 20;
const portBlocks = 600;
let nextPort = lowestPort + ((process.pid % portBlocks) * portsPerRun);

const isFree = async port => new Promise(resolve => {
	const probe = createTcpServer();
	probe.on('error', () => {
		resolve(false);
	});
	probe.listen(port, host, () => {
		probe.close(() => {
			resolve(true);
		});
	});
});

const findFreePort = async () => {
	for (;;) {
		const port = nextPort;
		nextPort += 1;
		// eslint-disable-next-line no-await-in-loop -- One port after the other.
		if (await isFree(port)) {
			return port;
		}
	}
};

const readDeployCommand = () => {
	const line = /^run = "(?<command>.+)"$/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'));
	if (!line) {
		throw new CannotRunError('deploy/system.toml names no command');
	}

	return line.groups.command.split(' ');
};

/** One HTTP request; undefined without a complete response. */
export const call = async ({address, method, target, headers = {}, body, timeoutMilliseconds = callTimeoutMilliseconds}) => new Promise(resolve => {
	const [hostname, port] = address.split(':');
	const outgoing = sendRequest({
		hostname, port, method, path: target, agent: false,
		headers: {...headers, ...(body !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)})},
	}, response => {
		const chunks = [];
		response.on('data', chunk => {
			chunks.push(chunk);
		});
		response.on('end', () => {
			const text = Buffer.concat(chunks).toString('utf8');
			resolve({status: response.statusCode, body: text === '' ? {} : JSON.parse(text)});
		});
		response.on('error', () => {
			resolve(undefined);
		});
	});
	outgoing.setTimeout(timeoutMilliseconds, () => {
		outgoing.destroy();
	});
	outgoing.on('error', () => {
		resolve(undefined);
	});
	outgoing.end(body);
});

const createRecord = file => {
	const startedAt = performance.now();
	writeFileSync(file, '');
	return text => {
		appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`);
	};
};

/** An entry instance: one process with the command of the deploy file. */
const createInstance = ({name, settingsFile, folder, record}) => {
	const [program, ...arguments_] = readDeployCommand();
	let child;
	let isEndExpected = false;
	let onOwnEnd;
	const start = () => {
		const log = openSync(path.join(folder, `${name}.log`), 'a');
		const started = spawn(program === 'node' ? process.execPath : program, arguments_, {
			cwd: root, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME, TURMERICBAY_BOOT: settingsFile},
		});
		closeSync(log);
		isEndExpected = false;
		started.on('exit', (code, signal) => {
			record(`process ${name} ended: ${signal ?? code}`);
			if (child === started && !isEndExpected) {
				onOwnEnd?.();
			}
		});
		child = started;
		record(`process ${name} started`);
	};

	return {
		name,
		start,
		/** Called each time the process ends by itself. */
		onOwnEnd(handler) {
			onOwnEnd = handler;
		},
		signal(signal) {
			isEndExpected ||= signal === 'SIGTERM' || signal === 'SIGKILL';
			record(`process ${name} gets ${signal}`);
			child?.kill(signal);
		},
		end() {
			isEndExpected = true;
			child?.kill('SIGKILL');
		},
	};
};

/**
 * `body` gets the site and returns the violations of the rule as lines of text. run-case.sh makes exit code 1 of them, 0 if there are none, 2 if the case could not run.
 * `options.stopMilliseconds` and the other bounds are those of the site that the claim names.
 */
export const runCase = async (folderUrl, options, body) => {
	const folder = fileURLToPath(new URL('.', folderUrl));
	const record = createRecord(path.join(folder, 'record.txt'));
	const work = process.env.REVIEW_WORK ?? mkdtempSync(path.join(tmpdir(), 'turmericbay-review-'));
	const withTrouble = process.env.TROUBLE !== '0';
	const instances = [];
	const runners = [];
	const timers = [];
	let exitCode = failedExitCode;
	const guard = setTimeout(() => {
		record('the case took too long');
		endAll();
		process.exit(failedExitCode); // eslint-disable-line unicorn/no-process-exit -- The code is the interface of a case.
	}, longestRunMilliseconds);
	const endAll = () => {
		for (const instance of instances) {
			instance.end();
		}

		for (const timer of timers) {
			clearInterval(timer);
		}
	};

	process.on('exit', endAll);
	const {ppid} = process;
	timers.push(setInterval(() => {
		if (process.ppid !== ppid) {
			record('run-case.sh has ended');
			process.exit(failedExitCode); // eslint-disable-line unicorn/no-process-exit -- As above.
		}
	}, parentCheckMilliseconds));
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.on(signal, () => {
			endAll();
			process.exit(failedExitCode);
		});
	}

	try {
		record(`trouble: ${withTrouble ? 'yes' : 'no'}`);
		const store = await startStoreServer({expiresLeases: true, pageItems: 500});
		const storeAddress = options.wrapStore ? await options.wrapStore(store.address) : store.address;
		store.put('op/config', options.configuration);
		for (const definition of options.runners) {
			// eslint-disable-next-line no-await-in-loop -- One after the other, in the order of the definitions.
			runners.push(await startRunner({
				...options.runnerBounds, ...definition, host, record,
			}));
		}

		let registeredAt = 0;
		const writeRunners = () => {
			registeredAt = performance.now();
			for (const runner of runners) {
				const value = runner.describe();
				if (value) {
					store.put(`servers/${runner.id}`, value);
				}
			}
		};

		writeRunners();
		timers.push(setInterval(writeRunners, heartbeatMilliseconds));
		const addresses = new Map();
		for (let index = 1; index <= options.instances; index += 1) {
			const name = `entry-${index}`;
			// eslint-disable-next-line no-await-in-loop -- Concurrent searches could return the same ports.
			const [front, readiness, control] = [await findFreePort(), await findFreePort(), await findFreePort()];
			addresses.set(name, {front: `${host}:${front}`, readiness: `${host}:${readiness}`});
			const settingsFile = path.join(work, `${name}.toml`);
			writeFileSync(settingsFile, [
				`nodeName = "${name}"`,
				'role = "entry"',
				'machineClass = "edge"',
				'serves = ["edge","control_plane"]',
				`ip = "${host}"`,
				'zone = "south"',
				'region = "land"',
				'bootstrap = true',
				'discovery = "platform"',
				'entry = "vip"',
				'heartbeatMs = 1500',
				'orders = "invoke"',
				...(options.adviceAddress === undefined ? [] : [`advice = "${options.adviceAddress}"`]),
				'[zones]',
				'south = "land"',
				'[listen]',
				`front = "${host}:${front}"`,
				`readiness = "${host}:${readiness}"`,
				`control = "${host}:${control}"`,
				'[limits]',
				'cpuShare = 0.675',
				'cores = 1',
				'memoryMb = 350',
				'maxFds = 4100',
				'[bounds]',
				...Object.entries(options.bounds).map(([key, value]) => `${key} = ${value}`),
				'[platform]',
				`address = "${storeAddress}"`,
				'form = "kv"',
				'writesPerS = 400',
				'readsPerS = 2000',
				'historyS = 20',
				'valueBytes = 1048576',
				'ttlMinMs = 1000',
				'',
			].join('\n'));
			instances.push(createInstance({
				name, settingsFile, folder: work, record,
			}));
		}

		for (const instance of instances) {
			instance.start();
		}

		const findInstance = name => instances.find(instance => instance.name === name);
		const findOwner = async () => {
			const response = await call({address: store.address, method: 'GET', target: `/-/kv-key?key=${encodeURIComponent('turmericbay/owner')}`});
			return response?.status === 200 ? JSON.parse(Buffer.from(response.body.value, 'base64').toString('utf8')).instance : undefined;
		};

		/** A caller's request to one instance; every request and response is recorded. */
		const request = async (instanceName, method, target, {body: requestBody, key} = {}) => {
			const response = await call({
				address: addresses.get(instanceName).front, method, target, ...(requestBody !== undefined && {body: JSON.stringify(requestBody)}),
				headers: {host: queueHost, 'x-timeout-ms': String(callTimeoutMilliseconds), ...(key !== undefined && {authorization: `Bearer ${key}`})},
			});
			record(`${method} ${target} at ${instanceName}: ${response ? `${response.status} ${JSON.stringify(response.body)}` : 'no response'}`);

			return response;
		};

		const isReady = async name => {
			const response = await call({address: addresses.get(name).readiness, method: 'GET', target: '/-/ready'});
			return response?.status === 200;
		};

		const ready = await waitFor(async () => {
			const states = await Promise.all(instances.map(async ({name}) => isReady(name)));
			return states.every(Boolean) && await findOwner() !== undefined;
		}, 20_000);
		if (!ready) {
			throw new CannotRunError('the instances did not become ready');
		}

		// The owner asks each runner for its first report.
		await sleep(2000);
		const violations = await body({
			withTrouble, record, store, runners, untilRegistration: () => heartbeatMilliseconds - (performance.now() - registeredAt), instances, findInstance, findOwner, request,
		});
		for (const violation of violations) {
			record(`BROKEN ${violation}`);
			process.stdout.write(`${violation}\n`);
		}

		exitCode = violations.length > 0 ? brokenExitCode : 0;
	} catch (error) {
		record(`the case could not run: ${error instanceof CannotRunError ? error.message : error.stack}`);
	}

	clearTimeout(guard);
	endAll();
	record(exitCode === brokenExitCode ? 'the rule was broken' : (exitCode === 0 ? 'the rule held' : 'the case could not run'));
	await sleep(200);
	if (process.env.KEEP === '1') {
		process.stdout.write(`logs: ${work}\n`);
	} else {
		rmSync(work, {recursive: true, force: true});
	}

	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- Open connections of the stand-ins would keep the process alive.
};
