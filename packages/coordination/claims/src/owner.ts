/** Owns partitions of the key space: decides and stores claims, and takes over and hands over partitions. */
import {sessionKey} from '@turmericbay/membership';
import type {SessionView} from '@turmericbay/membership';
import type {
	Clock, InstanceDirectory, KeyValueStore, ProcessIdentity, RandomSource, StoreError,
} from '@turmericbay/types';
import {createBackgroundWrites} from './background-writes.js';
import {createBlocks} from './blocks.js';
import {parseKey} from './key.js';
import {createSegmentLoader, loadPartitions} from './loader.js';
import {Verdict} from './messages.js';
import type {ClaimMessage, SettleMessage} from './messages.js';
import {createOwnedClaims} from './owned-claims.js';
import {PartitionPhase} from './owned-partition.js';
import type {OwnedPartition, Times} from './owned-partition.js';
import {createOwnerPlanner, findOwnershipStep, findSuccessor} from './ownership.js';
import {parseClaimMessage} from './parse-claim-message.js';
import type {PartitionRecordCache} from './partition-record-cache.js';
import {createPartitionWrites} from './partition-writes.js';
import {createSegmentWrites} from './segment-writes.js';
import {createWriteSlot} from './write-slot.js';
import type {StoreCounters, Write} from './write-slot.js';

/** Claim writes of all owners together. The claims may use 150 of the several hundred writes a second that the platform takes for everything; changes of ownership and retries need the rest. */
const totalWritesPerSecond = 130;
/** An owner answers a claim within this time; the requesting instance waits longer. */
const answerTimeoutMilliseconds = 1500;
const ownershipIntervalMilliseconds = 500;
/** Interval of the refreshes of the partition records on owners and planned owners; the other instances use the idle interval. */
const refreshIntervalMilliseconds = 5000;
const idleRefreshIntervalMilliseconds = 30_000;
const expiryIntervalMilliseconds = 10_000;
/** Shortest time between two refreshes of the records when a claim or settlement requests one. */
const requestedRefreshIntervalMilliseconds = 500;

export type PartitionOwnerOptions = {
	readonly store: KeyValueStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly identity: ProcessIdentity;
	readonly directory: InstanceDirectory;
	readonly session: SessionView;
	readonly records: PartitionRecordCache;
	readonly counters: StoreCounters;
	readonly maximumClaims: number;
};

export type PartitionOwner = ReturnType<typeof createPartitionOwner>;

