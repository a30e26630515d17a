/** Implements `GrantPort`: makes the store and peer calls that the ledger decides on. */
import {rankByRendezvous} from '@turmericbay/membership';
import type {
	AvailabilityZone, Clock, GrantPort, KeyValueStore, ProcessIdentity, RandomSource, StoreError, TeamName,
} from '@turmericbay/types';
import {createCallRateLimiter} from './call-rate-limiter.js';
import {createGoneProcessTracker, viewFleet} from './fleet-view.js';
import type {HolderDirectory} from './fleet-view.js';
import {createLedger} from './ledger.js';
import type {LedgerCommand, LedgerOutcome} from './ledger.js';
import type {PlanContext} from './plan.js';
import {createShardStore} from './shard-store.js';
import type {GrantCounters} from './shard-store.js';
import {holderKey, shardCount} from './shard.js';
import {createTransferRequests} from './transfer-requests.js';
import type {TransferPeer} from './transfer-requests.js';
import {applyLimits, createUsage, hasFreeUnit} from './usage.js';
import type {TeamLimit} from './usage.js';

/** A request for a transfer is refused if no units were transferred within this time. */
const transferTimeoutMilliseconds = 2000;
/** A store call without a response after this time counts as one with an unknown outcome. */
const callTimeoutMilliseconds = 5000;

export type GrantHolderOptions = {
	readonly store: KeyValueStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly identity: ProcessIdentity;
	readonly zone: AvailabilityZone;
	readonly directory: HolderDirectory;
	readonly peer: TransferPeer;
};

export type GrantHolder = {
	/** Applies the limits of a document version; older versions are ignored. */
	setLimits(options: {readonly version: number; readonly limits: ReadonlyMap<TeamName, TeamLimit>}): void;
	/** Starts the store and peer calls that are due, without waiting for them. Call it every 50 ms. */
	tick(): void;
	/** Serves the `TransferGrant` call of a peer; returns the number of units moved to it in the ledger. */
	handleTransfer(options: {
		readonly team: TeamName; readonly units: number; readonly holder: ProcessIdentity;
	}): Promise<number>;
	/** Refuses to acquire units from now on, and returns idle ones. */
	startDraining(): void;
	/** True if this process holds no units and no store call is in flight. */
	isDrained(): boolean;
	units(team: TeamName): {readonly held: number; readonly inUse: number};
	counters(): Readonly<GrantCounters> & {readonly reclaimedUnits: number};
	lastError(): StoreError | undefined;
} & GrantPort;

export const createGrantHolder = (options: GrantHolderOptions): GrantHolder => {
	const {store, clock, random, identity, zone, directory, peer} = options;
	const ownKey = holderKey(identity);
	const ledger = createLedger({random});
	const goneTracker = createGoneProcessTracker(directory);
	const listeners: Array<(team: TeamName) => void> = [];
	const rateLimiter = createCallRateLimiter();
	const counters: GrantCounters = {
		reads: 0, writes: 0, conflicts: 0, failures: 0, bytesWritten: 0, bytesRead: 0, transfersRequested: 0,
	};
	const shardStore = createShardStore({store, counters});
	const inFlight = new Map<LedgerCommand, number>();
	let fleet = viewFleet(directory, identity);
	let maintainedShards = new Set<number>();
	let rankedSignature: string | undefined;
	let documentVersion = 0;
	let draining = false;
	let firstShard = 0;
	let goneCheckAt = Number.NEGATIVE_INFINITY;

	const now = () => clock.monotonicMilliseconds();

	const notifyAvailable = () => {
		for (const team of ledger.waitingTeams) {
			if (!draining && hasFreeUnit(ledger.usageOf(team), now())) {
				ledger.waitingTeams.delete(team);
				for (const listener of listeners) {
					listener(team);
				}
			}
		}
	};

	const finishCommand = (command: LedgerCommand, outcome: LedgerOutcome) => {
		if (!inFlight.delete(command)) {
			return;
		}

		counters.conflicts += outcome.type === 'conflict' ? 1 : 0;
		counters.failures += outcome.type === 'unknown' || outcome.type === 'failed' ? 1 : 0;
		ledger.finish(command, outcome, {ownKey, now: now()});
		notifyAvailable();
		if (outcome.type === 'read') {
			// Writes at once, regardless of the rate limit; after a delay another holder may have changed the shard, and the write would conflict again.
			runShard(command.shard);
		}
	};

	const runCommand = async (command: LedgerCommand) => {
		inFlight.set(command, now());
		finishCommand(command, await shardStore.run(command));
	};

	const refreshFleet = () => {
		fleet = viewFleet(directory, identity);
		const candidates = [...fleet.entriesByZone.values()].flat();
		const signature = candidates.join(' ');
		if (signature === rankedSignature) {
			return;
		}

		rankedSignature = signature;
		// All holders have to use the same text; it must not change while versions run side by side.
		maintainedShards = new Set(Array.from({length: shardCount}, (_, shard) => shard)
			.filter(shard => rankByRendezvous({subject: `tidy|${shard}`, candidates})[0] === identity.instance));
		rateLimiter.setHolderCount(Math.max(1, candidates.length));
	};

	const contextFor = (shard: number): PlanContext => ({
		self: identity,
		zone,
		fleet,
		draining,
		maintainsShard: maintainedShards.has(shard),
		goneMilliseconds: holder => goneTracker.goneMilliseconds(holder, now()),
	});

	const transfers = createTransferRequests({
		peer, random, self: identity, isGone: holder => directory.isProvenGone(holder),
		onTransferred(team) {
			ledger.requestRead(team);
		},
	});

	const runShard = (shard: number) => {
		const command = ledger.takeCommand(shard, contextFor(shard), now());
		if (command) {
			rateLimiter.takeToken();
			void runCommand(command);
		}
	};

	const runShards = () => {
		for (let step = 0; step < shardCount; step += 1) {
			const shard = (firstShard + step) % shardCount;
			if (!draining && !rateLimiter.hasToken(now())) {
				firstShard = shard;
				return;
			}

			runShard(shard);
		}
	};

	const expireCalls = () => {
		for (const [command, startedAt] of inFlight) {
			if (now() - startedAt > callTimeoutMilliseconds) {
				finishCommand(command, {type: 'unknown'});
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

			for (const team of applyLimits({
				usages: ledger.usages, limits, version, now: now(),
			})) {
				ledger.requestRead(team);
			}
		},
		tick() {
			expireCalls();
			ledger.expireTransfers(now());
			if (now() >= goneCheckAt) {
				goneCheckAt = now() + 1000;
				goneTracker.update(ledger.holders(), now());
			}

			runShards();
			if (!draining) {
				counters.transfersRequested += transfers.sendRequests(ledger.unmetDemand, now());
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
				ledger.addTransfer({
					transfer: {
						team, units, to: holder, zone: record.zone,
					},
					deadline: now() + transferTimeoutMilliseconds,
					respond: resolve,
				});
			});
		},
		tryAcquire({team}) {
			const usage = ledger.usages.get(team);
			if (!usage || draining || !hasFreeUnit(usage, now())) {
				ledger.usageOf(team);
				ledger.waitingTeams.add(team);
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
