/** Simulated entry instances, a store and a platform; the test decides about the outcome of each call. */
import {
	createManualClock, InstanceRole, InstanceState, StoreErrorKind,
} from '@turmericbay/types';
import type {InstanceRecord, ProcessIdentity, StoredEntry} from '@turmericbay/types';
import {err, ok} from 'neverthrow';
import {createFleetLedger, decodeState, formatIdentity} from '../../src/index.js';
import type {RevisionConfirmation, FleetLedger, FleetState} from '../../src/index.js';

export const longestRunMilliseconds = 30_000;

export const limits = {pool: {orders: 1, reserve: 2}, rack: 1, zone: 2};

const document = {
	pools: {orders: {maximumUnavailable: limits.pool.orders, minimumInstances: 2}, reserve: {maximumUnavailable: limits.pool.reserve, minimumInstances: 0}},
	queues: {book: {maximumRunMilliseconds: longestRunMilliseconds}},
	maintenance: {
		periodDays: 21, enabled: true, maximumUnavailablePerRack: limits.rack, maximumUnavailablePerZone: limits.zone,
	},
};

type Work = {entry: string; instance: string; pool: string; endsAt: number};
type Operation = {entry: EntryState; unknownOutcome: unknown; notApplied: unknown; apply(): unknown; settle(result: unknown): void};
type EntryState = {
	readonly identity: ProcessIdentity;
	readonly seenProcesses: Set<string>;
	readonly receivedConfirmations: Map<string, RevisionConfirmation>;
	isPaused: boolean;
	list: readonly InstanceRecord[];
	listedAt: number;
};

export type Entry = EntryState & {readonly ledger: FleetLedger};

const storeError = (kind: StoreErrorKind) => err({kind, code: 'STORE_TEST', message: kind});

