/**
 * Refusals of requests with an idempotency key. The outcome `not-run` applies to
 * all attempts with the key, and only the entry instance that owns the key's
 * claim knows them: until it has decided, an earlier attempt may be running
 * through another entry instance.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {Outcome, getProblemOutcome, ProblemCode} from '@turmericbay/types';
import type {Problem} from '@turmericbay/types';

/** Refusals for lack of capacity, time or configuration. The others are errors that the caller has to correct before a retry. */
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

/** Replaces the outcome `not-run` by `unknown` if an earlier attempt with the same idempotency key may have run. */
export const reportOutcomeUnknown = ({headers, problem}: {
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
