/**
 * Contract of `KeyValueStore`: test cases that both the in-memory store and the
 * HTTP adapter must pass.
 */
import type {FaultInjector, PlatformFaults} from '@turmericbay/fakes';
import type {
	KeyValueStore, ManualClock, StoredEntry, StoreError,
} from '@turmericbay/types';
import {StoreErrorKind} from '@turmericbay/types';
import type {ExecutionContext} from 'ava';
import type {Result} from 'neverthrow';

export type StoreUnderTest = {
	readonly store: KeyValueStore;
	/** Another client of the same service, in a zone without faults. */
	readonly observer: KeyValueStore;
	readonly faults: FaultInjector;
	readonly clock: ManualClock;
	/** Zone of `store`. */
	readonly zone: string;
};

export type ContractCase = {
	/** The guarantee that the case checks. */
	readonly title: string;
	/** The case waits for a call to time out; no other case may depend on how long calls take. */
	readonly waitsForDeadline?: boolean;
	run(t: ExecutionContext, subject: StoreUnderTest): Promise<void>;
};

const put = (key: string, value: string, leaseId?: string) => ({
	type: 'put' as const, key, value, leaseId,
});

const unwrap = async <Value>(result: Promise<Result<Value, StoreError>>): Promise<Value> => {
	const settled = await result;
	return settled._unsafeUnwrap();
};

const unwrapError = async (result: Promise<Result<unknown, StoreError>>): Promise<StoreError> => {
	const settled = await result;
	return settled._unsafeUnwrapErr();
};

const repeatUntil = async <Value>(call: () => Promise<Value>, isDone: (value: Value) => boolean): Promise<Value> => {
	const value = await call();
	return isDone(value) ? value : repeatUntil(call, isDone);
};

const write = async (store: KeyValueStore, key: string, value: string): Promise<void> => {
	const outcome = await store.transact({conditions: [], operations: [put(key, value)]});
	outcome._unsafeUnwrap();
};

const readValue = async (store: KeyValueStore, key: string): Promise<string | undefined> => {
	const entry = await store.read({key});
	return entry._unsafeUnwrap()?.value;
};

const waitForChange = (store: KeyValueStore, prefix: string) => {
	let stop = (): void => undefined;
	const changed = new Promise<readonly StoredEntry[]>((resolve, reject) => {
		const handle = store.watch({
			prefix,
			onChange: resolve,
			onEnd(error) {
				reject(new Error(error.code));
			},
		});
		stop = () => {
			handle.stop();
		};
	});
	return {changed, stop};
};

const basicCases: readonly ContractCase[] = [
	{
		title: 'two writers that read the same revision cannot both write',
		async run(t, {store, observer}) {
			const create = async (client: KeyValueStore, value: string) => client.transact({conditions: [{key: '/a', modifiedRevision: 0}], operations: [put('/a', value)]});
			const first = await unwrap(create(store, 'first'));
			const second = await unwrap(create(observer, 'second'));
			t.is(first.type, 'committed');
			t.is(second.type, 'condition-failed');
			const entry = await unwrap(observer.read({key: '/a'}));
			t.deepEqual(entry, {key: '/a', value: 'first', modifiedRevision: first.revision});
			const update = await store.transact({conditions: [{key: '/a', modifiedRevision: first.revision}], operations: [put('/a', 'third')]});
			t.is(update._unsafeUnwrap().type, 'committed');
		},
	},
	{
		title: 'a failed condition applies none of the operations',
		async run(t, {store}) {
			await write(store, '/a', '1');
			const outcome = await store.transact({
				conditions: [{key: '/a', modifiedRevision: 0}, {key: '/b', modifiedRevision: 0}],
				operations: [put('/b', '2'), {type: 'delete', key: '/a'}],
			});
			t.is(outcome._unsafeUnwrap().type, 'condition-failed');
			t.is(await readValue(store, '/a'), '1');
			t.is(await readValue(store, '/b'), undefined);
		},
	},
	{
		title: 'a listing stops at its limit and continues after the last key without gaps or repeats',
		async run(t, {store}) {
			const keys = ['/list/a', '/list/a/b', '/list/b', '/list/ü', '/listing'];
			await store.transact({conditions: [], operations: keys.map(key => put(key, `${key}\0value`))});
			const first = await unwrap(store.list({prefix: '/list/', limit: 2}));
			const second = await unwrap(store.list({prefix: '/list/', limit: 9, after: '/list/a/b'}));
			t.deepEqual([...first.entries, ...second.entries].map(({key}) => key), keys.slice(0, 4));
			t.deepEqual([first.more, second.more], [true, false]);
			t.is(first.entries[0]?.value, '/list/a\0value');
			const empty = await unwrap(store.list({prefix: '/none/', limit: 2}));
			t.deepEqual(empty, {entries: [], more: false, revision: second.revision});
		},
	},
	{
		title: 'deleting by prefix leaves keys outside of the prefix',
		async run(t, {store}) {
			await store.transact({conditions: [], operations: [put('/p/1', ''), put('/p/2', ''), put('/p0', 'kept')]});
			await store.transact({conditions: [], operations: [{type: 'delete-prefix', prefix: '/p/'}]});
			const left = await unwrap(store.list({prefix: '/p', limit: 9}));
			t.deepEqual(left.entries.map(({key}) => key), ['/p0']);
		},
	},
	{
		title: 'a value above the maximum size is rejected and not written',
		async run(t, {store}) {
			const outcome = await store.transact({conditions: [], operations: [put('/large', 'x'.repeat(1_048_577))]});
			t.is(outcome._unsafeUnwrapErr().kind, StoreErrorKind.TooLarge);
			t.is(await readValue(store, '/large'), undefined);
			await write(store, '/large', 'x'.repeat(1_048_576));
			const stored = await readValue(store, '/large');
			t.is(stored?.length, 1_048_576);
		},
	},
	{
		title: 'two writes to one key in a transaction are rejected and not applied',
		async run(t, {store}) {
			const outcome = await store.transact({conditions: [], operations: [put('/a', '1'), put('/a', '2')]});
			t.is(outcome._unsafeUnwrapErr().kind, StoreErrorKind.NotApplied);
			t.is(await readValue(store, '/a'), undefined);
		},
	},
];