export const createCluster = () => {
	const clock = createManualClock();
	const now = () => clock.monotonicMilliseconds();
	const platform = new Map<string, InstanceRecord>();
	const failedInstances = new Set<string>();
	const violations: string[] = [];
	const counts = {reboots: 0, assignments: 0};
	const rounds: Array<Promise<void>> = [];
	const entries: Entry[] = [];
	let stored: StoredEntry | undefined;
	let revision = 0;
	let work: Work[] = [];
	let operations: Operation[] = [];
	let delayedWrites: Array<() => unknown> = [];
	let wantedMoves: Array<{instance: string; destination: string}> = [];
	let onWrite: (previous: FleetState | undefined, next: FleetState) => void = () => undefined;

	const readState = () => stored && decodeState(stored.value)._unsafeUnwrap();
	const addInstance = (record: Pick<InstanceRecord, 'instance' | 'role' | 'pool' | 'zone' | 'rack'>) => {
		platform.set(record.instance, {
			...record, incarnation: `${record.instance}-0`, address: '127.0.0.1:1', state: InstanceState.Live,
		});
	};

	const restart = (instance: string) => {
		const record = platform.get(instance)!;
		platform.set(instance, {...record, incarnation: `${instance}-${Number(record.incarnation.split('-').at(-1)) + 1}`});
	};

	const liveWork = () => work.filter(item => item.endsAt > now());
	const ask = async (entry: EntryState, apply: () => unknown, unknownOutcome: unknown, notApplied: unknown) => new Promise<never>(resolve => {
		operations.push({
			entry, apply, settle: resolve, unknownOutcome, notApplied,
		});
	});
	const applyWrite = (conditionRevision: number, hasCondition: boolean, value: string | undefined) => {
		if (hasCondition && (stored?.modifiedRevision ?? 0) !== conditionRevision) {
			return ok({type: 'condition-failed', revision});
		}

		// A transaction without operations only checks its condition.
		if (value === undefined) {
			return ok({type: 'committed', revision});
		}

		const previous = readState();
		stored = {key: 'fleet', value, modifiedRevision: ++revision};
		onWrite(previous, readState()!);
		return ok({type: 'committed', revision});
	};

	const applyReboot = (instance: string) => {
		if (liveWork().some(item => item.instance === instance)) {
			violations.push(`reboot of ${instance} interrupted running work`);
		}

		counts.reboots++;
		restart(instance);
		return ok(undefined);
	};

	const applyAssign = (instance: string, pool: string) => {
		counts.assignments++;
		platform.set(instance, {...platform.get(instance)!, pool});
		return ok(undefined);
	};

	const visible = () => [...platform.values()].filter(record => !failedInstances.has(record.instance));
	const busyInstances = (entry: EntryState) => new Set(liveWork().filter(item => item.entry === formatIdentity(entry.identity)).map(item => item.instance));
	const refreshList = (entry: EntryState) => {
		entry.list = visible();
		entry.listedAt = now();
		for (const record of entry.list) {
			entry.seenProcesses.add(formatIdentity(record));
		}
	};

	const unavailable = err({code: 'INSTANCE_CONTROL_UNAVAILABLE', message: 'no answer'});
	const startEntry = (instance: string) => {
		const {incarnation} = platform.get(instance)!;
		const link: EntryState = {
			identity: {instance, incarnation}, isPaused: false, list: [], listedAt: now(), seenProcesses: new Set(), receivedConfirmations: new Map(),
		};
		const control = async (apply: () => unknown) => ask(link, apply, unavailable, unavailable);
		const ledger = createFleetLedger({
			region: 'south', identity: link.identity, clock,
			store: {
				read: async () => ask(link, () => ok(stored), storeError(StoreErrorKind.Unknown), storeError(StoreErrorKind.NotApplied)),
				async transact({conditions, operations: [operation]}) {
					const value = operation?.type === 'put' ? operation.value : undefined;
					const apply = () => applyWrite(conditions[0]?.modifiedRevision ?? 0, conditions.length > 0, value);
					return ask(link, apply, storeError(StoreErrorKind.Unknown), storeError(StoreErrorKind.NotApplied));
				},
			},
			control: {
				requestDrain: async () => ok(undefined),
				requestReboot: async options => control(() => applyReboot(options.instance)),
				assignPool: async options => control(() => applyAssign(options.instance, options.pool)),
			},
			directory: {
				instances: () => link.list,
				ageMilliseconds: () => now() - link.listedAt,
				isProvenGone: identity => link.seenProcesses.has(formatIdentity(identity)) && !link.list.some(record => formatIdentity(record) === formatIdentity(identity)),
				subscribe: () => undefined,
			},
			configuration: {current: () => ({document})},
			peers: {confirmations: () => [...link.receivedConfirmations.values()]},
			observation: {busyInstances: () => busyInstances(link), isHealthy: () => true, hasRunningTasks: () => false},
			wantedMoves: () => wantedMoves,
		});
		refreshList(link);
		entries.push(Object.assign(link, {ledger}));
	};

	const killEntry = (index: number) => {
		const [entry] = entries.splice(index, 1);
		operations = operations.filter(operation => operation.entry !== entry);
		restart(entry!.identity.instance);
		startEntry(entry!.identity.instance);
	};

	const startWork = (entry: Entry, pick: number, milliseconds = ((pick % 10) + 1) * (longestRunMilliseconds / 10)) => {
		const record = [...platform.values()].filter(other => other.role === InstanceRole.Upstream)[pick % 8]!;
		const pool = entry.ledger.effectivePool(record.instance);
		if (pool === undefined) {
			return;
		}

		if (liveWork().some(item => item.instance === record.instance && item.pool !== pool)) {
			violations.push(`${record.instance} ran work of two pools`);
		}

		work = [...liveWork(), {
			entry: formatIdentity(entry.identity), instance: record.instance, pool, endsAt: now() + milliseconds,
		}];
	};

	const settleOperation = (pick: number, delivery: 'answer' | 'lose' | 'refuse' | 'delay') => {
		const candidates = operations.filter(operation => !operation.entry.isPaused);
		const operation = candidates[pick % Math.max(1, candidates.length)];
		if (!operation) {
			return;
		}

		operations = operations.filter(other => other !== operation);
		if (delivery === 'delay' && operation.notApplied !== unavailable) {
			delayedWrites.push(() => operation.apply());
			operation.settle(operation.unknownOutcome);
		} else if (delivery === 'refuse') {
			operation.settle(operation.notApplied);
		} else {
			const result = operation.apply();
			operation.settle(delivery === 'lose' ? operation.unknownOutcome : result);
		}
	};

	return {
		clock, now, platform, failedInstances, violations, counts, entries, readState, addInstance, restart, startEntry, killEntry, startWork, settleOperation, refreshList, busyInstances,
		pendingCount: () => operations.length,
		/** Completes the oldest operation of one entry instance; false if there is none. */
		settleFor(entry: Entry) {
			const index = operations.filter(operation => !operation.entry.isPaused).findIndex(operation => operation.entry === entry);
			if (index !== -1) {
				settleOperation(index, 'answer');
			}

			return index !== -1;
		},
		/** Starts a tick, which continues as its operations are settled. */
		tick(entry: Entry) {
			rounds.push(entry.ledger.tick());
		},
		applyDelayed() {
			const write = delayedWrites[0];
			delayedWrites = delayedWrites.slice(1);
			write?.();
		},
		finishWork(pick: number) {
			work = liveWork().filter((_, index, all) => index !== pick % all.length);
		},
		sendConfirmation(from: Entry, to: Entry) {
			to.receivedConfirmations.set(from.identity.instance, {identity: from.identity, fleetRevision: from.ledger.fleetRevision(), busyInstances: busyInstances(from)});
		},
		requestMove(instance: string, destination: string) {
			wantedMoves = [{instance, destination}];
		},
		observeWrites(listener: typeof onWrite) {
			onWrite = listener;
		},
	};
};

export type Cluster = ReturnType<typeof createCluster>;