export const createPartitionOwner = (options: PartitionOwnerOptions) => {
	const {store, clock, random, identity, directory, session, records, counters} = options;
	const claims = createOwnedClaims(options);
	const blocks = createBlocks();
	const now = (): Times => ({wall: Math.floor(clock.wallMilliseconds()), monotonic: clock.monotonicMilliseconds()});
	const writeSlot = createWriteSlot({
		store, random, counters, now: () => now().monotonic,
	});
	const loader = createSegmentLoader({
		store, counters, now: () => now().monotonic, onError() {
			// The loader retries; the write slot reports store failures.
		},
	});
	let draining = false;
	let refreshedAt = Number.NEGATIVE_INFINITY;
	let refreshRequested = true;
	let recordsAreCurrent = false;
	let memoryMode = false;
	let ownershipAt = Number.NEGATIVE_INFINITY;
	let expiryAt = Number.NEGATIVE_INFINITY;
	let claimsWrittenAt = Number.NEGATIVE_INFINITY;
	const planOwners = createOwnerPlanner(directory);
	let plan = planOwners();
	let writeIntervalMilliseconds = 0;

	/** After a conflict or a change of ownership the cached records may be out of date. */
	const invalidateRecords = () => {
		recordsAreCurrent = false;
		refreshRequested = true;
		refreshedAt = Number.NEGATIVE_INFINITY;
	};

	const partitionWrites = createPartitionWrites({
		self: identity, claims, records, onFinished: invalidateRecords, isProvenGone: gone => directory.isProvenGone(gone),
	});
	const segmentWrites = createSegmentWrites({
		incarnation: identity.incarnation, claims, blocks, onConflict: invalidateRecords,
	});

	const backgroundWrites = createBackgroundWrites({
		session, claims, partitionWrites, segmentWrites,
	});

	/**
	 * Memory mode starts when the lease has expired, and continues under a new lease
	 * until the store accepts writes again. Meanwhile the records name the expired
	 * session, so a successor treats the stored claims as incomplete.
	 */
	const updateMemoryMode = () => {
		memoryMode = recordsAreCurrent && writeSlot.isFailing() && (memoryMode || session.isLeaseCertainlyExpired());
	};

	/** Adds and removes owned partitions according to the records just read. */
	const reconcile = () => {
		for (const [partition, owned] of claims.partitions) {
			const stored = records.byPartition.get(partition);
			if (stored?.record.owner.incarnation === identity.incarnation && stored.record.epoch === owned.stored.record.epoch) {
				owned.stored = stored;
			} else {
				claims.dropPartition(partition);
			}
		}

		const added: OwnedPartition[] = [];
		for (const [partition, stored] of records.byPartition) {
			const {owner} = stored.record;
			if (owner.instance === identity.instance && owner.incarnation === identity.incarnation && !claims.partitions.has(partition)) {
				added.push(claims.addPartition(partition, stored));
			}
		}

		loadPartitions({
			loader,
			partitions: added.filter(({phase}) => phase === PartitionPhase.Loading),
			onLoaded(owned) {
				if (claims.partitions.get(owned.partition) === owned) {
					claims.finishLoading(owned, now());
				}
			},
		});
		const actualOwners = new Set([...records.byPartition.values()].map(({record}) => record.owner.incarnation));
		writeIntervalMilliseconds = 1000 * Math.max(plan.owners.size, actualOwners.size) / totalWritesPerSecond;
	};

	const refresh = async () => {
		refreshRequested = false;
		refreshedAt = now().monotonic;
		const result = await writeSlot.read(async () => records.read());
		result.match(({bytes}) => {
			counters.bytesRead += bytes;
			writeSlot.reportSuccess();
			recordsAreCurrent = true;
			reconcile();
		}, (error: StoreError) => {
			refreshRequested = true;
			writeSlot.reportFailure(error);
		});
	};

	const takeOver = async (step: {readonly from: ProcessIdentity; readonly partitions: readonly number[]}, sessionId: string) => {
		const result = await writeSlot.read(async () => store.read({key: sessionKey(step.from.instance)}));
		if (result.isErr()) {
			writeSlot.reportFailure(result.error);
			return;
		}

		writeSlot.start(partitionWrites.takeOver({...step, sessionEntry: result.value}, sessionId, now().wall));
	};

	/** Starts releasing partitions that another process should own; serves them again if that changes or the store fails. Returns those that can be handed over now. */
	const updateReleasingPartitions = () => {
		const releasable = new Set<number>();
		for (const owned of claims.partitions.values()) {
			const hasSuccessor = !writeSlot.isFailing() && findSuccessor({
				partition: owned.partition, record: owned.stored.record, self: identity, plan, now: now().wall, isStopping: draining,
			}) !== undefined;
			if (owned.phase === PartitionPhase.Serving && hasSuccessor) {
				owned.phase = PartitionPhase.Releasing;
			} else if (owned.phase === PartitionPhase.Releasing && !hasSuccessor) {
				owned.phase = PartitionPhase.Serving;
			}

			if (owned.phase === PartitionPhase.Releasing && claims.isFullyRecorded(owned.partition)) {
				releasable.add(owned.partition);
			}
		}

		return releasable;
	};

	const isListed = () => directory.instances().some(({instance, incarnation}) =>
		instance === identity.instance && incarnation === identity.incarnation);

	/** True if a change of ownership was started. */
	const changeOwnership = (): boolean => {
		ownershipAt = now().monotonic + ownershipIntervalMilliseconds;
		plan = planOwners(draining ? identity.instance : undefined);
		const sessionId = session.sessionId();
		const step = findOwnershipStep({
			self: identity,
			plan,
			records: records.byPartition,
			isProvenGone: gone => directory.isProvenGone(gone),
			releasable: updateReleasingPartitions(),
			now: now().wall,
			isStopping: draining,
			canAcquire: !draining && sessionId !== undefined && isListed(),
		});
		switch (step?.type) {
			case undefined: {
				return false;
			}

			case 'create': {
				writeSlot.start(partitionWrites.create(step.partitions, sessionId!, now().wall));
				return true;
			}

			case 'take-over': {
				void takeOver(step, sessionId!);
				return true;
			}

			case 'hand-over': {
				writeSlot.start(partitionWrites.handOver(step.to, step.partitions, now().wall));
				return true;
			}
		}
	};

	const writeClaims = (time: Times): Write | undefined => {
		if (claims.dirtyCount() === 0 || time.monotonic < claimsWrittenAt + writeIntervalMilliseconds) {
			return undefined;
		}

		return segmentWrites.writeClaims(time);
	};

	const startNextWrite = (time: Times) => {
		const isOwner = claims.partitions.size > 0 || plan.owners.has(identity.instance);
		const interval = isOwner ? refreshIntervalMilliseconds : idleRefreshIntervalMilliseconds;
		if ((refreshRequested && time.monotonic >= refreshedAt + requestedRefreshIntervalMilliseconds) || time.monotonic >= refreshedAt + interval) {
			void refresh();
			return;
		}

		if (time.monotonic >= ownershipAt && changeOwnership()) {
			return;
		}

		// Background writes count against the same rate limit as writes of claims.
		const write = writeClaims(time) ?? (time.monotonic >= claimsWrittenAt + writeIntervalMilliseconds ? backgroundWrites.next(time) : undefined);
		if (write) {
			claimsWrittenAt = time.monotonic;
			writeSlot.start(write);
		}
	};

	return {
		tick() {
			const time = now();
			writeSlot.tick();
			void loader.tick();
			updateMemoryMode();
			claims.answerDueClaims(time, {isMemoryMode: memoryMode, sessionId: session.sessionId()});
			if (time.monotonic >= expiryAt) {
				expiryAt = time.monotonic + expiryIntervalMilliseconds;
				claims.expireClaims(time);
			}

			if (writeSlot.isFree()) {
				startNextWrite(time);
			}
		},
		async claim(message: ClaimMessage): Promise<Verdict> {
			const time = now();
			const parsed = parseClaimMessage(message, time);
			return parsed
				? new Promise(resolve => {
					claims.claim(parsed.partition, {
						request: parsed.request, deadline: time.monotonic + answerTimeoutMilliseconds, respond: resolve,
					});
				})
				: Verdict.Expired;
		},
		settle(message: SettleMessage): boolean {
			const parsed = parseKey(message.key);
			return parsed !== undefined && claims.settle({...message, key: parsed.key, partition: parsed.partition}, now());
		},
		/** Requests a refresh of the records, for instance after an owner did not respond. */
		requestRefresh() {
			refreshRequested = true;
		},
		startDraining() {
			draining = true;
		},
		isDrained: () => draining && writeSlot.isFree() && claims.dirtyCount() === 0
			&& (claims.partitions.size === 0 || plan.owners.size === 0),
		plan: () => plan,
		isMemoryMode: () => memoryMode,
		ownedPartitions: () => [...claims.partitions.keys()],
		servingPartitions: () => [...claims.partitions.values()].filter(({phase}) => phase === PartitionPhase.Serving).map(({partition}) => partition),
		claimCount: () => claims.count(),
		segmentTotals: () => blocks.totals(),
		lastError: () => writeSlot.lastError(),
	};
};
