/** Claims of this process: `ClaimPort` for its own requests, and the owner side for peers. */
import {Settlement} from '@turmericbay/types';
import type {
	AvailabilityZone, ClaimDecision, ClaimPort, Clock, InstanceDirectory, KeyValueStore, ProcessIdentity, RandomSource, StoreError,
} from '@turmericbay/types';
import type {SessionView} from '@turmericbay/membership';
import {
	createTicket, classifyKeyAge, parseKey, partitionCount, tellWithinMilliseconds,
} from './key.js';
import {formatAttempt, Verdict} from './messages.js';
import type {ClaimMessage, ClaimPeer, SettleMessage} from './messages.js';
import {createOwner} from './owner.js';
import {createRecords} from './records.js';
import {decisionOf, malformedKey, refuseByAge} from './refusals.js';
import {createSettlements} from './settlements.js';
import type {StoreCounters} from './write-slot.js';

/** The caller is answered after this time; an owner answers sooner. */
const claimTimeoutMilliseconds = 2000;
const retryMilliseconds = 100;

/** About 100 MB of claims. */
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
	/** Bounds the memory of an owner; above it new keys are refused. */
	readonly maximumClaims?: number;
};

export type Claims = {
	/** Starts the calls that are due. Call it every 20 ms; it never waits. */
	tick(): void;
	/** Serves a peer's `Claim`. */
	handleClaim(message: ClaimMessage): Promise<Verdict>;
	/** Serves a peer's `SettleClaim`; false if this process cannot record it. */
	handleSettle(message: SettleMessage): boolean;
	/** A ticket whose partition is owned in this availability zone if possible. */
	issueTicket(): string;
	/** From now on partitions are handed over to other owners. */
	startDraining(): void;
	/** True when nothing is owned or waits any more, or nobody is there to take it. */
	isDrained(): boolean;
	status(): ClaimsStatus;
	counters(): Readonly<StoreCounters>;
} & ClaimPort;

export type ClaimsStatus = {
	readonly owned: readonly number[];
	/** Owned partitions whose earlier records have been read. */
	readonly serving: readonly number[];
	readonly claims: number;
	readonly memoryMode: boolean;
	readonly pendingSettlements: number;
	readonly segments: {readonly segments: number; readonly bytes: number};
	readonly lastError: StoreError | undefined;
};

type Waiting = {readonly deadline: number; readonly wake: () => void};

export const createClaims = (options: ClaimsOptions): Claims => {
	const {clock, random, identity, zone, directory, peer} = options;
	const counters: StoreCounters = {
		reads: 0, writes: 0, conflicts: 0, failures: 0, bytesWritten: 0, bytesRead: 0,
	};
	const records = createRecords({
		store: options.store,
		markPreviouslyListed(owner) {
			directory.markPreviouslyListed?.(owner);
		},
	});
	const owner = createOwner({
		...options, records, counters, maximumClaims: options.maximumClaims ?? defaultMaximumClaims,
	});
	const source = `${identity.instance}/${identity.incarnation}`;
	let sequence = 0;
	let waiting: Waiting[] = [];

	const now = () => clock.monotonicMilliseconds();

	const isSelf = (process: ProcessIdentity) =>
		process.instance === identity.instance && process.incarnation === identity.incarnation;

	/** The recorded owner, or before the first read the one that should be it. */
	const ownerOf = (partition: number): ProcessIdentity | undefined => {
		const plan = owner.plan();
		return records.ownerOf(partition) ?? plan.owners.get(plan.byPartition[partition] ?? '')?.identity;
	};

	const settlements = createSettlements({
		now,
		ownerOf(key) {
			const partition = parseKey(key)?.partition;
			return partition === undefined ? undefined : ownerOf(partition);
		},
		async send(to, message) {
			const recorded = isSelf(to) ? owner.settle(message) : await peer.settle({to, message});
			if (!recorded) {
				owner.wantRefresh();
			}

			return recorded;
		},
	});

	const sleepUntil = async (deadline: number) => new Promise<void>(resolve => {
		waiting.push({deadline, wake: resolve});
	});

	const askOnce = async (partition: number, message: ClaimMessage): Promise<Verdict | undefined> => {
		const to = ownerOf(partition);
		if (!to) {
			return undefined;
		}

		return isSelf(to) ? owner.claim(message) : peer.claim({to, message});
	};

	/** Asks until the owner has decided. The owner takes repeated questions of one attempt as one. */
	const ask = async (partition: number, message: ClaimMessage, isOver: () => boolean): Promise<Verdict> => {
		while (!isOver()) {
			// eslint-disable-next-line no-await-in-loop -- Each question follows the answer to the last.
			const verdict = await askOnce(partition, message);
			if (verdict !== undefined && verdict !== Verdict.NotOwner) {
				return verdict;
			}

			owner.wantRefresh();
			// eslint-disable-next-line no-await-in-loop -- Leaves time for the records to be read again.
			await sleepUntil(now() + retryMilliseconds);
		}

		return Verdict.Unknown;
	};

	/**
	 * Resolves at the deadline at the latest. An attempt that was not granted by
	 * then is never sent, which its owner is told.
	 */
	const askInTime = async (partition: number, message: ClaimMessage): Promise<Verdict> => {
		const startedAt = now();
		const deadline = startedAt + claimTimeoutMilliseconds;
		let over = false;
		const abandon = () => {
			settlements.add({...message, settlement: Settlement.NotRun});
		};

		return new Promise(resolve => {
			const finish = (verdict: Verdict) => {
				if (over) {
					return;
				}

				over = true;
				if (verdict === Verdict.Unknown) {
					abandon();
				}

				resolve(verdict);
			};

			void ask(partition, message, () => over).then(verdict => {
				if (over && verdict === Verdict.Granted) {
					abandon();
				}

				// A process that was paused in between would pass on what may no longer hold.
				const isStale = verdict === Verdict.NotRecorded && now() > startedAt + tellWithinMilliseconds;
				finish(isStale ? Verdict.Unknown : verdict);
			});
			waiting.push({
				deadline,
				wake() {
					finish(Verdict.Unknown);
				},
			});
		});
	};

	const wakeWaiting = () => {
		const due = waiting.filter(({deadline}) => deadline <= now());
		if (due.length > 0) {
			waiting = waiting.filter(({deadline}) => deadline > now());
			for (const {wake} of due) {
				wake();
			}
		}
	};

	return {
		async claim({key, team, queue, fingerprint, traceparent}): Promise<ClaimDecision> {
			const parsed = parseKey(key);
			if (!parsed) {
				return {type: 'refused', problem: malformedKey};
			}

			const startedAt = Math.floor(clock.wallMilliseconds());
			const problem = refuseByAge(classifyKeyAge({timeMilliseconds: parsed.timeMilliseconds, now: startedAt}));
			if (problem) {
				return {type: 'refused', problem};
			}

			sequence += 1;
			const attempt = formatAttempt({startedAt, sequence, source});
			return decisionOf(await askInTime(parsed.partition, {
				key: parsed.key, team, queue, fingerprint, attempt, traceparent,
			}), attempt);
		},
		settle(settlement) {
			settlements.add(settlement);
		},
		tick() {
			owner.tick();
			settlements.tick();
			wakeWaiting();
		},
		handleClaim: async message => owner.claim(message),
		handleSettle: message => owner.settle(message),
		issueTicket() {
			const {owners} = owner.plan();
			const all = Array.from({length: partitionCount}, (_, partition) => partition);
			const near = all.filter(partition => owners.get(ownerOf(partition)?.instance ?? '')?.zone === zone);
			const candidates = near.length > 0 ? near : all;
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
