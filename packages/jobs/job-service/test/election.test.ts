import test from 'ava';
import {ok} from 'neverthrow';
import type {CreateOwner} from '../src/election.js';
import {createElection, ElectionStep} from '../src/election.js';
import type {Owner} from '../src/owner.js';
import type {Configuration, JobStore} from '../src/ports.js';
import {wait} from '../src/wait.js';

const waitUntil = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- Polls.
		await wait(10);
	}
};

/** A read of the stored jobs that has no answer. */
const readForever: CreateOwner = async () => new Promise(() => undefined); // eslint-disable-line no-promise-executor-return -- Never settles.

const configuration: Configuration = {
	version: 1, queuesByHost: new Map(), maximumBodyBytes: 1000, queues: new Map(), pools: new Map(), workspaces: new Map(), workspaceByApiKey: new Map(),
};
const owner: Partial<NonNullable<Owner>> = {end: () => undefined, setConfiguration: () => undefined};

/** An instance and a store in which no other instance is the owner. */
const createFixture = (options: {readonly createOwner: CreateOwner; readonly isConfigured?: boolean}) => {
	let isTaken = false;
	let isConfigured = options.isConfigured ?? true;
	let elapsed = 0;
	const events: string[] = [];
	const store: Partial<JobStore> = {
		read: async () => ok(undefined),
		grantLease: async () => ok({leaseId: 'lease-1'}),
		transact: async () => ok({type: 'committed', revision: 1}),
		revokeLease: async () => ok(undefined),
	};
	const election = createElection({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		store: store as JobStore,
		instance: 'i1', address: '127.0.0.1:1', cores: 100, random: () => 0, createOwner: options.createOwner,
		clock: {now: () => performance.now() + elapsed, wallNow: () => Date.now() + elapsed},
		configuration: () => isConfigured ? configuration : undefined,
		isTaken: () => isTaken,
		onGained: () => undefined, onLost: () => undefined,
		log: {
			ownershipGained(epoch) {
				events.push(`gained ${epoch}`);
			},
			ownershipLost(_, reason) {
				events.push(`lost: ${reason}`);
			},
			electionFailed({type}) {
				events.push(`failed: ${type}`);
			},
			ownerMissing(_, waitsFor) {
				events.push(`missing: ${waitsFor}`);
			},
		},
	});
	return {
		election, events,
		setTaken(value: boolean): void {
			isTaken = value;
		},
		configure(): void {
			isConfigured = true;
		},
		advance(milliseconds: number): void {
			elapsed += milliseconds;
		},
	};
};

// Guards against accepted jobs that nobody schedules any more: the last instance lost its lease while it was reading the stored jobs, and skipped the election that followed.
test('an instance that loses the ownership while a read of the stored jobs has no answer tries again', async t => {
	const periods: Array<Parameters<CreateOwner>[0]> = [];
	const {election, events} = createFixture({
		async createOwner(period) {
			periods.push(period);
			if (periods.length === 1) {
				period.onLost('the lease has expired');
				return readForever(period);
			}

			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
			return owner as NonNullable<Owner>;
		},
	});
	t.teardown(() => {
		election.stop('the test has ended');
	});
	election.request();
	await waitUntil(() => election.owner() !== undefined);
	t.deepEqual(events, ['gained 1', 'lost: the lease has expired', 'gained 1']);
});

// Guards against the same where the instance has missed the event after which it should try.
test('an instance tries to become the owner also if nothing tells it that there is none any more', async t => {
	const {election, events, setTaken} = createFixture({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		createOwner: async () => owner as NonNullable<Owner>,
	});
	t.teardown(() => {
		election.stop('the test has ended');
	});
	setTaken(true);
	election.request();
	await wait(50);
	t.deepEqual(events, []);
	setTaken(false);
	await waitUntil(() => election.owner() !== undefined);
	t.deepEqual(events, ['gained 1']);
});

// Guards against an outage of the jobs that the logs do not explain.
test('an instance that knows no owner logs what it waits for', async t => {
	const {election, events, configure, advance} = createFixture({
		isConfigured: false,
		createOwner: readForever,
	});
	t.teardown(() => {
		election.stop('the test has ended');
	});
	const waitForEvent = async (event: string): Promise<void> => waitUntil(() => {
		advance(1000);
		return events.at(-1) === event;
	});
	await waitForEvent(`missing: ${ElectionStep.Configuration}`);
	configure();
	await waitForEvent('gained 1');
	await waitForEvent(`missing: ${ElectionStep.StoredJobs}`);
	t.deepEqual(events.filter(event => !event.startsWith('missing')), ['gained 1']);
});
