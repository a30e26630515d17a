import type {StoredEntry, WatchHandle} from '@turmericbay/types';
import test from 'ava';
import {ok} from 'neverthrow';
import type {JobStore, OwnerRecord, ServiceLog} from '../src/index.js';
import {createJobService} from '../src/index.js';
import type {Configuration, PlatformRecordCodec, WorkerClient} from '../src/ports.js';
import {commitKey, ownerKey} from '../src/records.js';
import {wait} from '../src/wait.js';

const configuration: Configuration = {
	version: 1, queuesByHost: new Map(), maximumBodyBytes: 1000, queues: new Map(), pools: new Map(), workspaces: new Map(), workspaceByApiKey: new Map(),
};
const recordCodec: Pick<PlatformRecordCodec, 'configurationKey' | 'workerPrefix' | 'wavePrefix' | 'decodeConfiguration'> = {
	configurationKey: 'configuration', workerPrefix: 'workers/', wavePrefix: 'waves/', decodeConfiguration: () => configuration,
};
const workerClient: Partial<WorkerClient> = {};

/** A service with a store that holds only the configuration and the ownership. */
const createFixture = (beforeCommitRead: () => Promise<void> = async () => undefined) => {
	const revokedLeases: string[] = [];
	const events: string[] = [];
	let isLeaseValid = true;
	let elapsed = 0;
	let requestTransfer: (epoch: number) => void = () => undefined;
	let getRemoteOwner: () => OwnerRecord | undefined = () => undefined;
	let changeOwner: ((entries: readonly StoredEntry[]) => void) | undefined;
	const store: JobStore = {
		async read({key}) {
			if (key === commitKey) {
				await beforeCommitRead();
			}

			return ok(undefined);
		},
		list: async ({prefix}) => ok({entries: prefix === recordCodec.configurationKey ? [{key: prefix, value: '', modifiedRevision: 1}] : [], revision: 1, more: false}),
		readChanges: async () => ok({entries: [], deletedKeys: [], revision: 1}),
		transact: async () => ok({type: 'committed', revision: 2}),
		grantLease: async () => ok({leaseId: 'lease-1'}),
		renewLease: async () => ok({timeToLiveSeconds: isLeaseValid ? 2 : 0}),
		async revokeLease({leaseId}) {
			revokedLeases.push(leaseId);
			return ok(undefined);
		},
		watch({prefix, onChange, onStart}): WatchHandle {
			changeOwner = prefix === ownerKey ? onChange : changeOwner;
			setImmediate(() => onStart?.());
			return {stop: () => undefined};
		},
	};
	const logHandler: ProxyHandler<Partial<ServiceLog>> = {
		get: (_, name) => () => {
			events.push(String(name));
		},
	};
	const service = createJobService({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Counts the calls of each method.
		log: new Proxy<Partial<ServiceLog>>({}, logHandler) as ServiceLog,
		instance: 'i1', zone: 'north', store, maximumValueBytes: 1_048_576, workerLeaseMilliseconds: 3500, maximumLeaseMilliseconds: 10_000, evacuationMilliseconds: undefined, cores: 100, random: () => 0, adviceClient: undefined, machineClient: undefined,
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that the service uses without workers and waves.
		recordCodec: recordCodec as PlatformRecordCodec, workerClient: workerClient as WorkerClient,
		clock: {now: () => performance.now() + elapsed, wallNow: () => Date.now() + elapsed},
		peers: {
			address: '127.0.0.1:1',
			createOwnerClient(options) {
				({getRemoteOwner} = options);
				return {
					notifyJobStored: () => undefined, notifyJobCancelled: () => undefined, getJobState: async () => undefined, countPending: async () => undefined, getLoadFigures: () => undefined, requestTransfer: () => undefined,
					registerDispatcher: () => undefined,
				};
			},
			openDispatchChannel: () => ({send: () => undefined, bufferedBytes: () => 0, close: () => undefined}),
			serve(options) {
				requestTransfer = options.onTransferRequested;
			},
			close: () => undefined,
		},
	});
	return {
		service, revokedLeases, events,
		getRemoteOwner: () => getRemoteOwner(),
		changeOwner(record: OwnerRecord): void {
			changeOwner?.([{key: ownerKey, value: JSON.stringify(record), modifiedRevision: 3}]);
		},
		advance(milliseconds: number): void {
			elapsed += milliseconds;
		},
		requestTransfer(epoch: number): void {
			requestTransfer(epoch);
		},
		endLease(): void {
			isLeaseValid = false;
		},
	};
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- Polls.
		await wait(10);
	}
};

// Guards against an instance that becomes the owner while it is stopping, and takes the ownership with it when its process ends.
test('an instance that stops while it acquires the ownership gives it back', async t => {
	let isReading = false;
	let release: () => void = () => undefined;
	const released = new Promise<void>(resolve => {
		release = resolve;
	});
	const {service, revokedLeases, events} = createFixture(async () => {
		isReading = true;
		await released;
	});
	t.teardown(service.close);
	await waitUntil(() => isReading);
	service.handOver();
	release();
	await waitUntil(() => revokedLeases.length > 0 || events.includes('ownershipGained'));
	t.deepEqual(revokedLeases, ['lease-1']);
	t.false(events.includes('ownershipGained'));
	t.is(service.owner(), undefined);
});

// Guards against callers that get no detailed states for as long as the next owner stays, because the instance forgot it.
test('an instance that has lost the ownership still knows the owner that followed', async t => {
	const {service, events, endLease, changeOwner, getRemoteOwner} = createFixture();
	t.teardown(service.close);
	await waitUntil(() => service.owner() !== undefined);
	changeOwner({
		instance: 'i2', address: '127.0.0.1:2', epoch: 2, leaseId: 'lease-2',
	});
	endLease();
	await waitUntil(() => events.includes('ownershipLost'));
	t.is(getRemoteOwner()?.instance, 'i2');
	service.handOver();
});

// Guards against a small owner that stays although a larger instance is available, and against one that yields to a late request for an earlier period.
test('an owner yields to a larger instance that asks for its epoch, but not shortly after a takeover', async t => {
	const {service, revokedLeases, advance, requestTransfer} = createFixture();
	t.teardown(service.close);
	await waitUntil(() => service.owner() !== undefined);
	requestTransfer(1);
	t.not(service.owner(), undefined);
	advance(5000);
	requestTransfer(2);
	t.not(service.owner(), undefined);
	requestTransfer(1);
	t.is(service.owner(), undefined);
	t.deepEqual(revokedLeases, ['lease-1']);
	service.handOver();
});
