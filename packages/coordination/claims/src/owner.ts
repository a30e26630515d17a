/** The owner side of claims: answers peers, records claims, takes and hands over partitions. */
import {sessionKey} from '@turmericbay/membership';
import type {SessionView} from '@turmericbay/membership';
import type {
	Clock, InstanceDirectory, KeyValueStore, ProcessIdentity, RandomSource, StoreError,
} from '@turmericbay/types';
import {createBlocks} from './blocks.js';
import {
	clockSkewMilliseconds, classifyKeyAge, KeyAge, parseKey,
} from './key.js';
import {createLoader, loadPartitions} from './loader.js';
import {Verdict} from './messages.js';
import type {ClaimMessage, SettleMessage} from './messages.js';
import {createOwnedClaims} from './owned-claims.js';
import {PartitionPhase} from './owned-partition.js';
import type {OwnedPartition, Times} from './owned-partition.js';
import {createOwnerPlanner, findOwnershipStep, findSuccessor} from './ownership.js';
import {createPartitionWrites} from './partition-writes.js';
import {readQuestion} from './question.js';
import type {Records} from './records.js';
import {createSegmentWrites} from './segment-writes.js';
import {createTidying} from './tidying.js';
import {createWriteSlot} from './write-slot.js';
import type {StoreCounters, Write} from './write-slot.js';

/** All owners together stay under 150 writes a second; ownership and settlement of faults need the rest. */
const writesPerSecondOfAllOwners = 130;
/** An owner answers within this time; the asking instance waits a little longer. */
const answerTimeoutMilliseconds = 1500;
const ownershipIntervalMilliseconds = 500;
const refreshIntervalMilliseconds = 5000;
const idleRefreshIntervalMilliseconds = 30_000;
const expiryIntervalMilliseconds = 10_000;
/** A refresh that a question asked for waits this long after the last one. */
const requestedRefreshMilliseconds = 500;

export type OwnerOptions = {
	readonly store: KeyValueStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly identity: ProcessIdentity;
	readonly directory: InstanceDirectory;
	readonly session: SessionView;
	readonly records: Records;
	readonly counters: StoreCounters;
	readonly maximumClaims: number;
};

export type Owner = ReturnType<typeof createOwner>;

