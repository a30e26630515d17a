/**
 * Decides whether a task starts at its preferred place, starts elsewhere, or waits for capacity at
 * the preferred place. Elsewhere it takes longer, so waiting can end sooner; a wait has a bound.
 */

export enum ElsewhereReason {
	/** The preferred place has no worker that could run the task: none is schedulable, or none is large enough. */
	NoPlace = 'no-place',
	/** The task ends sooner elsewhere, or nearly as soon. */
	EndsSooner = 'ends-sooner',
	/** Waiting would miss the objective, which is met elsewhere. */
	Objective = 'objective',
	/** The wait has reached its bound. */
	Bound = 'bound',
	/** The forecasts of this wait did not come true. */
	ForecastFailed = 'forecast-failed',
}

export type PlaceDecision
	= | {readonly type: 'start-here'}
		| {readonly type: 'start-elsewhere'; readonly reason: ElsewhereReason}
		/** `until` is when capacity is expected at the preferred place; `boundAt` is when the wait ends without it. */
		| {readonly type: 'wait'; readonly until: number; readonly boundAt: number};

/** Expected start and end of a task. */
export type ForecastSlot = {readonly startAt: number; readonly endAt: number};

export type WaitState = {
	/** Latest time at which the wait may still continue. */
	readonly boundAt: number;
	/** How often the expected capacity was not there at the expected time. */
	readonly failedForecasts: number;
};

/** A wait ends when this many of its forecasts have failed: the estimates for the place are unreliable. */
const maximumFailedForecasts = 2;

/**
 * A wait begins only if it is expected to save this share of the run time. Forecasts are uncertain: without it, many of the
 * tasks that want the same rack wait in vain (docs/design/waiting-for-place.md).
 */
const minimumSavingShare = 0.2;

/** All times are milliseconds on the owner's monotonic clock. */
export type PlaceQuestion = {
	readonly now: number;
	/** Undefined if the task cannot run at the preferred place. */
	readonly here: ForecastSlot | undefined;
	/** Expected end of a start elsewhere now. */
	readonly elsewhereEndAt: number;
	/** Duration of other tasks that capacity elsewhere would serve during the additional run time; 0 if none is waiting for it. */
	readonly displacedMilliseconds: number;
	/** Latest end with which the job meets its objective. */
	readonly latestEndAt: number;
	/** When the wait is counted from, if it begins now; earlier than now if a previous owner may have let the task wait. */
	readonly waitingSince: number;
	/** Undefined if the task has not waited yet. */
	readonly wait: WaitState | undefined;
};

export type DecidePlace = (question: PlaceQuestion) => PlaceDecision;

/** Compares the expected ends here and elsewhere. */
export const decidePlace: DecidePlace = question => {
	const {now, here, elsewhereEndAt, displacedMilliseconds, latestEndAt, waitingSince, wait} = question;
	if (!here) {
		return {type: 'start-elsewhere', reason: ElsewhereReason.NoPlace};
	}

	if (here.startAt <= now && here.endAt <= elsewhereEndAt) {
		return {type: 'start-here'};
	}

	if (wait && wait.failedForecasts >= maximumFailedForecasts) {
		return {type: 'start-elsewhere', reason: ElsewhereReason.ForecastFailed};
	}

	// A longer wait than this could not have been made up for by the shorter run time.
	const gain = (elsewhereEndAt - now) - (here.endAt - here.startAt) + displacedMilliseconds;
	const boundAt = wait?.boundAt ?? waitingSince + Math.max(0, gain);
	if (boundAt <= now) {
		return {type: 'start-elsewhere', reason: wait ? ElsewhereReason.Bound : ElsewhereReason.EndsSooner};
	}

	if (here.endAt > latestEndAt && elsewhereEndAt <= latestEndAt) {
		return {type: 'start-elsewhere', reason: ElsewhereReason.Objective};
	}

	const minimumSaving = wait ? 0 : minimumSavingShare * (here.endAt - here.startAt);
	return here.endAt + minimumSaving < elsewhereEndAt + displacedMilliseconds
		? {type: 'wait', until: here.startAt, boundAt}
		: {type: 'start-elsewhere', reason: ElsewhereReason.EndsSooner};
};
