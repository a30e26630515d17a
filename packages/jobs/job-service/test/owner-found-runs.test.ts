/** Runs that a worker reports and that no record names, across a change of the owner. */
import type {RunReport} from '@turmericbay/scheduler';
import type {StoredEntry} from '@turmericbay/types';
import test from 'ava';
import {ok} from 'neverthrow';
import type {JobStore} from '../src/index.js';
import {createOwner} from '../src/owner.js';
import type {OwnerLog} from '../src/owner-log.js';
import type {Configuration, PlatformRecordCodec, WorkerClient} from '../src/ports.js';
import {jobPrefix, runPrefix} from '../src/records.js';
import {wait} from '../src/wait.js';
import {createDeclaration, createRegistration} from './support/builders.js';

const recordCodec: Pick<PlatformRecordCodec, 'workerPrefix' | 'wavePrefix' | 'decodeWorker'> = {
	workerPrefix: 'workers/', wavePrefix: 'waves/',
	decodeWorker: ({key}) => createRegistration({id: key.slice('workers/'.length), address: `${key}:1`}),
};
const configuration: Configuration = {
	version: 1, queuesByHost: new Map(), maximumBodyBytes: 1000, pools: new Map(), workspaces: new Map(), workspaceByApiKey: new Map(),
	queues: new Map([['queue-1', {
		name: 'queue-1', pool: 'pool-1', priority: 0, maximumAttempts: 2, stretch: 2, objectiveMilliseconds: 600, advice: undefined,
	}]]),
};
const declaration = createDeclaration('job');
const foundRun: RunReport['running'][number] = {
	task: 'job.0.0.0', run: 7, checkpoint: '', percent: 10, latencyOrCpuUsage: 0,
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- Polls.
		await wait(5);
	}
};

/** A store and two workers that outlive the owners. Time stands still unless the test advances it. */
const createFixture = () => {
	let now = 100_000;
	let revision = 10;
	const entries = new Map<string, StoredEntry>();
	const put = (key: string, value: string): void => {
		revision += 1;
		entries.set(key, {key, value, modifiedRevision: revision});
	};

	put('workers/executing', '');
	put('workers/idle', '');
	put(`${jobPrefix}job`, JSON.stringify(declaration));
	const unused = async (): Promise<never> => {
		throw new Error('not used');
	};

	const store: JobStore = {
		read: async ({key}) => ok(entries.get(key)),
		list: async ({prefix}) => ok({entries: [...entries.values()].filter(({key}) => key.startsWith(prefix)), revision, more: false}),
		readChanges: unused,
		async transact({operations}) {
			for (const operation of operations) {
				if (operation.type === 'put') {
					put(operation.key, operation.value);
				} else if (operation.type === 'delete') {
					entries.delete(operation.key);
				}
			}

			return ok({type: 'committed', revision});
		},
		grantLease: async () => ok({leaseId: 'lease-1'}), renewLease: unused, revokeLease: unused,
		watch({onStart}) {
			setImmediate(() => onStart?.());
			return {stop: () => undefined};
		},
	};
	const started: string[] = [];
	const answers = new Map([['executing', 0], ['idle', 0]]);
	let isCutOff = false;
	const response = () => ({clockMilliseconds: now, incarnation: 1});
	const workerClient: WorkerClient = {
		async start({worker, task}) {
			started.push(`${task} on ${worker.id}`);
			return ok({...response(), rejection: undefined});
		},
		stop: async () => ok(response()),
		async heartbeat({worker}) {
			await wait(20);
			await waitUntil(() => !isCutOff || worker.id !== 'executing');

			answers.set(worker.id, answers.get(worker.id)! + 1);
			return ok({
				...response(), report: {
					incarnation: 1, running: worker.id === 'executing' ? [foundRun] : [], ended: [], hasMoreEnded: false,
				},
			});
		},
		throttle: unused, disconnect: () => undefined,
	};
	const clock = {now: () => now, wallNow: () => now};
	return {
		started, entries,
		advance(milliseconds: number): void {
			now += milliseconds;
		},
		cutOff(): void {
			isCutOff = true;
		},
		reconnect(): void {
			isCutOff = false;
		},
		/** Each worker that can be reached has answered several times since, so that several ticks have passed. */
		async waitForAnswers(worker: string): Promise<void> {
			const reached = answers.get(worker)! + 10;
			await waitUntil(() => answers.get(worker)! >= reached);
		},
		createOwner: async (epoch: number, mayStart: () => boolean) => createOwner({
			store, maximumValueBytes: 1_048_576, workerClient, clock, adviceClient: undefined, machineClient: undefined, instance: `i${epoch}`, workerLeaseMilliseconds: 3500, maximumLeaseMilliseconds: 10_000,
			evacuationMilliseconds: undefined, farFactor: undefined,
			openDispatchChannel: () => ({send: () => undefined, bufferedBytes: () => 0, close: () => undefined}),
			ownership: {epoch, leaseId: 'lease-1', commitRevision: revision}, configuration: () => configuration, getReachedTime: () => undefined, onLost: () => undefined,
			leaseRenewal: {
				isValid: mayStart, isEnded: () => false, renewedAt: clock.now, tick: () => undefined, end: () => undefined,
			},
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that the owner uses without waves and evacuations.
			recordCodec: recordCodec as PlatformRecordCodec,
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The log lines are not examined.
			log: new Proxy({}, {get: () => () => undefined}) as OwnerLog,
		}),
	};
};

// Guards against a task that runs twice at the same time: the owner had adopted a run that no record named, and the next owner, which could not reach the worker, started the task elsewhere.
test('the next owner knows of a run that its predecessor has found on a worker', async t => {
	const fixture = createFixture();
	const {started, entries, advance, cutOff, reconnect, waitForAnswers} = fixture;
	t.teardown(reconnect);
	const first = await fixture.createOwner(2, () => false);
	t.teardown(() => first?.end());
	await waitForAnswers('executing');
	advance(1000);
	await waitForAnswers('executing');
	first?.end();
	cutOff();
	const second = await fixture.createOwner(3, () => true);
	t.teardown(() => second?.end());
	await waitForAnswers('idle');
	t.deepEqual(started, []);
	t.is([...entries.keys()].filter(key => key.startsWith(runPrefix)).length, 1);
});
