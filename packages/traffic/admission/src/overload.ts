/** Admission control: decides on arrival whether a request may join the queue. No I/O. */
import {ProblemCode, millisecondsPerSecond} from '@turmericbay/types';
import type {Problem} from '@turmericbay/types';
import type {RunTimeEstimate} from './run-time.js';

export type QueueState = {
	/** Requests of the queue that are waiting at this entry instance. */
	readonly queueLength: number;
	readonly maximumQueued: number;
	/** Waiting requests of the pool that are served before this one. */
	readonly entriesAhead: number;
	/** Requests of this entry instance that the pool can run at the same time. */
	readonly concurrency: number;
	readonly freeSlots: number;
	/** Undefined before the first measured run. */
	readonly runTime: RunTimeEstimate | undefined;
	/** Requests of the team at this entry instance; set if the team has no free unit of its limit. */
	readonly teamAtLimit?: {readonly running: number; readonly queued: number};
	readonly remainingMilliseconds: number;
};

/** Expected wait until the request is sent; 0 before the first measured run. */
export const estimateWaitMilliseconds = (state: QueueState): number => {
	const {entriesAhead, concurrency, freeSlots, runTime} = state;
	const completionsBefore = Math.max(0, entriesAhead + 1 - freeSlots);
	return completionsBefore * (runTime?.meanMilliseconds ?? 0) / Math.max(1, concurrency);
};

const estimateTeamWaitMilliseconds = (state: QueueState): number => {
	const {teamAtLimit, runTime} = state;
	// Without running requests here, units must be transferred from another entry instance, and that time is unknown.
	return teamAtLimit === undefined || teamAtLimit.running === 0
		? 0
		: (teamAtLimit.queued + 1) * (runTime?.meanMilliseconds ?? 0) / teamAtLimit.running;
};

const computeRetryAfterSeconds = (waitMilliseconds: number): number =>
	Math.max(1, Math.ceil(waitMilliseconds / millisecondsPerSecond));

/**
 * Time for which a request may stay queued. If it were sent later, its response
 * would probably miss the deadline: the caller would get the outcome `unknown`
 * instead of `not-run`, and the run would occupy a slot in vain.
 */
export const computeMaximumQueueingMilliseconds = ({remainingMilliseconds, runTime}: Pick<QueueState, 'remainingMilliseconds' | 'runTime'>): number =>
	Math.max(0, remainingMilliseconds - (runTime?.likelyMaximumMilliseconds ?? 0));

/** The reason for refusing the request, or undefined if it may join the queue. */
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

	// A response after the deadline is useless but costs a slot. A request that need not wait is admitted: its run time is only an estimate.
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