export const createOwner = (options: OwnerOptions) => {
	const {store, clock, random, identity, directory, session, records, counters} = options;
	const claims = createOwnedClaims(options);
	const blocks = createBlocks();
	const now = (): Times => ({wall: Math.floor(clock.wallMilliseconds()), monotonic: clock.monotonicMilliseconds()});
	const slot = createWriteSlot({
		store, random, counters, now: () => now().monotonic,
	});
	const loader = createLoader({
		store, counters, now: () => now().monotonic, onError() {
			// The loader tries again; the write slot reports that the store fails.
		},
	});
	let draining = false;
	let refreshedAt = Number.NEGATIVE_INFINITY;
	let refreshWanted = true;
	let recordsAreTrusted = false;
	let memoryMode = false;
	let ownershipAt = Number.NEGATIVE_INFINITY;
	let expiryAt = Number.NEGATIVE_INFINITY;
	let claimsWrittenAt = Number.NEGATIVE_INFINITY;
	const planOwners = createOwnerPlanner(directory);
	let plan = planOwners();
	let paceMilliseconds = 0;

	/** After a conflict or a change of ownership nothing is certain until the records have been read. */
	const distrustRecords = () => {
		recordsAreTrusted = false;
		refreshWanted = true;
		refreshedAt = Number.NEGATIVE_INFINITY;
	};

	const partitionWrites = createPartitionWrites({
		self: identity, claims, records, onFinished: distrustRecords, isProvenGone: gone => directory.isProvenGone(gone),
	});
	const segmentWrites = createSegmentWrites({
		incarnation: identity.incarnation, claims, blocks, onConflict: distrustRecords,
	});

	const tidying = createTidying({
		session, claims, partitionWrites, segmentWrites,
	});

	/**
	 * Goes on after the session is renewed until the store takes writes again. The
	 * records still name the lapsed session, so a successor does not trust them.
	 */
	const updateMemoryMode = () => {
		memoryMode = recordsAreTrusted && slot.isFailing() && (memoryMode || session.isLeaseCertainlyExpired());
	};

	/** Brings the tables in line with the records just read. */
	const reconcile = () => {
		for (const [partition, owned] of claims.partitions) {
			const stored = records.byPartition.get(partition);
			if (stored?.record.owner.incarnation === identity.incarnation && stored.record.epoch === owned.stored.record.epoch) {
				owned.stored = stored;
			} else {
				claims.drop(partition);
			}
		}

		const added: OwnedPartition[] = [];
		for (const [partition, stored] of records.byPartition) {
			const {owner} = stored.record;
			if (owner.instance === identity.instance && owner.incarnation === identity.incarnation && !claims.partitions.has(partition)) {
				added.push(claims.own(partition, stored));
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
		paceMilliseconds = 1000 * Math.max(plan.owners.size, actualOwners.size) / writesPerSecondOfAllOwners;
	};

	const refresh = async () => {
		refreshWanted = false;
		refreshedAt = now().monotonic;
		const result = await slot.read(async () => records.read());
		result.match(({bytes}) => {
			counters.bytesRead += bytes;
			slot.reportSuccess();
			recordsAreTrusted = true;
			reconcile();
		}, (error: StoreError) => {
			refreshWanted = true;
			slot.reportFailure(error);
		});
	};

	const takeOver = async (step: {readonly from: ProcessIdentity; readonly partitions: readonly number[]}, sessionId: string) => {
		const result = await slot.read(async () => store.read({key: sessionKey(step.from.instance)}));
		if (result.isErr()) {
			slot.reportFailure(result.error);
			return;
		}

		slot.start(partitionWrites.takeOver({...step, sessionEntry: result.value}, sessionId, now().wall));
	};

	/** Stops taking claims for partitions that should go, and takes them up again while the store fails. */
	const chooseReleased = () => {
		const released = new Set<number>();
		for (const owned of claims.partitions.values()) {
			const shouldGo = !slot.isFailing() && findSuccessor({
				partition: owned.partition, record: owned.stored.record, self: identity, plan, now: now().wall, isStopping: draining,
			}) !== undefined;
			if (owned.phase === PartitionPhase.Serving && shouldGo) {
				owned.phase = PartitionPhase.Releasing;
			} else if (owned.phase === PartitionPhase.Releasing && !shouldGo) {
				owned.phase = PartitionPhase.Serving;
			}

			if (owned.phase === PartitionPhase.Releasing && claims.isSettled(owned.partition)) {
				released.add(owned.partition);
			}
		}

		return released;
	};

	const isListed = () => directory.instances().some(({instance, incarnation}) =>
		instance === identity.instance && incarnation === identity.incarnation);

	/** True if a step was started. */
	const changeOwnership = (): boolean => {
		ownershipAt = now().monotonic + ownershipIntervalMilliseconds;
		plan = planOwners(draining ? identity.instance : undefined);
		const sessionId = session.sessionId();
		const step = findOwnershipStep({
			self: identity,
			plan,
			records: records.byPartition,
			isProvenGone: gone => directory.isProvenGone(gone),
			releasable: chooseReleased(),
			now: now().wall,
			isStopping: draining,
			mayTake: !draining && sessionId !== undefined && isListed(),
		});
		switch (step?.type) {
			case undefined: {
				return false;
			}

			case 'create': {
				slot.start(partitionWrites.create(step.partitions, sessionId!, now().wall));
				return true;
			}

			case 'take-over': {
				void takeOver(step, sessionId!);
				return true;
			}

			case 'hand-over': {
				slot.start(partitionWrites.handOver(step.to, step.partitions, now().wall));
				return true;
			}
		}
	};

	const writeClaims = (time: Times): Write | undefined => {
		if (claims.dirtyCount() === 0 || time.monotonic < claimsWrittenAt + paceMilliseconds) {
			return undefined;
		}

		return segmentWrites.writeClaims(time);
	};

	const startNextWrite = (time: Times) => {
		const isOwner = claims.partitions.size > 0 || plan.owners.has(identity.instance);
		const interval = isOwner ? refreshIntervalMilliseconds : idleRefreshIntervalMilliseconds;
		if ((refreshWanted && time.monotonic >= refreshedAt + requestedRefreshMilliseconds) || time.monotonic >= refreshedAt + interval) {
			void refresh();
			return;
		}

		if (time.monotonic >= ownershipAt && changeOwnership()) {
			return;
		}

		// Merges and deletions take their turn in the pace of the claims.
		const write = writeClaims(time) ?? (time.monotonic >= claimsWrittenAt + paceMilliseconds ? tidying.next(time) : undefined);
		if (write) {
			claimsWrittenAt = time.monotonic;
			slot.start(write);
		}
	};

	return {
		tick() {
			const time = now();
			slot.tick();
			void loader.tick();
			updateMemoryMode();
			claims.expireWaiting(time, {isMemoryMode: memoryMode, sessionId: session.sessionId()});
			if (time.monotonic >= expiryAt) {
				expiryAt = time.monotonic + expiryIntervalMilliseconds;
				claims.expireClaims(time);
			}

			if (slot.isFree()) {
				startNextWrite(time);
			}
		},
		async claim(message: ClaimMessage): Promise<Verdict> {
			const time = now();
			const question = readQuestion(message, time);
			return question
				? new Promise(resolve => {
					claims.claim(question.partition, {
						request: question.request, deadline: time.monotonic + answerTimeoutMilliseconds, answer: resolve,
					});
				})
				: Verdict.Expired;
		},
		settle(message: SettleMessage): boolean {
			const parsed = parseKey(message.key);
			return parsed !== undefined && claims.settle({...message, key: parsed.key, partition: parsed.partition}, now());
		},
		/** Asks for the records to be read again, for instance after an owner did not answer. */
		wantRefresh() {
			refreshWanted = true;
		},
		startDraining() {
			draining = true;
		},
		isDrained: () => draining && slot.isFree() && claims.dirtyCount() === 0
			&& (claims.partitions.size === 0 || plan.owners.size === 0),
		plan: () => plan,
		isMemoryMode: () => memoryMode,
		ownedPartitions: () => [...claims.partitions.keys()],
		servingPartitions: () => [...claims.partitions.values()].filter(({phase}) => phase === PartitionPhase.Serving).map(({partition}) => partition),
		claimCount: () => claims.count(),
		segmentTotals: () => blocks.totals(),
		lastError: () => slot.lastError(),
	};
};
