/** Implements `ClaimPort` for the requests of this process, and serves claims of peers for the partitions it owns. */
import {Settlement} from '@turmericbay/types';
import type {
	AvailabilityZone, ClaimDecision, ClaimPort, Clock, InstanceDirectory, KeyValueStore, ProcessIdentity, RandomSource, StoreError,
} from '@turmericbay/types';
import type {SessionView} from '@turmericbay/membership';
import {
	classifyKeyAge, createTicket, maximumRefusalDelayMilliseconds, parseKey, partitionCount,
} from './key.js';
import {formatAttempt, Verdict} from './messages.js';
import type {ClaimMessage, ClaimPeer, SettleMessage} from './messages.js';
import {createPartitionOwner} from './owner.js';
import {createPartitionRecordCache} from './partition-record-cache.js';
import {findKeyAgeProblem, malformedKeyProblem, toClaimDecision} from './refusals.js';
import {createSettlementQueue} from './settlements.js';
import type {StoreCounters} from './write-slot.js';

/** The caller gets an answer within this time; longer than the time limit of an owner. */
const claimTimeoutMilliseconds = 2000;
const retryMilliseconds = 100;

/** Takes about 100 MB of memory. */
const defaultMaximumClaims = 300_000;

export type ClaimsOptions = {
	readonly store: KeyValueStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly identity: ProcessIdentity;
	readonly zone: AvailabilityZone;
	readonly directory: InstanceDirectory & {markPreviouslyListed?(identity: ProcessIdentity): void};
	readonly session: SessionView;
	readonly peer: ClaimPeer;
	/** Bounds the memory of an owner, which refuses new keys above it. */
	readonly maximumClaims?: number;
};

export type Claims = {
	/** Starts the store and peer calls that are due, without waiting for them. Call it every 20 ms. */
	tick(): void;
	/** Serves the `Claim` call of a peer. */
	handleClaim(message: ClaimMessage): Promise<Verdict>;
	/** Serves the `SettleClaim` call of a peer; false if this process cannot record the settlement. */
	handleSettle(message: SettleMessage): boolean;
	/** A new key for a caller, in a partition owned in this availability zone if there is one. */
	issueTicket(): string;
	/** Hands all partitions over to other owners from now on. */
	startDraining(): void;
	/** True if nothing is left to write or settle, and no partition is owned or no other owner is available. */
	isDrained(): boolean;
	status(): ClaimsStatus;
	counters(): Readonly<StoreCounters>;
} & ClaimPort;

export type ClaimsStatus = {
	readonly owned: readonly number[];
	/** Owned partitions that are neither loading nor being handed over. */
	readonly serving: readonly number[];
	readonly claims: number;
	/** True while claims are granted without being stored because the store fails. */
	readonly memoryMode: boolean;
	readonly pendingSettlements: number;
	readonly segments: {readonly segments: number; readonly bytes: number};
	readonly lastError: StoreError | undefined;
};

type Timer = {readonly deadline: number; readonly run: () => void};

