/** Problems that callers are told, by verdict. */
import {ProblemCode} from '@turmericbay/types';
import type {ClaimDecision, Problem} from '@turmericbay/types';
import {clockSkewMilliseconds, KeyAge, tellWithinMilliseconds} from './key.js';
import {Verdict} from './messages.js';

/** An attempt that begins sooner after a refusal is refused as well. */
const retryAfterSeconds = ((clockSkewMilliseconds + tellWithinMilliseconds) / 1000) + 1;

const problems: Readonly<Record<Exclude<Verdict, Verdict.Granted>, Problem>> = {
	[Verdict.Running]: {code: ProblemCode.AlreadyRunning, detail: 'Another attempt with this key has not ended. Ask again with the same key later.', retryAfterSeconds},
	[Verdict.Run]: {code: ProblemCode.AlreadyRun, detail: 'The request has run. Do not send it with another key.'},
	[Verdict.Unknown]: {code: ProblemCode.ClaimOutcomeUnknown, detail: 'Check the effect of the request, or try again with the same key.', retryAfterSeconds},
	[Verdict.NotRecorded]: {code: ProblemCode.ClaimNotRecorded, detail: 'No attempt with this key has run. Try again with the same key.', retryAfterSeconds},
	[Verdict.Reused]: {code: ProblemCode.IdempotencyKeyReused, detail: 'Use a new key for another request.'},
	[Verdict.NotOwner]: {code: ProblemCode.ClaimOutcomeUnknown, detail: 'The owner of the key is changing. Try again with the same key.', retryAfterSeconds},
	[Verdict.Expired]: {code: ProblemCode.IdempotencyKeyExpired, detail: 'Check the effect of the request; if it has none, send it with a new key.'},
};

export const decisionOf = (verdict: Verdict, attempt: string): ClaimDecision => verdict === Verdict.Granted
	? {type: 'granted', attempt}
	: {type: 'refused', problem: problems[verdict]};

/** Why a key is refused before anybody is asked; undefined if it is acceptable. */
export const refuseByAge = (age: KeyAge): Problem | undefined => {
	switch (age) {
		case KeyAge.Acceptable: {
			return undefined;
		}

		case KeyAge.TooOld: {
			return problems[Verdict.Expired];
		}

		case KeyAge.Ahead: {
			return {code: ProblemCode.IdempotencyKeyExpired, detail: 'The key is dated ahead. Check the clock that made it and try again with the same key.', retryAfterSeconds};
		}

		case KeyAge.FarAhead: {
			return {code: ProblemCode.IdempotencyKeyInvalid, detail: 'The key is dated ahead. Check the clock that made it.'};
		}
	}
};

export const malformedKey: Problem = {
	code: ProblemCode.IdempotencyKeyInvalid, detail: 'Use a UUIDv7 or a ticket from POST /tickets.',
};
