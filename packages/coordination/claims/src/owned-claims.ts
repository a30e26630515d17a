/**
 * Decision core of an owner: the tables of the partitions that it owns and the
 * systems that answer claims, settle them and choose what is recorded next.
 */
import type {Settlement, TeamName} from '@turmericbay/types';
import {
	beginRecording, claimId, ClaimState, createEntry, isExpired, judgeClaim, settleEntry,
} from './claim-table.js';
import type {ClaimEntry} from './claim-table.js';
import {clockSkewMilliseconds} from './key.js';
import {Verdict} from './messages.js';
import {canGrantFromMemory, createOwnedPartition, PartitionPhase} from './owned-partition.js';
import type {OwnedPartition, Question, Times} from './owned-partition.js';
import type {StoredRecord} from './partition-record.js';

export type Batch = ReadonlyArray<{readonly entry: ClaimEntry; readonly counter: number}>;

export type OwnedClaims = ReturnType<typeof createOwnedClaims>;

export const createOwnedClaims = (options: {readonly maximumClaims: number}) => {
	const partitions = new Map<number, OwnedPartition>();
	let dirty: ClaimEntry[] = [];
	const recording = new Set<ClaimEntry>();
	/** Granted without a record; the records are not complete until this is empty. */
	const memoryGrants = new Set<ClaimEntry>();
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

	const answerWaiting = (entry: ClaimEntry, verdict: Verdict) => {
		const waiting = entry.waiting ?? [];
		entry.waiting = undefined;
		recording.delete(entry);
		for (const {answer} of waiting) {
			answer(verdict);
		}
	};

	const grantFromMemory = (entry: ClaimEntry) => {
		entry.state = ClaimState.Running;
		memoryGrants.add(entry);
		answerWaiting(entry, Verdict.Granted);
	};

	const refuse = (entry: ClaimEntry, now: Times) => {
		entry.state = ClaimState.Free;
		entry.counter += 1;
		entry.refusedAt = now.wall;
		answerWaiting(entry, Verdict.NotRecorded);
	};

	const record = (owned: OwnedPartition, question: Question) => {
		const {request, deadline, answer} = question;
		let entry = owned.claims.get(claimId(request.team, request.key));
		if (!entry && count >= options.maximumClaims) {
			// Without room for an entry nothing would keep another attempt from running.
			answer(Verdict.Unknown);
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

		(entry.waiting ??= []).push({answer, deadline});
		recording.add(entry);
	};

	const decide = (owned: OwnedPartition, question: Question) => {
		const {request, answer} = question;
		const {takenAt} = owned.stored.record;
		if (owned.phase === PartitionPhase.Loading && request.keyTime <= takenAt + clockSkewMilliseconds) {
			owned.postponed.push(question);
			return;
		}

		const verdict = judgeClaim({
			entry: owned.claims.get(claimId(request.team, request.key)), request, partition: owned,
		});
		if (verdict === undefined) {
			record(owned, question);
		} else {
			answer(verdict);
		}
	};

	const finishOne = (entry: ClaimEntry, counter: number, block: string) => {
		entry.inWrite = false;
		entry.block = block;
		if (!entry.dirty) {
			memoryGrants.delete(entry);
		}

		if (entry.counter === counter && entry.state === ClaimState.Recording) {
			entry.state = ClaimState.Running;
			answerWaiting(entry, Verdict.Granted);
		}
	};

	const mayGrantFromMemory = (partition: number, sessionId: string | undefined) => {
		const owned = partitions.get(partition);
		return owned ? canGrantFromMemory(owned, sessionId) : false;
	};

	/** A freed key can have been granted or refused again by an earlier owner without a record. */
	const doubtFreed = (owned: OwnedPartition, entry: ClaimEntry) => {
		if (entry.state === ClaimState.Free) {
			entry.state = entry.keyTime < owned.incompleteBefore ? ClaimState.Unknown : ClaimState.Free;
			entry.refusedAt = Math.max(entry.refusedAt, owned.refusedAt);
		}
	};

	/** False for entries of partitions that were dropped meanwhile. */
	const isCurrent = (entry: ClaimEntry) =>
		partitions.get(entry.partition)?.claims.get(claimId(entry.team, entry.key)) === entry;

	const forget = (entry: ClaimEntry) => {
		recording.delete(entry);
		memoryGrants.delete(entry);
	};

	return {
		partitions,
		count: () => count,
		dirtyCount: () => dirty.length,
		memoryGrantCount: () => memoryGrants.size,
		own(partition: number, stored: StoredRecord): OwnedPartition {
			const owned = createOwnedPartition(partition, stored);
			partitions.set(partition, owned);
			return owned;
		},
		/** Drops a partition that belongs to another owner now. */
		drop(partition: number) {
			const owned = partitions.get(partition);
			partitions.delete(partition);
			for (const {answer} of owned?.postponed ?? []) {
				answer(Verdict.NotOwner);
			}

			for (const entry of owned?.claims.values() ?? []) {
				answerWaiting(entry, Verdict.NotOwner);
				forget(entry);
				count -= 1;
			}

			dirty = dirty.filter(entry => entry.partition !== partition);
		},
		claim(partition: number, question: Question) {
			const owned = partitions.get(partition);
			if (owned && owned.phase !== PartitionPhase.Releasing) {
				decide(owned, question);
			} else {
				question.answer(Verdict.NotOwner);
			}
		},
		/** False if this owner cannot record the settlement. */
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
					answerWaiting(entry, Verdict.NotRecorded);
				}
			}

			return true;
		},
		/** Answers the questions that waited for the records of earlier owners. */
		finishLoading(owned: OwnedPartition, now: Times) {
			owned.phase = PartitionPhase.Serving;
			for (const [id, entry] of owned.staged) {
				if (!owned.claims.has(id) && !isExpired(entry.keyTime, now.wall)) {
					doubtFreed(owned, entry);
					addEntry(owned, entry);
				}
			}

			owned.staged.clear();
			const questions = owned.postponed;
			owned.postponed = [];
			for (const question of questions) {
				decide(owned, question);
			}
		},
		/** Answers what has waited too long, and everything that may be granted from memory. */
		expireWaiting(now: Times, {isMemoryMode, sessionId}: {readonly isMemoryMode: boolean; readonly sessionId: string | undefined}) {
			for (const owned of partitions.values()) {
				for (const {answer} of owned.postponed.filter(({deadline}) => deadline <= now.monotonic)) {
					answer(Verdict.Unknown);
				}

				owned.postponed = owned.postponed.filter(({deadline}) => deadline > now.monotonic);
			}

			for (const entry of recording) {
				if (isMemoryMode && !entry.inWrite && mayGrantFromMemory(entry.partition, sessionId)) {
					grantFromMemory(entry);
				} else if (entry.waiting?.some(({deadline}) => deadline <= now.monotonic)) {
					if (entry.inWrite) {
						answerWaiting(entry, Verdict.Unknown);
					} else {
						refuse(entry, now);
					}
				}
			}
		},
		/** The claims for the next segment; they count as being written until `finishBatch`. */
		takeBatch(maximum: number): Batch {
			const batch: Array<{entry: ClaimEntry; counter: number}> = [];
			const rest: ClaimEntry[] = [];
			for (const entry of dirty) {
				if (batch.length < maximum && partitions.has(entry.partition) && !entry.inWrite) {
					entry.dirty = false;
					entry.inWrite = true;
					batch.push({entry, counter: entry.counter});
				} else {
					rest.push(entry);
				}
			}

			dirty = rest;
			return batch;
		},
		/** `block` is undefined if the write certainly had no effect. */
		finishBatch(batch: Batch, block: string | undefined) {
			for (const {entry, counter} of batch) {
				if (block === undefined) {
					entry.inWrite = false;
					if (isCurrent(entry)) {
						markDirty(entry);
					}
				} else {
					finishOne(entry, counter, block);
				}
			}
		},
		/** Forgets claims whose keys nobody accepts any more. */
		expireClaims(now: Times) {
			for (const [minute, entries] of byMinute) {
				if (!isExpired((minute + 1) * 60_000, now.wall)) {
					continue;
				}

				byMinute.delete(minute);
				for (const entry of entries) {
					if (isCurrent(entry)) {
						partitions.get(entry.partition)!.claims.delete(claimId(entry.team, entry.key));
						forget(entry);
						count -= 1;
					}
				}
			}
		},
		/** True if every claim of the partition is recorded as it stands; holds only while no write is in flight. */
		isSettled: (partition: number) => [dirty, recording, memoryGrants].every(entries =>
			[...entries].every(entry => entry.partition !== partition)),
	};
};