export const createClaims = (options: ClaimsOptions): Claims => {
	const {clock, random, identity, zone, directory, peer} = options;
	const counters: StoreCounters = {
		reads: 0, writes: 0, conflicts: 0, failures: 0, bytesWritten: 0, bytesRead: 0,
	};
	const records = createPartitionRecordCache({
		store: options.store,
		markPreviouslyListed(owner) {
			directory.markPreviouslyListed?.(owner);
		},
	});
	const owner = createPartitionOwner({
		...options, records, counters, maximumClaims: options.maximumClaims ?? defaultMaximumClaims,
	});
	const source = `${identity.instance}/${identity.incarnation}`;
	let sequence = 0;
	let timers: Timer[] = [];

	const now = () => clock.monotonicMilliseconds();

	const isSelf = (process: ProcessIdentity) =>
		process.instance === identity.instance && process.incarnation === identity.incarnation;

	/** The owner named in the record, or the planned owner if no record was read. */
	const ownerOf = (partition: number): ProcessIdentity | undefined => {
		const plan = owner.plan();
		return records.ownerOf(partition) ?? plan.owners.get(plan.byPartition[partition] ?? '')?.identity;
	};

	const settlements = createSettlementQueue({
		now,
		ownerOf(key) {
			const partition = parseKey(key)?.partition;
			return partition === undefined ? undefined : ownerOf(partition);
		},
		async send(to, message) {
			const recorded = isSelf(to) ? owner.settle(message) : await peer.settle({to, message});
			if (!recorded) {
				owner.requestRefresh();
			}

			return recorded;
		},
	});

	const sleepUntil = async (deadline: number) => new Promise<void>(resolve => {
		timers.push({deadline, run: resolve});
	});

	const sendClaim = async (partition: number, message: ClaimMessage): Promise<Verdict | undefined> => {
		const to = ownerOf(partition);
		if (!to) {
			return undefined;
		}

		return isSelf(to) ? owner.claim(message) : peer.claim({to, message});
	};

	/** Repeats the claim until the owner has decided; the owner handles repeats of one attempt as one claim. */
	const claimUntilDecided = async (partition: number, message: ClaimMessage, isFinished: () => boolean): Promise<Verdict> => {
		while (!isFinished()) {
			// eslint-disable-next-line no-await-in-loop -- A claim is repeated only after the previous answer.
			const verdict = await sendClaim(partition, message);
			if (verdict !== undefined && verdict !== Verdict.NotOwner) {
				return verdict;
			}

			owner.requestRefresh();
			// eslint-disable-next-line no-await-in-loop -- Gives the refresh of the records time to finish.
			await sleepUntil(now() + retryMilliseconds);
		}

		return Verdict.Unknown;
	};

	/**
	 * Resolves at the deadline at the latest. An attempt that is not granted by
	 * then is never sent, so it is settled as not run.
	 */
	const claimBeforeDeadline = async (partition: number, message: ClaimMessage): Promise<Verdict> => {
		const startedAt = now();
		const deadline = startedAt + claimTimeoutMilliseconds;
		let finished = false;
		const settleAsNotRun = () => {
			settlements.add({...message, settlement: Settlement.NotRun});
		};

		return new Promise(resolve => {
			const finish = (verdict: Verdict) => {
				if (finished) {
					return;
				}

				finished = true;
				if (verdict === Verdict.Unknown) {
					settleAsNotRun();
				}

				resolve(verdict);
			};

			void claimUntilDecided(partition, message, () => finished).then(verdict => {
				if (finished && verdict === Verdict.Granted) {
					settleAsNotRun();
				}

				// After a pause of this process the refusal may no longer hold.
				const isStale = verdict === Verdict.NotRecorded && now() > startedAt + maximumRefusalDelayMilliseconds;
				finish(isStale ? Verdict.Unknown : verdict);
			});
			timers.push({
				deadline,
				run() {
					finish(Verdict.Unknown);
				},
			});
		});
	};

	const runDueTimers = () => {
		const due = timers.filter(({deadline}) => deadline <= now());
		if (due.length > 0) {
			timers = timers.filter(({deadline}) => deadline > now());
			for (const {run} of due) {
				run();
			}
		}
	};

	return {
		async claim({key, team, queue, fingerprint, traceparent}): Promise<ClaimDecision> {
			const parsed = parseKey(key);
			if (!parsed) {
				return {type: 'refused', problem: malformedKeyProblem};
			}

			const startedAt = Math.floor(clock.wallMilliseconds());
			const problem = findKeyAgeProblem(classifyKeyAge({timeMilliseconds: parsed.timeMilliseconds, now: startedAt}));
			if (problem) {
				return {type: 'refused', problem};
			}

			sequence += 1;
			const attempt = formatAttempt({startedAt, sequence, source});
			return toClaimDecision(await claimBeforeDeadline(parsed.partition, {
				key: parsed.key, team, queue, fingerprint, attempt, traceparent,
			}), attempt);
		},
		settle(settlement) {
			settlements.add(settlement);
		},
		tick() {
			owner.tick();
			settlements.tick();
			runDueTimers();
		},
		handleClaim: async message => owner.claim(message),
		handleSettle: message => owner.settle(message),
		issueTicket() {
			const {owners} = owner.plan();
			const all = Array.from({length: partitionCount}, (_, partition) => partition);
			const ownedInZone = all.filter(partition => owners.get(ownerOf(partition)?.instance ?? '')?.zone === zone);
			const candidates = ownedInZone.length > 0 ? ownedInZone : all;
			return createTicket({
				timeMilliseconds: Math.floor(clock.wallMilliseconds()),
				partition: candidates[Math.floor(random() * candidates.length)]!,
			});
		},
		startDraining() {
			owner.startDraining();
		},
		isDrained: () => owner.isDrained() && settlements.count() === 0,
		status: () => ({
			owned: owner.ownedPartitions(),
			serving: owner.servingPartitions(),
			claims: owner.claimCount(),
			memoryMode: owner.isMemoryMode(),
			pendingSettlements: settlements.count(),
			segments: owner.segmentTotals(),
			lastError: owner.lastError(),
		}),
		counters: () => counters,
	};
};
