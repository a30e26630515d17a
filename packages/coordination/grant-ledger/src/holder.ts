/** Adapter around the decision core: calls the store and peers, and serves `GrantPort`. */
import {rankByRendezvous} from '@turmericbay/membership';
import type {
	AvailabilityZone, Clock, GrantPort, KeyValueStore, ProcessIdentity, RandomSource, StoreError, TeamName,
} from '@turmericbay/types';
import {createCallBudget} from './call-budget.js';
import {createGoneTimes, viewFleet} from './fleet-view.js';
import type {ListedDirectory} from './fleet-view.js';
import {createLedger} from './ledger.js';
import type {LedgerCommand, LedgerOutcome} from './ledger.js';
import type {PlanContext} from './plan.js';
import {createShardStore} from './shard-store.js';
import type {GrantCounters} from './shard-store.js';
import {holderKey, shardCount} from './shard.js';
import {createTransferRequests} from './transfer-requests.js';
import type {TransferPeer} from './transfer-requests.js';
import {adoptLimits, createUsage, hasFreeUnit} from './usage.js';
import type {TeamLimit} from './usage.js';

/** A donor answers within this time or refuses. */
const donationTimeoutMilliseconds = 2000;
/** An unanswered call counts as one without an answer after this time. */
const callTimeoutMilliseconds = 5000;

export type GrantHolderOptions = {
	readonly store: KeyValueStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly identity: ProcessIdentity;
	readonly zone: AvailabilityZone;
	readonly directory: ListedDirectory;
	readonly peer: TransferPeer;
};

export type GrantHolder = {
	/** Takes over the limits of a document version; older versions are ignored. */
	setLimits(options: {readonly version: number; readonly limits: ReadonlyMap<TeamName, TeamLimit>}): void;
	/** Starts the calls that are due. Call it every 50 ms; it never waits. */
	tick(): void;
	/** Serves a peer's `TransferGrant`: the number of units moved to it in the ledger. */
	handleTransfer(options: {
		readonly team: TeamName; readonly units: number; readonly holder: ProcessIdentity;
	}): Promise<number>;
	/** From now on nothing is acquired and idle units are given back. */
	startDraining(): void;
	/** True when no unit is held any more and no call is on its way. */
	isDrained(): boolean;
	units(team: TeamName): {readonly held: number; readonly inUse: number};
	counters(): Readonly<GrantCounters> & {readonly reclaimedUnits: number};
	lastError(): StoreError | undefined;
} & GrantPort;

