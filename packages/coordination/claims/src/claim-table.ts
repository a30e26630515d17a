/**
 * Table of the claims of one partition and the verdicts on them. Pure: times
 * are passed in, and answers go to the callbacks that came with the question.
 */
import {Settlement} from '@turmericbay/types';
import type {QueueName, TeamName} from '@turmericbay/types';
import {claimRetentionMilliseconds, clockSkewMilliseconds, tellWithinMilliseconds} from './key.js';
import {Verdict} from './messages.js';

export enum ClaimState {
	/** Waits to be recorded; nothing has been granted. */
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
	/** Orders the records of one key; the highest one counts. */
	counter: number;
	/** When an attempt with this key was last refused as not run; 0 if never. */
	refusedAt: number;
	/** In the queue for the next segment. */
	dirty: boolean;
	/** In a write whose outcome is open. */
	inWrite: boolean;
	/** Block of the segment that holds the newest record; undefined if there is none. */
	block: string | undefined;
	waiting: Array<{readonly answer: (verdict: Verdict) => void; readonly deadline: number}> | undefined;
};

export type ClaimRequest = {
	readonly team: TeamName;
	readonly queue: QueueName;
	readonly key: string;
	readonly keyTime: number;
	readonly fingerprint: string;
	readonly attempt: string;
	/** When the attempt began, on the clock of the asking instance. */
	readonly startedAt: number;
};

export type PartitionView = {
	/** Keys dated before this have claims that are lost; 0 if the records are complete. */
	readonly incompleteBefore: number;
	/** An earlier owner can have refused attempts until this time without a record. */
	readonly refusedAt: number;
};

export const claimId = (team: TeamName, key: string): string => `${team} ${key}`;

const settledVerdicts: Readonly<Record<Exclude<ClaimState, ClaimState.Recording | ClaimState.Free>, Verdict>> = {
	[ClaimState.Running]: Verdict.Running,
	[ClaimState.Run]: Verdict.Run,
	[ClaimState.Unknown]: Verdict.Unknown,
};

const settledStates: Readonly<Record<Settlement, ClaimState>> = {
	[Settlement.Run]: ClaimState.Run,
	[Settlement.NotRun]: ClaimState.Free,
	[Settlement.Unknown]: ClaimState.Unknown,
};

/**
 * A refusal as not run holds for every attempt with the key. An attempt that
 * began before the caller was told may still be on its way, so it must not be
 * granted later. Its own refusal claims nothing, or else a caller that tries
 * again quickly would put off its success for ever.
 */
const beganBefore = (startedAt: number, refusedAt: number): boolean =>
	refusedAt > 0 && startedAt <= refusedAt + clockSkewMilliseconds + tellWithinMilliseconds;

/** What is known of a claim without changing anything; undefined if a new record decides. */
export const judgeClaim = (options: {
	readonly entry: ClaimEntry | undefined;
	readonly request: ClaimRequest;
	readonly partition: PartitionView;
}): Verdict | undefined => {
	const {entry, request, partition} = options;
	if (!entry) {
		if (request.keyTime < partition.incompleteBefore) {
			return Verdict.Unknown;
		}

		// A key that an earlier owner refused is dated before that, give or take the clocks.
		return request.keyTime <= partition.refusedAt + clockSkewMilliseconds && beganBefore(request.startedAt, partition.refusedAt)
			? Verdict.Unknown
			: undefined;
	}

	if (entry.state === ClaimState.Free) {
		if (entry.attempt === request.attempt) {
			return Verdict.NotRecorded;
		}

		return beganBefore(request.startedAt, entry.refusedAt) ? Verdict.Unknown : undefined;
	}

	if (entry.fingerprint !== request.fingerprint || entry.queue !== request.queue) {
		return Verdict.Reused;
	}

	if (entry.state === ClaimState.Recording) {
		return entry.attempt === request.attempt ? undefined : Verdict.Running;
	}

	return entry.state === ClaimState.Running && entry.attempt === request.attempt
		? Verdict.Granted
		: settledVerdicts[entry.state];
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
	inWrite: false,
	block: undefined,
	waiting: undefined,
});

/** Makes a new or freed entry wait for its record. */
export const beginRecording = (entry: ClaimEntry, request: ClaimRequest): void => {
	entry.queue = request.queue;
	entry.fingerprint = request.fingerprint;
	entry.attempt = request.attempt;
	entry.state = ClaimState.Recording;
	entry.counter += 1;
};

/**
 * Ends an attempt; true if that changed the entry. A settlement of another
 * attempt changes nothing: its claim was superseded or never recorded.
 */
export const settleEntry = (options: {
	readonly entry: ClaimEntry; readonly attempt: string; readonly settlement: Settlement; readonly now: number;
}): boolean => {
	const {entry, attempt, settlement, now} = options;
	const state = settledStates[settlement];
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

/** Takes a record from a segment; an older one of the same key changes nothing. */
export const mergeRecord = (claims: Map<string, ClaimEntry>, entry: ClaimEntry): void => {
	const id = claimId(entry.team, entry.key);
	const known = claims.get(id);
	if (!known || known.counter < entry.counter) {
		claims.set(id, entry);
	}
};

export const isExpired = (keyTime: number, now: number): boolean => keyTime + claimRetentionMilliseconds < now;
