/**
 * The claims of all partitions that this process owns: decides claim requests,
 * applies settlements and selects the claims of the next segment. Does no I/O.
 */
import type {Settlement, TeamName} from '@turmericbay/types';
import {
	beginRecording, claimId, ClaimState, createEntry, evaluateClaim, isExpired, settleEntry,
} from './claim-table.js';
import type {ClaimEntry} from './claim-table.js';
import {clockSkewMilliseconds} from './key.js';
import {Verdict} from './messages.js';
import {canGrantFromMemory, createOwnedPartition, PartitionPhase} from './owned-partition.js';
import type {OwnedPartition, PendingClaim, Times} from './owned-partition.js';
import type {StoredRecord} from './partition-record.js';

export type WriteBatch = ReadonlyArray<{readonly entry: ClaimEntry; readonly counter: number}>;

export type OwnedClaims = ReturnType<typeof createOwnedClaims>;

export const createOwnedClaims = (options: {readonly maximumClaims: number}) => {
	const partitions = new Map<number, OwnedPartition>();
	let dirty: ClaimEntry[] = [];
	const awaitingRecord = new Set<ClaimEntry>();
	/** Granted in memory mode and not stored yet; the stored records are incomplete until this is empty. */
	const unrecordedGrants = new Set<ClaimEntry>();
	/** Entries by the minute of their key, for expiry. */
	const byMinute = new Map<number, ClaimEntry[]>();
	let count = 0;

	const markDirty = (entry: ClaimEntry) => {
		if (!entry.dirty) {
			entry.dirty = true;
			dirty.push(entry);
		}
	};

	const addEntry = (owned: OwnedPartition, entry: ClaimEntry) => {
		owned.claims.set(claimId(entry.team, entry.key), entry);
		const minute = Math.floor(entry.keyTime / 60_000);
		const bucket = byMinute.get(minute);
		if (bucket) {
			bucket.push(entry);
		} else {
			byMinute.set(minute, [entry]);
		}

		count += 1;
	};

	const respondToWaiters = (entry: ClaimEntry, verdict: Verdict) => {
		const waiters = entry.waiters ?? [];
		entry.waiters = undefined;
		awaitingRecord.delete(entry);
		for (const {respond} of waiters) {
			respond(verdict);
		}
	};

	const grantFromMemory = (entry: ClaimEntry) => {
		entry.state = ClaimState.Running;
		unrecordedGrants.add(entry);
		respondToWaiters(entry, Verdict.Granted);
	};

	const refuse = (entry: ClaimEntry, now: Times) => {
		entry.state = ClaimState.Free;
		entry.counter += 1;
		entry.refusedAt = now.wall;
		respondToWaiters(entry, Verdict.NotRecorded);
	};

	const startRecording = (owned: OwnedPartition, pending: PendingClaim) => {
		const {request, deadline, respond} = pending;
		let entry = owned.claims.get(claimId(request.team, request.key));
		if (!entry && count >= options.maximumClaims) {
			// `Unknown`, since without an entry a later attempt could still be granted.
			respond(Verdict.Unknown);
			return;
		}

		if (!entry) {
			entry = createEntry(owned.partition, request);
			addEntry(owned, entry);
		}

		if (entry.state !== ClaimState.Recording || entry.counter === 0) {
			beginRecording(entry, request);
			markDirty(entry);
		}

		(entry.waiters ??= []).push({respond, deadline});
		awaitingRecord.add(entry);
	};

	const decideClaim = (owned: OwnedPartition, pending: PendingClaim) => {
		const {request, respond} = pending;
		const {takenAt} = owned.stored.record;
		if (owned.phase === PartitionPhase.Loading && request.keyTime <= takenAt + clockSkewMilliseconds) {
			owned.deferred.push(pending);
			return;
		}

		const verdict = evaluateClaim({
			entry: owned.claims.get(claimId(request.team, request.key)), request, gaps: owned,
		});
		if (verdict === undefined) {
			startRecording(owned, pending);
		} else {
			respond(verdict);
		}
	};

	const confirmRecorded = (entry: ClaimEntry, counter: number, block: string) => {
		entry.writeInFlight = false;
		entry.block = block;
		if (!entry.dirty) {
			unrecordedGrants.delete(entry);
		}

		if (entry.counter === counter && entry.state === ClaimState.Recording) {
			entry.state = ClaimState.Running;
			respondToWaiters(entry, Verdict.Granted);
		}
	};

	const canGrantPartitionFromMemory = (partition: number, sessionId: string | undefined) => {
		const owned = partitions.get(partition);
		return owned ? canGrantFromMemory(owned, sessionId) : false;
	};

	/** An earlier owner may have granted or refused a free key again without recording it. */
	const applyRecordGaps = (owned: OwnedPartition, entry: ClaimEntry) => {
		if (entry.state === ClaimState.Free) {
			entry.state = entry.keyTime < owned.incompleteBefore ? ClaimState.Unknown : ClaimState.Free;
			entry.refusedAt = Math.max(entry.refusedAt, owned.refusedAt);
		}
	};

	/** False if the entry was removed in the meantime, for instance with its partition. */
	const isCurrent = (entry: ClaimEntry) =>
		partitions.get(entry.partition)?.claims.get(claimId(entry.team, entry.key)) === entry;

	const removeFromSets = (entry: ClaimEntry) => {
		awaitingRecord.delete(entry);
		unrecordedGrants.delete(entry);
	};

	return {
		partitions,
		count: () => count,
		dirtyCount: () => dirty.length,
		unrecordedGrantCount: () => unrecordedGrants.size,
		addPartition(partition: number, stored: StoredRecord): OwnedPartition {
			const owned = createOwnedPartition(partition, stored);
			partitions.set(partition, owned);
			return owned;
		},
		/** Removes a partition that now belongs to another owner. */
		dropPartition(partition: number) {
			const owned = partitions.get(partition);
			partitions.delete(partition);
			for (const {respond} of owned?.deferred ?? []) {
				respond(Verdict.NotOwner);
			}

			for (const entry of owned?.claims.values() ?? []) {
				respondToWaiters(entry, Verdict.NotOwner);
				removeFromSets(entry);
				count -= 1;
			}

			dirty = dirty.filter(entry => entry.partition !== partition);
		},
		claim(partition: number, pending: PendingClaim) {
			const owned = partitions.get(partition);
			if (owned && owned.phase !== PartitionPhase.Releasing) {
				decideClaim(owned, pending);
			} else {
				pending.respond(Verdict.NotOwner);
			}
		},
		/** False if this process cannot record the settlement. */
		settle(settlement: {
			readonly partition: number; readonly team: TeamName; readonly key: string; readonly attempt: string; readonly settlement: Settlement;
		}, now: Times): boolean {
			const owned = partitions.get(settlement.partition);
			if (owned?.phase !== PartitionPhase.Serving) {
				return false;
			}

			const entry = owned.claims.get(claimId(settlement.team, settlement.key));
			if (entry && settleEntry({...settlement, entry, now: now.wall})) {
				markDirty(entry);
				if (entry.state === ClaimState.Free) {
					respondToWaiters(entry, Verdict.NotRecorded);
				}
			}

			return true;
		},
		/** Adds the claims of earlier owners and decides the claim requests that waited for them. */
		finishLoading(owned: OwnedPartition, now: Times) {
			owned.phase = PartitionPhase.Serving;
			for (const [id, entry] of owned.loaded) {
				if (!owned.claims.has(id) && !isExpired(entry.keyTime, now.wall)) {
					applyRecordGaps(owned, entry);
					addEntry(owned, entry);
				}
			}

			owned.loaded.clear();
			const {deferred} = owned;
			owned.deferred = [];
			for (const pending of deferred) {
				decideClaim(owned, pending);
			}
		},
		/** Answers claims whose deadline has passed and, in memory mode, grants those that may be granted without a record. */
		answerDueClaims(now: Times, {isMemoryMode, sessionId}: {readonly isMemoryMode: boolean; readonly sessionId: string | undefined}) {
			for (const owned of partitions.values()) {
				for (const {respond} of owned.deferred.filter(({deadline}) => deadline <= now.monotonic)) {
					respond(Verdict.Unknown);
				}

				owned.deferred = owned.deferred.filter(({deadline}) => deadline > now.monotonic);
			}

			for (const entry of awaitingRecord) {
				if (isMemoryMode && !entry.writeInFlight && canGrantPartitionFromMemory(entry.partition, sessionId)) {
					grantFromMemory(entry);
				} else if (entry.waiters?.some(({deadline}) => deadline <= now.monotonic)) {
					if (entry.writeInFlight) {
						respondToWaiters(entry, Verdict.Unknown);
					} else {
						refuse(entry, now);
					}
				}
			}
		},
		/** Takes the claims of the next segment; `finishBatch` has to follow with the outcome of the write. */
		takeBatch(maximum: number): WriteBatch {
			const batch: Array<{entry: ClaimEntry; counter: number}> = [];
			const rest: ClaimEntry[] = [];
			for (const entry of dirty) {
				if (batch.length < maximum && partitions.has(entry.partition) && !entry.writeInFlight) {
					entry.dirty = false;
					entry.writeInFlight = true;
					batch.push({entry, counter: entry.counter});
				} else {
					rest.push(entry);
				}
			}

			dirty = rest;
			return batch;
		},
		/** `block` is undefined if the write had no effect. */
		finishBatch(batch: WriteBatch, block: string | undefined) {
			for (const {entry, counter} of batch) {
				if (block === undefined) {
					entry.writeInFlight = false;
					if (isCurrent(entry)) {
						markDirty(entry);
					}
				} else {
					confirmRecorded(entry, counter, block);
				}
			}
		},
		/** Removes claims that are older than the retention time. */
		expireClaims(now: Times) {
			for (const [minute, entries] of byMinute) {
				if (!isExpired((minute + 1) * 60_000, now.wall)) {
					continue;
				}

				byMinute.delete(minute);
				for (const entry of entries) {
					if (isCurrent(entry)) {
						partitions.get(entry.partition)!.claims.delete(claimId(entry.team, entry.key));
						removeFromSets(entry);
						count -= 1;
					}
				}
			}
		},
		/** True if the present state of all claims of the partition is stored. Valid only while no write is in flight. */
		isFullyRecorded: (partition: number) => [dirty, awaitingRecord, unrecordedGrants].every(entries =>
			[...entries].every(entry => entry.partition !== partition)),
	};
};
