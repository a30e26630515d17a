/** Handles one request of a caller from its arrival to the response, with retries. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {getFlowName} from '@turmericbay/admission';
import type {ConfigurationDocument} from '@turmericbay/document';
import {computeBackoffMilliseconds} from '@turmericbay/routing';
import type {RetryBudget, RetryScope} from '@turmericbay/routing';
import {Outcome, getProblemOutcome, ProblemCode} from '@turmericbay/types';
import type {PoolName, Problem, TeamName} from '@turmericbay/types';
import {receiveRequest} from './arrival.js';
import {runAttempt} from './attempt.js';
import type {AttemptContext, Authorization} from './attempt.js';
import {sendBufferedResponse} from './caller-response.js';
import {isRepeatable, parseTarget} from './exchange.js';
import type {Exchange} from './exchange.js';
import {requestIdHeader} from './headers.js';
import {reportOutcomeUnknown} from './unclaimed-refusal.js';
import {SpanName} from './ports.js';
import type {GatewayTelemetry} from './ports.js';
import type {PoolQueue, QueueResult} from './pool-queue.js';
import {sendProblem} from './problem-response.js';
import {createRefusedOutcome} from './send-result.js';
import type {AttemptOutcome} from './send-result.js';
import {parseTraceparent} from './trace-context.js';

/** Undefined if the caller has disconnected, so that no response can be sent. */
type RequestResult = AttemptOutcome | undefined;

export type GatewayContext = AttemptContext & {
	readonly getPoolQueue: (pool: PoolName) => PoolQueue;
	readonly retryBudget: RetryBudget;
};

const queueAttempt = async (context: GatewayContext, exchange: Exchange, authorization: Authorization, document: ConfigurationDocument): Promise<QueueResult<AttemptOutcome>> => {
	const pool = document.pools[authorization.queue.pool]!;
	const span = context.telemetry.startSpan({name: SpanName.QueueWait, parent: exchange.span.context});
	exchange.attempts++;
	const result = await context.getPoolQueue(authorization.queue.pool).run({
		id: `${exchange.id}/${exchange.attempts}`,
		queueName: exchange.queueName,
		queue: authorization.queue,
		team: authorization.team,
		share: authorization.share,
		remainingMilliseconds: exchange.deadline - context.options.clock.monotonicMilliseconds(),
		disconnectSignal: exchange.disconnectSignal,
	}, async () => {
		span.end({});
		return runAttempt(context, exchange, authorization, pool);
	});
	if (result.type !== 'ran') {
		span.end({result: result.type});
	}

	return result;
};

/** A refusal must not report `not-run` if an earlier attempt may have run. */
const preserveUnknownOutcome = (exchange: Exchange, authorization: Authorization, problem: Problem): Problem => {
	if (exchange.unknownOutcomeProblem !== undefined && getProblemOutcome(problem) === Outcome.NotRun) {
		return exchange.unknownOutcomeProblem;
	}

	return exchange.isClaimDecided || isRepeatable(authorization.queue, exchange.method)
		? problem
		: reportOutcomeUnknown({headers: exchange.headers, problem});
};

const getRetryScope = (exchange: Exchange, authorization: Authorization): RetryScope => ({
	pool: authorization.queue.pool,
	flow: getFlowName({team: authorization.team, queue: exchange.queueName}),
});

/** Waits before the next attempt; false if no further attempt is allowed. */
const waitBeforeRetry = async (context: GatewayContext, exchange: Exchange, authorization: Authorization): Promise<boolean> => {
	const {maximumAttempts, backoffBaseMilliseconds, backoffMaximumMilliseconds} = context.settings;
	const {clock, random} = context.options;
	const waitMilliseconds = computeBackoffMilliseconds({
		attempt: exchange.attempts, baseMilliseconds: backoffBaseMilliseconds, maximumMilliseconds: backoffMaximumMilliseconds, random,
	});
	const inTime = clock.monotonicMilliseconds() + waitMilliseconds < exchange.deadline;
	if (exchange.attempts >= maximumAttempts || !inTime || !context.retryBudget.tryConsume(getRetryScope(exchange, authorization))) {
		return false;
	}

	await delay(waitMilliseconds);
	return !exchange.disconnectSignal.aborted;
};

