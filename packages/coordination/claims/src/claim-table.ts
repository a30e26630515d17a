/**
 * States of the claims of one partition, and how a claim request is decided
 * from them. Pure functions: the caller passes in the time.
 */
import {Settlement} from '@turmericbay/types';
import type {QueueName, TeamName} from '@turmericbay/types';
import {claimRetentionMilliseconds, clockSkewMilliseconds, maximumRefusalDelayMilliseconds} from './key.js';
import {Verdict} from './messages.js';

export enum ClaimState {
	/** Not stored yet; no attempt has been granted. */
	Recording = 0,
	Running = 1,
	Run = 2,
	Unknown = 3,
	/** No attempt has run; the key may be claimed again. */
	Free = 4,
}

export type ClaimEntry = {
	readonly partition: number;
	readonly team: TeamName;
	readonly key: string;
	readonly keyTime: number;
	queue: QueueName;
	fingerprint: string;
	attempt: string;
	state: ClaimState;
	/** Orders the records of one key; the record with the highest counter is in force. */
	counter: number;
	/** Wall clock time of the last not-run answer for this key (`NotRecorded`, or a settlement as not run); 0 if there was none. */
	refusedAt: number;
	/** Changed since it was last written; queued for the next segment. */
	dirty: boolean;
	/** Part of a write whose outcome is not known yet. */
	writeInFlight: boolean;
	/** Block of the segment with the newest record; undefined if this process has not written one. */
	block: string | undefined;
	/** Callers that are answered once the claim is stored. */
	waiters: Array<{readonly respond: (verdict: Verdict) => void; readonly deadline: number}> | undefined;
};

export type ClaimRequest = {
	readonly team: TeamName;
	readonly queue: QueueName;
	readonly key: string;
	readonly keyTime: number;
	readonly fingerprint: string;
	readonly attempt: string;
	/** Wall clock of the requesting instance when the attempt began. */
	readonly startedAt: number;
};

/** Which claims of a partition may be missing from its records after a change of owner. */
export type RecordGaps = {
	/** Claims of keys dated before this may be lost; 0 if the records are complete. */
	readonly incompleteBefore: number;
	/** An earlier owner may have given not-run answers up to this time without recording them. */
	readonly refusedAt: number;
};

export const claimId = (team: TeamName, key: string): string => `${team} ${key}`;

const verdictByState: Readonly<Record<Exclude<ClaimState, ClaimState.Recording | ClaimState.Free>, Verdict>> = {
	[ClaimState.Running]: Verdict.Running,
	[ClaimState.Run]: Verdict.Run,
	[ClaimState.Unknown]: Verdict.Unknown,
};

const stateBySettlement: Readonly<Record<Settlement, ClaimState>> = {
	[Settlement.Run]: ClaimState.Run,
	[Settlement.NotRun]: ClaimState.Free,
	[Settlement.Unknown]: ClaimState.Unknown,
};

/**
 * A not-run answer covers every attempt with the key. An attempt that began
 * before the caller got the answer may still reach the owner, so it must not be
 * granted then. Its own refusal does not move `refusedAt`; otherwise a caller that
 * retries quickly would never succeed.
 */
const startedBeforeRefusal = (startedAt: number, refusedAt: number): boolean =>
	refusedAt > 0 && startedAt <= refusedAt + clockSkewMilliseconds + maximumRefusalDelayMilliseconds;

/** The verdict that follows from the known state; undefined if the claim has to be recorded first. */
export const evaluateClaim = (options: {
	readonly entry: ClaimEntry | undefined;
	readonly request: ClaimRequest;
	readonly gaps: RecordGaps;
}): Verdict | undefined => {
	const {entry, request, gaps} = options;
	if (!entry) {
		if (request.keyTime < gaps.incompleteBefore) {
			return Verdict.Unknown;
		}

		// Apart from clock skew, a key is dated before its not-run answer by an earlier owner, so a key dated later cannot have had one.
		return request.keyTime <= gaps.refusedAt + clockSkewMilliseconds && startedBeforeRefusal(request.startedAt, gaps.refusedAt)
			? Verdict.Unknown
			: undefined;
	}

	if (entry.state === ClaimState.Free) {
		if (entry.attempt === request.attempt) {
			return Verdict.NotRecorded;
		}

		return startedBeforeRefusal(request.startedAt, entry.refusedAt) ? Verdict.Unknown : undefined;
	}

	if (entry.fingerprint !== request.fingerprint || entry.queue !== request.queue) {
		return Verdict.Reused;
	}

	if (entry.state === ClaimState.Recording) {
		return entry.attempt === request.attempt ? undefined : Verdict.Running;
	}

	return entry.state === ClaimState.Running && entry.attempt === request.attempt
		? Verdict.Granted
		: verdictByState[entry.state];
};

export const createEntry = (partition: number, request: Omit<ClaimRequest, 'startedAt'>): ClaimEntry => ({
	partition,
	team: request.team,
	key: request.key,
	keyTime: request.keyTime,
	queue: request.queue,
	fingerprint: request.fingerprint,
	attempt: request.attempt,
	state: ClaimState.Recording,
	counter: 0,
	refusedAt: 0,
	dirty: false,
	writeInFlight: false,
	block: undefined,
	waiters: undefined,
});

/** Assigns a new or free entry to the attempt; it is granted once it is stored. */
export const beginRecording = (entry: ClaimEntry, request: ClaimRequest): void => {
	entry.queue = request.queue;
	entry.fingerprint = request.fingerprint;
	entry.attempt = request.attempt;
	entry.state = ClaimState.Recording;
	entry.counter += 1;
};

/**
 * Applies the outcome of an attempt; true if the entry changed. The settlement
 * of another attempt than the entry's is ignored: that attempt's claim was
 * superseded or never recorded.
 */
export const settleEntry = (options: {
	readonly entry: ClaimEntry; readonly attempt: string; readonly settlement: Settlement; readonly now: number;
}): boolean => {
	const {entry, attempt, settlement, now} = options;
	const state = stateBySettlement[settlement];
	if (entry.attempt !== attempt || entry.state === state || entry.state === ClaimState.Run || entry.state === ClaimState.Free) {
		return false;
	}

	entry.state = state;
	entry.counter += 1;
	if (state === ClaimState.Free) {
		entry.refusedAt = now;
	}

	return true;
};

/** Adds a record read from a segment, unless a newer one of the same key is present. */
export const mergeRecord = (claims: Map<string, ClaimEntry>, entry: ClaimEntry): void => {
	const id = claimId(entry.team, entry.key);
	const known = claims.get(id);
	if (!known || known.counter < entry.counter) {
		claims.set(id, entry);
	}
};

export const isExpired = (keyTime: number, now: number): boolean => keyTime + claimRetentionMilliseconds < now;
