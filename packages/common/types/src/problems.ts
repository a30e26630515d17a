/**
 * Problem details (RFC 9457) that callers receive. Every code has one status
 * and one outcome, so that an error never claims more than is known.
 */

export enum Outcome {
	/** No upstream has run, or will run, the request. */
	NotRun = 'not-run',
	/** An upstream may have run the request. */
	Unknown = 'unknown',
	/** An upstream has run the request, but its response is no longer available. */
	Run = 'run',
}

export enum ProblemCode {
	MalformedRequest = 'MALFORMED_REQUEST',
	RequestTimeout = 'REQUEST_TIMEOUT',
	KeyMissing = 'KEY_MISSING',
	KeyRejected = 'KEY_REJECTED',
	TeamNotAllowed = 'TEAM_NOT_ALLOWED',
	QueueUnknown = 'QUEUE_UNKNOWN',
	BodyTooLarge = 'BODY_TOO_LARGE',
	HeadersTooLarge = 'HEADERS_TOO_LARGE',
	IdempotencyKeyMissing = 'IDEMPOTENCY_KEY_MISSING',
	IdempotencyKeyInvalid = 'IDEMPOTENCY_KEY_INVALID',
	IdempotencyKeyExpired = 'IDEMPOTENCY_KEY_EXPIRED',
	IdempotencyKeyReused = 'IDEMPOTENCY_KEY_REUSED',
	/** Another attempt with this key is running. */
	AlreadyRunning = 'ALREADY_RUNNING',
	AlreadyRun = 'ALREADY_RUN',
	/** The claim may have been recorded for an attempt whose outcome is not known. */
	ClaimOutcomeUnknown = 'CLAIM_OUTCOME_UNKNOWN',
	ClaimNotRecorded = 'CLAIM_NOT_RECORDED',
	TeamAtLimit = 'TEAM_AT_LIMIT',
	QueueFull = 'QUEUE_FULL',
	DeadlineTooShort = 'DEADLINE_TOO_SHORT',
	DeadlineExceeded = 'DEADLINE_EXCEEDED',
	NoUpstream = 'NO_UPSTREAM',
	ConfigurationUnconfirmed = 'CONFIGURATION_UNCONFIRMED',
	NotReady = 'NOT_READY',
	Draining = 'DRAINING',
	UpstreamFailed = 'UPSTREAM_FAILED',
	UpstreamTimeout = 'UPSTREAM_TIMEOUT',
	AnswerIncomplete = 'ANSWER_INCOMPLETE',
}

export type ProblemKind = {
	readonly status: number;
	readonly outcome: Outcome;
	readonly title: string;
};

const notRun = (status: number, title: string): ProblemKind => ({status, outcome: Outcome.NotRun, title});
const unknown = (status: number, title: string): ProblemKind => ({status, outcome: Outcome.Unknown, title});

export const problemKinds: Readonly<Record<ProblemCode, ProblemKind>> = {
	[ProblemCode.MalformedRequest]: notRun(400, 'The request is malformed'),
	[ProblemCode.RequestTimeout]: notRun(408, 'The request did not arrive in time'),
	[ProblemCode.KeyMissing]: notRun(401, 'The queue needs a team key'),
	[ProblemCode.KeyRejected]: notRun(401, 'The team key is not valid'),
	[ProblemCode.TeamNotAllowed]: notRun(403, 'The team may not use this queue'),
	[ProblemCode.QueueUnknown]: notRun(404, 'There is no such queue'),
	[ProblemCode.BodyTooLarge]: notRun(413, 'The request body is too large'),
	[ProblemCode.HeadersTooLarge]: notRun(431, 'The request headers are too large'),
	[ProblemCode.IdempotencyKeyMissing]: notRun(400, 'The queue needs an idempotency key'),
	[ProblemCode.IdempotencyKeyInvalid]: notRun(400, 'The idempotency key carries no acceptable time'),
	[ProblemCode.IdempotencyKeyExpired]: unknown(409, 'The idempotency key is older than the claim lifetime'),
	[ProblemCode.IdempotencyKeyReused]: unknown(422, 'The idempotency key was used for another request'),
	[ProblemCode.AlreadyRunning]: unknown(409, 'A request with this idempotency key is running'),
	[ProblemCode.AlreadyRun]: {status: 409, outcome: Outcome.Run, title: 'The request with this idempotency key has run'},
	[ProblemCode.ClaimOutcomeUnknown]: unknown(409, 'It is not known whether a request with this idempotency key has run'),
	[ProblemCode.ClaimNotRecorded]: notRun(503, 'The idempotency key cannot be recorded now'),
	[ProblemCode.TeamAtLimit]: notRun(429, 'The team is at its upper limit'),
	[ProblemCode.QueueFull]: notRun(503, 'The queue is full'),
	[ProblemCode.DeadlineTooShort]: notRun(503, 'The expected wait exceeds the deadline'),
	[ProblemCode.DeadlineExceeded]: notRun(503, 'The deadline passed before the request was sent'),
	[ProblemCode.NoUpstream]: notRun(503, 'No upstream of the pool can take the request'),
	[ProblemCode.ConfigurationUnconfirmed]: notRun(503, 'It cannot be confirmed that the team key is still valid'),
	[ProblemCode.NotReady]: notRun(503, 'This entry instance has no configuration yet'),
	[ProblemCode.Draining]: notRun(503, 'This entry instance is shutting down'),
	[ProblemCode.UpstreamFailed]: unknown(502, 'The upstream failed after the request was sent'),
	[ProblemCode.UpstreamTimeout]: unknown(504, 'The upstream did not answer in time'),
	[ProblemCode.AnswerIncomplete]: unknown(502, 'The upstream cut its answer short'),
};

/** A problem as it is passed between layers; `detail` tells the caller what to do. */
export type Problem = {
	readonly code: ProblemCode;
	readonly detail: string;
	/** Replaces the outcome of the code if less is known. */
	readonly outcome?: Outcome;
	readonly retryAfterSeconds?: number;
};

export const getProblemOutcome = (problem: Problem): Outcome => problem.outcome ?? problemKinds[problem.code].outcome;