const runWithRetries = async (context: GatewayContext, exchange: Exchange, authorization: Authorization, document: ConfigurationDocument): Promise<RequestResult> => {
	context.retryBudget.recordRequest(getRetryScope(exchange, authorization));
	for (;;) {
		const result = await queueAttempt(context, exchange, authorization, document); // eslint-disable-line no-await-in-loop
		if (result.type === 'cancelled') {
			return undefined;
		}

		const outcome: AttemptOutcome = result.type === 'ran' ? result.value : createRefusedOutcome(result.problem);
		if (outcome.type !== 'problem') {
			return outcome;
		}

		if (getProblemOutcome(outcome.problem) !== Outcome.NotRun) {
			exchange.unknownOutcomeProblem = outcome.problem;
		}

		if (!outcome.retryable || !await waitBeforeRetry(context, exchange, authorization)) { // eslint-disable-line no-await-in-loop
			return {...outcome, problem: preserveUnknownOutcome(exchange, authorization, outcome.problem)};
		}
	}
};

const sendOutcome = (response: ServerResponse, outcome: AttemptOutcome): void => {
	switch (outcome.type) {
		case 'answer': {
			sendBufferedResponse(response, outcome.head, outcome.body);
			break;
		}

		case 'problem': {
			sendProblem(response, outcome.problem);
			break;
		}

		case 'cut-while-streaming': {
			response.destroy();
			break;
		}

		case 'streamed': {
			break;
		}
	}
};

const reportInternalError = (telemetry: GatewayTelemetry, error: unknown): void => {
	telemetry.onEvent({type: 'internal-error', message: error instanceof Error ? error.stack ?? error.message : String(error)});
};

/** Destroys the connection if the response cannot be written, so that it does not look complete. */
const trySendOutcome = (telemetry: GatewayTelemetry, response: ServerResponse, outcome: AttemptOutcome): void => {
	try {
		sendOutcome(response, outcome);
	} catch (error) {
		reportInternalError(telemetry, error);
		response.destroy();
	}
};

type ServeResult = {readonly outcome: RequestResult; readonly team: TeamName | undefined};

/** An error in the gateway itself: whether the upstream ran the request is unknown. */
const internalErrorOutcome: AttemptOutcome = createRefusedOutcome({code: ProblemCode.UpstreamFailed, detail: 'A fault inside the entry instance; the request may have run.'});

const serve = async (context: GatewayContext, request: IncomingMessage, response: ServerResponse, span: Exchange['span']): Promise<ServeResult> => {
	try {
		const arrivedAt = context.options.clock.monotonicMilliseconds();
		const received = await receiveRequest(context, {
			request, response, span, arrivedAt,
		});
		switch (received.type) {
			case 'accepted': {
				const {exchange, authorization, document} = received;
				return {outcome: await runWithRetries(context, exchange, authorization, document), team: authorization.team};
			}

			case 'refused': {
				return {outcome: createRefusedOutcome(reportOutcomeUnknown({headers: request.headers, problem: received.problem})), team: undefined};
			}

			case 'disconnected': {
				return {outcome: undefined, team: undefined};
			}
		}
	} catch (error) {
		reportInternalError(context.telemetry, error);
		return {outcome: internalErrorOutcome, team: undefined};
	}
};

const getTraceContext = ({headers: {traceparent, tracestate}}: IncomingMessage) => parseTraceparent(
	typeof traceparent === 'string' ? traceparent : undefined,
	typeof tracestate === 'string' ? tracestate : undefined,
);

export const handleRequest = async (context: GatewayContext, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const {telemetry, options: {clock}} = context;
	const startedAt = clock.monotonicMilliseconds();
	const span = telemetry.startSpan({name: SpanName.CallerToEntry, parent: getTraceContext(request)});
	const requestId = request.headers[requestIdHeader];
	if (typeof requestId === 'string') {
		response.setHeader(requestIdHeader, requestId);
	}

	const {outcome, team} = await serve(context, request, response, span);
	if (outcome === undefined || (response.destroyed && outcome.type !== 'streamed')) {
		span.end({result: 'hang-up'});
		return;
	}

	trySendOutcome(telemetry, response, outcome);
	span.end({status: response.statusCode});
	telemetry.onEvent({
		type: 'request-finished',
		queue: parseTarget(request.url ?? '')?.queueName ?? '',
		team,
		status: response.statusCode,
		code: outcome.type === 'problem' ? outcome.problem.code : undefined,
		durationMilliseconds: clock.monotonicMilliseconds() - startedAt,
	});
};
