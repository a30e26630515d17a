/** The problems returned to callers for each verdict and key age. */
import {ProblemCode} from '@turmericbay/types';
import type {ClaimDecision, Problem} from '@turmericbay/types';
import {clockSkewMilliseconds, KeyAge, maximumRefusalDelayMilliseconds} from './key.js';
import {Verdict} from './messages.js';

/** An attempt that begins sooner after a not-run answer is refused as unknown. */
const retryAfterSeconds = ((clockSkewMilliseconds + maximumRefusalDelayMilliseconds) / 1000) + 1;

const problemByVerdict: Readonly<Record<Exclude<Verdict, Verdict.Granted>, Problem>> = {
	[Verdict.Running]: {code: ProblemCode.AlreadyRunning, detail: 'Another attempt with this key has not ended. Ask again with the same key later.', retryAfterSeconds},
	[Verdict.Run]: {code: ProblemCode.AlreadyRun, detail: 'The request has run. Do not send it with another key.'},
	[Verdict.Unknown]: {code: ProblemCode.ClaimOutcomeUnknown, detail: 'Check the effect of the request, or try again with the same key.', retryAfterSeconds},
	[Verdict.NotRecorded]: {code: ProblemCode.ClaimNotRecorded, detail: 'No attempt with this key has run. Try again with the same key.', retryAfterSeconds},
	[Verdict.Reused]: {code: ProblemCode.IdempotencyKeyReused, detail: 'Use a new key for another request.'},
	[Verdict.NotOwner]: {code: ProblemCode.ClaimOutcomeUnknown, detail: 'The owner of the key is changing. Try again with the same key.', retryAfterSeconds},
	[Verdict.Expired]: {code: ProblemCode.IdempotencyKeyExpired, detail: 'Check the effect of the request; if it has none, send it with a new key.'},
};

export const toClaimDecision = (verdict: Verdict, attempt: string): ClaimDecision => verdict === Verdict.Granted
	? {type: 'granted', attempt}
	: {type: 'refused', problem: problemByVerdict[verdict]};

/** The problem of a key that is refused without a claim; undefined if its age is acceptable. */
export const findKeyAgeProblem = (age: KeyAge): Problem | undefined => {
	switch (age) {
		case KeyAge.Acceptable: {
			return undefined;
		}

		case KeyAge.TooOld: {
			return problemByVerdict[Verdict.Expired];
		}

		case KeyAge.Ahead: {
			return {code: ProblemCode.IdempotencyKeyExpired, detail: 'The key is dated ahead. Check the clock that made it and try again with the same key.', retryAfterSeconds};
		}

		case KeyAge.FarAhead: {
			return {code: ProblemCode.IdempotencyKeyInvalid, detail: 'The key is dated ahead. Check the clock that made it.'};
		}
	}
};

export const malformedKeyProblem: Problem = {
	code: ProblemCode.IdempotencyKeyInvalid, detail: 'Use a UUIDv7 or a ticket from POST /tickets.',
};
