/** Decides on arrival whether a request may join the queue. No I/O. */
import {ProblemCode, millisecondsPerSecond} from '@turmericbay/types';
import type {Problem} from '@turmericbay/types';
import type {RunTimeEstimate} from './run-time.js';

export type QueueState = {
	/** Requests of the queue that wait at this entry instance. */
	readonly queueLength: number;
	readonly maximumQueued: number;
	/** Entries that are served earlier. */
	readonly entriesAhead: number;
	/** Requests that the pool runs at a time as seen from this instance. */
	readonly concurrency: number;
	readonly freeSlots: number;
	/** Measured; undefined before the first answer. */
	readonly runTime: RunTimeEstimate | undefined;
	/** Set if the team has no free unit of its limit. */
	readonly teamAtLimit?: {readonly running: number; readonly queued: number};
	readonly remainingMilliseconds: number;
};

/** Wait until the request is sent; 0 as long as nothing has been measured. */
export const estimateWaitMilliseconds = (state: QueueState): number => {
	const {entriesAhead, concurrency, freeSlots, runTime} = state;
	const completionsBefore = Math.max(0, entriesAhead + 1 - freeSlots);
	return completionsBefore * (runTime?.meanMilliseconds ?? 0) / Math.max(1, concurrency);
};

const estimateTeamWaitMilliseconds = (state: QueueState): number => {
	const {teamAtLimit, runTime} = state;
	// Units held elsewhere may still be transferred, so no wait can be named while none is here.
	return teamAtLimit === undefined || teamAtLimit.running === 0
		? 0
		: (teamAtLimit.queued + 1) * (runTime?.meanMilliseconds ?? 0) / teamAtLimit.running;
};

const computeRetryAfterSeconds = (waitMilliseconds: number): number =>
	Math.max(1, Math.ceil(waitMilliseconds / millisecondsPerSecond));

/**
 * How long a request may stay queued. One that is sent later would most likely
 * be answered after its deadline: its caller would learn `unknown` instead of
 * `not-run`, and a slot would be lost.
 */
export const computeMaximumQueueingMilliseconds = ({remainingMilliseconds, runTime}: Pick<QueueState, 'remainingMilliseconds' | 'runTime'>): number =>
	Math.max(0, remainingMilliseconds - (runTime?.likelyMaximumMilliseconds ?? 0));

/** The reason for refusing at once, or undefined if the request may queue. */
export const checkAdmission = (state: QueueState): Problem | undefined => {
	const waitMilliseconds = estimateWaitMilliseconds(state);
	const teamWaitMilliseconds = estimateTeamWaitMilliseconds(state);
	if (state.remainingMilliseconds <= 0) {
		return {code: ProblemCode.DeadlineExceeded, detail: 'Allow more time for the request.'};
	}

	if (teamWaitMilliseconds > state.remainingMilliseconds) {
		return {
			code: ProblemCode.TeamAtLimit,
			detail: 'Wait until running requests of the team have ended.',
			retryAfterSeconds: computeRetryAfterSeconds(teamWaitMilliseconds),
		};
	}

	if (state.queueLength >= state.maximumQueued) {
		return {
			code: ProblemCode.QueueFull,
			detail: 'Retry later, with backoff.',
			retryAfterSeconds: computeRetryAfterSeconds(waitMilliseconds),
		};
	}

	// An answer after the deadline is as useless as none, but costs a slot. Without a wait only the run can tell.
	const likelyRunMilliseconds = state.runTime?.likelyMaximumMilliseconds ?? 0;
	if (waitMilliseconds > 0 && waitMilliseconds + likelyRunMilliseconds > state.remainingMilliseconds) {
		return {
			code: ProblemCode.DeadlineTooShort,
			detail: `The expected wait is ${Math.ceil(waitMilliseconds)} ms; allow more time or retry later.`,
			retryAfterSeconds: computeRetryAfterSeconds(waitMilliseconds),
		};
	}

	return undefined;
};