export const createGrantHolder = (options: GrantHolderOptions): GrantHolder => {
	const {store, clock, random, identity, zone, directory, peer} = options;
	const ownKey = holderKey(identity);
	const ledger = createLedger({random});
	const goneTimes = createGoneTimes(directory);
	const listeners: Array<(team: TeamName) => void> = [];
	const budget = createCallBudget();
	const counters: GrantCounters = {
		reads: 0, writes: 0, conflicts: 0, failures: 0, bytesWritten: 0, bytesRead: 0, transfersRequested: 0,
	};
	const shardStore = createShardStore({store, counters});
	const inFlight = new Map<LedgerCommand, number>();
	let fleet = viewFleet(directory, identity);
	let tidiedShards = new Set<number>();
	let rankedEntries: string | undefined;
	let documentVersion = 0;
	let draining = false;
	let firstShard = 0;
	let goneCheckAt = Number.NEGATIVE_INFINITY;

	const now = () => clock.monotonicMilliseconds();

	const notifyAvailable = () => {
		for (const team of ledger.starved) {
			if (!draining && hasFreeUnit(ledger.usageOf(team), now())) {
				ledger.starved.delete(team);
				for (const listener of listeners) {
					listener(team);
				}
			}
		}
	};

	const complete = (command: LedgerCommand, outcome: LedgerOutcome) => {
		if (!inFlight.delete(command)) {
			return;
		}

		counters.conflicts += outcome.type === 'conflict' ? 1 : 0;
		counters.failures += outcome.type === 'unknown' || outcome.type === 'failed' ? 1 : 0;
		ledger.finish(command, outcome, {ownKey, now: now()});
		notifyAvailable();
		if (outcome.type === 'read') {
			// Waiting for the next turn of the budget would let others change the shard, so that the write fails again.
			runShard(command.shard);
		}
	};

	const execute = async (command: LedgerCommand) => {
		inFlight.set(command, now());
		complete(command, await shardStore.run(command));
	};

	const refreshFleet = () => {
		fleet = viewFleet(directory, identity);
		const candidates = [...fleet.entriesByZone.values()].flat();
		const signature = candidates.join(' ');
		if (signature === rankedEntries) {
			return;
		}

		rankedEntries = signature;
		tidiedShards = new Set(Array.from({length: shardCount}, (_, shard) => shard)
			.filter(shard => rankByRendezvous({subject: `tidy|${shard}`, candidates})[0] === identity.instance));
		budget.setSharers(Math.max(1, candidates.length));
	};

	const contextFor = (shard: number): PlanContext => ({
		self: identity,
		zone,
		fleet,
		draining,
		tidies: tidiedShards.has(shard),
		goneFor: holder => goneTimes.goneFor(holder, now()),
	});

	const transfers = createTransferRequests({
		peer, random, self: identity, isGone: holder => directory.isProvenGone(holder),
		onMoved(team) {
			ledger.requestRead(team);
		},
	});

	const runShard = (shard: number) => {
		const command = ledger.takeCommand(shard, contextFor(shard), now());
		if (command) {
			budget.spend();
			void execute(command);
		}
	};

	const runShards = () => {
		for (let step = 0; step < shardCount; step += 1) {
			const shard = (firstShard + step) % shardCount;
			if (!draining && !budget.allows(now())) {
				firstShard = shard;
				return;
			}

			runShard(shard);
		}
	};

	const expireCalls = () => {
		for (const [command, startedAt] of inFlight) {
			if (now() - startedAt > callTimeoutMilliseconds) {
				complete(command, {type: 'unknown'});
			}
		}
	};

	directory.subscribe(refreshFleet);
	refreshFleet();

	return {
		setLimits({version, limits}) {
			if (version <= documentVersion) {
				return;
			}

			documentVersion = version;
			for (const team of limits.keys()) {
				ledger.usageOf(team);
			}

			for (const team of adoptLimits({
				usages: ledger.usages, limits, version, now: now(),
			})) {
				ledger.requestRead(team);
			}
		},
		tick() {
			expireCalls();
			ledger.expireDonations(now());
			if (now() >= goneCheckAt) {
				goneCheckAt = now() + 1000;
				goneTimes.update(ledger.holders(), now());
			}

			runShards();
			if (!draining) {
				counters.transfersRequested += transfers.ask(ledger.unmet, now());
			}

			notifyAvailable();
		},
		async handleTransfer({team, units, holder}) {
			const record = directory.instances().find(({instance, incarnation}) =>
				instance === holder.instance && incarnation === holder.incarnation);
			if (draining || units <= 0 || !record) {
				return 0;
			}

			return new Promise(resolve => {
				ledger.addDonation({
					donation: {
						team, units, to: holder, zone: record.zone,
					},
					deadline: now() + donationTimeoutMilliseconds,
					answer: resolve,
				});
			});
		},
		tryAcquire({team}) {
			const usage = ledger.usages.get(team);
			if (!usage || draining || !hasFreeUnit(usage, now())) {
				ledger.usageOf(team);
				ledger.starved.add(team);
				return false;
			}

			usage.inUse += 1;
			usage.peak = Math.max(usage.peak, usage.inUse);
			return true;
		},
		release({team}) {
			const usage = ledger.usageOf(team);
			usage.inUse -= 1;
			notifyAvailable();
		},
		onAvailable(listener) {
			listeners.push(listener);
		},
		startDraining() {
			draining = true;
		},
		isDrained: () => draining && inFlight.size === 0 && !ledger.holders().has(ownKey),
		units(team) {
			const {held, inUse} = ledger.usages.get(team) ?? createUsage();
			return {held, inUse};
		},
		counters: () => ({...counters, reclaimedUnits: ledger.reclaimedUnits()}),
		lastError: () => shardStore.lastError(),
	};
};

export {grantsPrefix} from './shard.js';
