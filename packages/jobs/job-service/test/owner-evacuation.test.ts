/** Guards against a new owner that starts tasks before it knows which zones are evacuated. */
import type {StoredEntry} from '@turmericbay/types';
import test from 'ava';
import {ok} from 'neverthrow';
import type {JobStore} from '../src/index.js';
import {createOwner} from '../src/owner.js';
import type {OwnerLog} from '../src/owner-log.js';
import type {Configuration, PlatformRecordCodec, WorkerClient} from '../src/ports.js';
import {wait} from '../src/wait.js';
import {createDeclaration, createRegistration} from './support/builders.js';

const recordCodec: Pick<PlatformRecordCodec, 'workerPrefix' | 'wavePrefix' | 'evacuationPrefix' | 'decodeWorker' | 'decodeEvacuation'> = {
	workerPrefix: 'workers/', wavePrefix: 'waves/', evacuationPrefix: 'evacuations/',
	decodeWorker: ({key}) => createRegistration({id: key.slice('workers/'.length), zone: key.slice('workers/'.length), address: `${key}:1`}),
	decodeEvacuation: ({key}) => key.slice('evacuations/'.length),
};
const configuration: Configuration = {
	version: 1, queuesByHost: new Map(), maximumBodyBytes: 1000, pools: new Map(), workspaces: new Map(), workspaceByApiKey: new Map(),
	queues: new Map([['queue-1', {
		name: 'queue-1', pool: 'pool-1', priority: 0, maximumAttempts: 2, stretch: 2, objectiveMilliseconds: 600, advice: undefined,
	}]]),
};
const createEntry = (key: string): StoredEntry => ({key, value: '', modifiedRevision: 1});
const unused = async (): Promise<never> => {
	throw new Error('not used');
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- Polls.
		await wait(5);
	}
};

/** An owner with one worker in each of two zones, whose first read of the evacuations waits for the test. */
const createFixture = async () => {
	let answers = 0;
	const startedOn: string[] = [];
	let answerReads: () => void = () => undefined;
	const readsAnswered = new Promise<void>(resolve => {
		answerReads = resolve;
	});
	const store: JobStore = {
		read: async () => ok(undefined),
		async list({prefix}) {
			if (prefix === recordCodec.evacuationPrefix) {
				await readsAnswered;
				return ok({entries: [createEntry('evacuations/north')], revision: 1, more: false});
			}

			return ok({entries: prefix === recordCodec.workerPrefix ? [createEntry('workers/north'), createEntry('workers/south')] : [], revision: 1, more: false});
		},
		readChanges: unused,
		transact: async () => ok({type: 'committed', revision: 2}),
		grantLease: async () => ok({leaseId: 'lease-2'}),
		renewLease: unused, revokeLease: unused,
		watch({onStart}) {
			setImmediate(() => onStart?.());
			return {stop: () => undefined};
		},
	};
	const response = () => ({clockMilliseconds: performance.now(), incarnation: 1});
	const workerClient: WorkerClient = {
		async start({worker}) {
			startedOn.push(worker.id);
			return ok({...response(), rejection: undefined});
		},
		stop: async () => ok(response()),
		async heartbeat() {
			await wait(20);
			answers += 1;
			return ok({
				...response(), report: {
					incarnation: 1, running: [], ended: [], hasMoreEnded: false,
				},
			});
		},
		throttle: unused, disconnect: () => undefined,
	};
	const clock = {now: () => performance.now(), wallNow: () => Date.now()};
	const owner = await createOwner({
		store, maximumValueBytes: 1_048_576, workerClient, clock, adviceClient: undefined, machineClient: undefined, instance: 'i1', workerLeaseMilliseconds: 3500, maximumLeaseMilliseconds: 10_000, evacuationMilliseconds: 5000, farFactor: undefined,
		openDispatchChannel: () => ({send: () => undefined, bufferedBytes: () => 0, close: () => undefined}),
		ownership: {epoch: 1, leaseId: 'lease-1', commitRevision: 1}, configuration: () => configuration, getReachedTime: () => undefined, onLost: () => undefined,
		leaseRenewal: {
			isValid: () => true, isEnded: () => false, renewedAt: clock.now, tick: () => undefined, end: () => undefined,
		},
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that the owner uses without configuration and waves.
		recordCodec: recordCodec as PlatformRecordCodec,
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The log lines are not examined.
		log: new Proxy({}, {get: () => () => undefined}) as OwnerLog,
	});
	owner?.addJob(createDeclaration('job', 4), 2);
	return {
		startedOn, owner, answerReads,
		/** Each worker has answered several times, so that several ticks have passed. */
		hasTicked: () => answers >= 10,
	};
};

test('a new owner starts nothing before it has read the evacuations, and then nothing in an evacuated zone', async t => {
	const {startedOn, owner, answerReads, hasTicked} = await createFixture();
	t.teardown(() => owner?.end());
	await waitUntil(hasTicked);
	t.deepEqual(startedOn, []);
	answerReads();
	await waitUntil(() => startedOn.length >= 4);
	t.deepEqual(new Set(startedOn), new Set(['south']));
});
