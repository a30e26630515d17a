/**
 * Refusals of requests with an idempotency key. `not-run` is a statement about
 * every attempt with the key, and only the owner of the key's claim can make it:
 * before the claim is decided, an earlier attempt may be running elsewhere.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {Outcome, getProblemOutcome, ProblemCode} from '@turmericbay/types';
import type {Problem} from '@turmericbay/types';

/** Refusals for want of room, time or knowledge; the others are faults that the caller has to correct first. */
const transientCodes = new Set([
	ProblemCode.ConfigurationUnconfirmed,
	ProblemCode.DeadlineExceeded,
	ProblemCode.DeadlineTooShort,
	ProblemCode.Draining,
	ProblemCode.NotReady,
	ProblemCode.NoUpstream,
	ProblemCode.QueueFull,
	ProblemCode.TeamAtLimit,
]);

export const correctUnclaimedOutcome = ({headers, problem}: {
	readonly headers: IncomingHttpHeaders;
	readonly problem: Problem;
}): Problem => {
	const isOutcomeUnknown = headers['idempotency-key'] !== undefined
		&& getProblemOutcome(problem) === Outcome.NotRun
		&& transientCodes.has(problem.code);
	return isOutcomeUnknown
		? {...problem, outcome: Outcome.Unknown, detail: `${problem.detail} This attempt was not run, but an earlier one with this key may have been; send it again with the same key.`}
		: problem;
};