const leaseCases: readonly ContractCase[] = [
	{
		title: 'keys exist only as long as their lease is renewed',
		async run(t, {store, clock}) {
			const {leaseId} = await unwrap(store.grantLease({timeToLiveSeconds: 10}));
			await store.transact({conditions: [], operations: [put('/session', 'x', leaseId)]});
			clock.advance(9000);
			t.deepEqual(await unwrap(store.renewLease({leaseId})), {timeToLiveSeconds: 10});
			clock.advance(9000);
			t.is(await readValue(store, '/session'), 'x');
			clock.advance(1000);
			t.is(await readValue(store, '/session'), undefined);
			t.deepEqual(await unwrap(store.renewLease({leaseId})), {timeToLiveSeconds: 0});
		},
	},
	{
		title: 'revoking a lease deletes its keys, and nothing can be written under it afterwards',
		async run(t, {store}) {
			const {leaseId} = await unwrap(store.grantLease({timeToLiveSeconds: 10}));
			await store.transact({conditions: [], operations: [put('/session', 'x', leaseId)]});
			await unwrap(store.revokeLease({leaseId}));
			t.is(await readValue(store, '/session'), undefined);
			const late = await store.transact({conditions: [], operations: [put('/session', 'y', leaseId)]});
			t.like(late._unsafeUnwrapErr(), {kind: StoreErrorKind.NotApplied, code: 'STORE_LEASE_NOT_FOUND'});
			t.like(await unwrapError(store.revokeLease({leaseId})), {kind: StoreErrorKind.NotApplied});
		},
	},
];

const watchCases: readonly ContractCase[] = [
	{
		title: 'a watch reports writes below its prefix and nothing else',
		async run(t, {store, observer}) {
			const {changed, stop} = waitForChange(store, '/watched/');
			// The watch does not signal its start, so the write is repeated until the watch reports it.
			const writes = setInterval(() => {
				void observer.transact({conditions: [], operations: [put('/other', 'x'), put('/watched/a', 'y')]});
			}, 5);
			const entries = await changed;
			clearInterval(writes);
			stop();
			t.deepEqual(entries.map(({key, value}) => [key, value]), [['/watched/a', 'y']]);
		},
	},
	{
		title: 'a watch that loses its connection reports its end once',
		async run(t, {store, faults, zone}) {
			const kind = await new Promise<StoreErrorKind>(resolve => {
				store.watch({
					prefix: '/',
					onChange: () => undefined,
					onEnd(error) {
						resolve(error.kind);
					},
				});
				faults.set({scope: {zone}, faults: {down: true}});
			});
			t.is(kind, StoreErrorKind.Unknown);
		},
	},
];

const readFaults: ReadonlyArray<{readonly name: string; readonly faults: Partial<PlatformFaults>}> = [
	{name: 'a broken connection', faults: {down: true}},
	{name: 'a partition', faults: {cut: true}},
	{name: 'a response lost after the write took effect', faults: {lostAnswers: 1}},
];

const faultCases: readonly ContractCase[] = readFaults.map(({name, faults: setting}) => ({
	waitsForDeadline: setting.cut === true,
	title: `${name} leaves the outcome of a write unknown, never not-applied`,
	async run(t, {store, observer, faults, zone}) {
		faults.set({scope: {zone}, faults: setting});
		const outcome = await store.transact({conditions: [], operations: [put('/a', '1')]});
		t.is(outcome._unsafeUnwrapErr().kind, StoreErrorKind.Unknown);
		const isApplied = (setting.lostAnswers ?? 0) > 0;
		t.is(await readValue(observer, '/a'), isApplied ? '1' : undefined);
		faults.clear();
		await write(store, '/b', '2');
		t.is(await readValue(observer, '/b'), '2');
	},
}));

const refusalCase: ContractCase = {
	title: 'a refused connection is distinguished from an unknown outcome',
	async run(t, {store, faults}) {
		faults.refuseConnections(true);
		// The listener closes asynchronously; the outcome of calls accepted just before is unknown.
		const refused = await repeatUntil(
			async () => store.transact({conditions: [], operations: [put('/a', '1')]}),
			outcome => outcome.isErr() && outcome.error.kind !== StoreErrorKind.Unknown,
		);
		t.like(refused._unsafeUnwrapErr(), {kind: StoreErrorKind.NotApplied, code: 'STORE_UNREACHABLE'});
		faults.refuseConnections(false);
		const answered = await repeatUntil(async () => store.read({key: '/a'}), outcome => outcome.isOk());
		t.true(answered.isOk());
	},
};

export const storeContract: readonly ContractCase[] = [...basicCases, ...leaseCases, ...watchCases, ...faultCases, refusalCase];
