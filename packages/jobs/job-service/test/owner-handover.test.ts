import type {KeyValueStore} from '@turmericbay/types';
import test from 'ava';
import {ok} from 'neverthrow';
import type {JobStore} from '../src/index.js';
import {createOwner} from '../src/owner.js';
import type {OwnerLog} from '../src/owner-log.js';
import type {Configuration, PlatformRecordCodec, WorkerClient} from '../src/ports.js';
import {resultPrefix} from '../src/records.js';
import {createDeclaration, settle} from './support/builders.js';

const configuration: Configuration = {
	version: 1, queuesByHost: new Map(), maximumBodyBytes: 1000, queues: new Map(), pools: new Map(), workspaces: new Map(), workspaceByApiKey: new Map(),
};
const unused = async (): Promise<never> => {
	throw new Error('not used');
};

/** An owner without workers, whose transactions wait until the test answers them. */
const createFixture = async () => {
	const transactions: Array<{readonly request: Parameters<KeyValueStore['transact']>[0]; readonly answer: () => void}> = [];
	const storedResults: string[] = [];
	const unstoredChanges: number[] = [];
	let revision = 1;
	const store: JobStore = {
		read: async () => ok(undefined),
		list: async () => ok({entries: [], revision: 1, more: false}),
		readChanges: unused,
		async transact(request) {
			return new Promise(resolve => {
				transactions.push({
					request, answer() {
						revision += 1;
						storedResults.push(...request.operations.flatMap(operation => operation.type === 'put' && operation.key.startsWith(resultPrefix) ? [operation.key] : []));
						resolve(ok({type: 'committed', revision}));
					},
				});
			});
		},
		grantLease: async () => ok({leaseId: 'lease-2'}),
		renewLease: unused, revokeLease: unused,
		watch({onStart}) {
			setImmediate(() => onStart?.());
			return {stop: () => undefined};
		},
	};
	const recordCodec: Pick<PlatformRecordCodec, 'workerPrefix' | 'wavePrefix'> = {workerPrefix: 'workers/', wavePrefix: 'waves/'};
	const workerClient: Partial<WorkerClient> = {};
	const clock = {now: () => performance.now(), wallNow: () => Date.now()};
	const log: Partial<OwnerLog> = {
		changesNotStored(_, changes) {
			unstoredChanges.push(changes);
		},
	};
	const owner = await createOwner({
		store, maximumValueBytes: 1_048_576, clock, adviceClient: undefined, machineClient: undefined, instance: 'i1', workerLeaseMilliseconds: 3500, evacuationMilliseconds: undefined, farFactor: undefined,
		openDispatchChannel: () => ({send: () => undefined, bufferedBytes: () => 0, close: () => undefined}),
		ownership: {epoch: 1, leaseId: 'lease-1', commitRevision: 1}, configuration: () => configuration, getReachedTime: () => undefined, onLost: () => undefined,
		leaseRenewal: {
			isValid: () => true, isEnded: () => false, renewedAt: clock.now, tick: () => undefined, end: () => undefined,
		},
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that the owner uses without workers and waves.
		workerClient: workerClient as WorkerClient, recordCodec: recordCodec as PlatformRecordCodec,
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Other log lines are not examined.
		log: new Proxy(log, {get: (target, name): unknown => Reflect.get(target, name) ?? (() => undefined)}) as OwnerLog,
	});
	return {
		owner: owner!, transactions, storedResults, unstoredChanges,
	};
};

// Guards against results of jobs that the next owner has to work out anew, because a planned stop dropped changes that the store would have taken.
for (const jobCount of [1, 8, 60]) {
	test(`an owner that hands over first stores the results of ${jobCount} jobs that have just ended`, async t => {
		const {owner, transactions, storedResults, unstoredChanges} = await createFixture();
		const ids = Array.from({length: jobCount}, (_, index) => `job-${index}`);
		for (const id of ids) {
			owner.addJob(createDeclaration(id), 2);
			owner.cancel(id);
		}

		let isHandedOver = false;
		const handedOver = owner.handOver().then(() => {
			isHandedOver = true;
		});
		await settle();
		while (transactions.length > 0) {
			t.false(isHandedOver);
			transactions.shift()!.answer();
			// eslint-disable-next-line no-await-in-loop -- One transaction at a time.
			await settle();
		}

		await handedOver;
		t.deepEqual(storedResults.toSorted(), ids.map(id => resultPrefix + id).toSorted());
		t.deepEqual(unstoredChanges, []);
	});
}

// Guards against a stop that keeps the ownership until the process ends, because the store does not answer.
test('an owner hands over although the store does not answer', async t => {
	const {owner, storedResults, unstoredChanges} = await createFixture();
	owner.addJob(createDeclaration('job'), 2);
	owner.cancel('job');
	await owner.handOver();
	t.deepEqual(storedResults, []);
	t.is(unstoredChanges.length, 1);
});
