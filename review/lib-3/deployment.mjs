/** Starts the project's program as separate processes with the command of the deploy file, and records what is sent, answered and run. */
import {spawn} from 'node:child_process';
import {
	appendFileSync, closeSync, mkdtempSync, openSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	callOnce, findFreePorts, host, sleep,
} from './http.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));
/** The command of deploy/system.toml. */
const command = ['--max-old-space-size=200', '--min-semi-space-size=16', '--single-threaded-gc', 'target/turmericbay.js'];
const portsPerInstance = 3;

export const isTroubled = process.env.TROUBLE !== '0';

/** Writes lines with the time since the start of the case to the record. */
export const openRecord = folder => {
	const file = path.join(folder, 'record.txt');
	const startedAt = performance.now();
	writeFileSync(file, '');
	return (...words) => {
		const line = `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${words.map(word => typeof word === 'string' ? word : JSON.stringify(word)).join(' ')}`;
		appendFileSync(file, `${line}\n`);
	};
};

const renderSettings = ({name, ports: [front, readiness, control], storeAddress, bounds}) => `
nodeName = "${name}"
role = "entry"
machineClass = "edge"
zone = "zone-a"
region = "region"
ip = "${host}"
orders = "invoke"
[listen]
front = "${host}:${front}"
readiness = "${host}:${readiness}"
control = "${host}:${control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
[bounds]
${Object.entries(bounds).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
valueBytes = 1048576
`;

/** Bounds of the site wr-sued that the program reads; a case may replace some. */
export const siteBounds = {
	graceS: 6, revokeMs: 5000, strictRevoke: true, configApplyMs: 2000, holdMaxMs: 10_000, farFactor: 1.5,
};

export const startInstances = async ({count, storeAddress, record, bounds = siteBounds}) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'turmericbay-review-'));
	const ports = await findFreePorts(count * portsPerInstance);
	const instances = Array.from({length: count}, (_, index) => {
		const name = `entry-${index + 1}`;
		const own = ports.slice(index * portsPerInstance, (index + 1) * portsPerInstance);
		const settings = path.join(folder, `${name}.toml`);
		writeFileSync(settings, renderSettings({
			name, ports: own, storeAddress, bounds,
		}));
		const log = openSync(path.join(folder, `${name}.log`), 'a');
		const start = () => spawn(process.execPath, command, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, TURMERICBAY_BOOT: settings}, stdio: ['ignore', log, log]});
		const instance = {
			name, front: `${host}:${own[0]}`, readiness: `${host}:${own[1]}`, log, child: start(),
			signal(signal) {
				record('signal', signal, name);
				instance.child.kill(signal);
			},
			restart() {
				record('restart', name);
				instance.child = start();
			},
		};
		return instance;
	});

	return {
		instances,
		folder,
		async waitUntilReady() {
			for (const {readiness, name} of instances) {
				for (let attempt = 0; ; attempt += 1) {
					// eslint-disable-next-line no-await-in-loop -- One after the other.
					const answer = await callOnce({
						address: readiness, method: 'GET', path: '/-/ready', timeoutMilliseconds: 500,
					});
					if (answer?.status === 200) {
						break;
					}

					if (attempt > 100) {
						throw new Error(`${name} is not ready`);
					}

					// eslint-disable-next-line no-await-in-loop -- As above.
					await sleep(100);
				}
			}
		},
		end() {
			for (const {child, log} of instances) {
				child.kill('SIGKILL');
				closeSync(log);
			}

			if (process.env.KEEP_LOGS === undefined) {
				rmSync(folder, {recursive: true, force: true});
			}
		},
	};
};

/** The instance that holds the platform's owner key; undefined if there is none. */
export const findOwner = (store, instances) => instances.find(({name}) => name === store.read('turmericbay/owner')?.instance);

/** A consumer of one queue that sends each call once. */
export const createConsumer = ({queueHost, prefix, key, record}) => async (instance, method, id, job) => {
	const body = job === undefined ? undefined : JSON.stringify(job);
	const answer = await callOnce({
		address: instance.front, method, path: prefix + id, body,
		headers: {host: queueHost, authorization: `Bearer ${key}`, 'x-timeout-ms': '3000'},
	});
	record('call', method, prefix + id, 'at', instance.name, '->', answer ? `${answer.status} ${answer.text}` : 'no answer');
	return answer && {status: answer.status, body: answer.text === '' ? undefined : JSON.parse(answer.text)};
};

/** Runs the case and exits: 1 if a rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async main => {
	let code = 2;
	const cleanups = [];
	try {
		const broken = await main(cleanup => {
			cleanups.push(cleanup);
		});
		code = broken ? 1 : 0;
	} catch (error) {
		process.stderr.write(`the case could not run: ${error.stack}\n`);
	}

	for (const cleanup of cleanups.toReversed()) {
		cleanup();
	}

	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- The exit code is the result.
};
