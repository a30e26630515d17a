/** Takes one caller's request from arrival to answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {flowName} from '@turmericbay/admission';
import type {ConfigurationDocument} from '@turmericbay/document';
import {backoffMilliseconds} from '@turmericbay/routing';
import type {RetryBudget, RetryScope} from '@turmericbay/routing';
import {Outcome, getProblemOutcome, ProblemCode} from '@turmericbay/types';
import type {PoolName, Problem, TeamName} from '@turmericbay/types';
import {receiveRequest} from './arrival.js';
import {runAttempt} from './attempt.js';
import type {Allowed, AttemptContext} from './attempt.js';
import {answerWhole} from './caller-answer.js';
import {isRepeatable, parseTarget} from './exchange.js';
import type {Exchange} from './exchange.js';
import {requestIdHeader} from './headers.js';
import {qualifyUnclaimedRefusal} from './keyed-refusal.js';
import {SpanName} from './ports.js';
import type {GatewayTelemetry} from './ports.js';
import type {PoolQueue, QueueResult} from './pool-queue.js';
import {answerProblem} from './problem-answer.js';
import {refusedOutcome} from './send-result.js';
import type {AttemptOutcome} from './send-result.js';
import {parseTraceparent} from './trace-context.js';

/** Undefined if the caller is gone and nobody is left to be answered. */
type FlowResult = AttemptOutcome | undefined;

export type FlowContext = AttemptContext & {
	readonly poolQueue: (pool: PoolName) => PoolQueue;
	readonly retries: RetryBudget;
};

const queueOnce = async (context: FlowContext, exchange: Exchange, allowed: Allowed, document: ConfigurationDocument): Promise<QueueResult<AttemptOutcome>> => {
	const pool = document.pools[allowed.queue.pool]!;
	const span = context.telemetry.startSpan({name: SpanName.QueueWait, parent: exchange.span.context});
	exchange.attempts++;
	const result = await context.poolQueue(allowed.queue.pool).run({
		id: `${exchange.id}/${exchange.attempts}`,
		queueName: exchange.queueName,
		queue: allowed.queue,
		team: allowed.team,
		share: allowed.share,
		remainingMilliseconds: exchange.deadline - context.options.clock.monotonicMilliseconds(),
		hangUp: exchange.hangUp,
	}, async () => {
		span.end({});
		return runAttempt(context, exchange, allowed, pool);
	});
	if (result.type !== 'ran') {
		span.end({result: result.type});
	}

	return result;
};

/** A refusal of a later attempt must not deny that an earlier one may have run. */
const withoutFalseRefusal = (exchange: Exchange, allowed: Allowed, problem: Problem): Problem => {
	if (exchange.unknownProblem !== undefined && getProblemOutcome(problem) === Outcome.NotRun) {
		return exchange.unknownProblem;
	}

	return exchange.isClaimDecided || isRepeatable(allowed.queue, exchange.method)
		? problem
		: qualifyUnclaimedRefusal({headers: exchange.headers, problem});
};

const retryScope = (exchange: Exchange, allowed: Allowed): RetryScope => ({
	pool: allowed.queue.pool,
	payer: flowName({team: allowed.team, queue: exchange.queueName}),
});

/** Waits before the next attempt; false if there must be none. */
const backoff = async (context: FlowContext, exchange: Exchange, allowed: Allowed): Promise<boolean> => {
	const {maximumAttempts, backoffBaseMilliseconds, backoffMaximumMilliseconds} = context.settings;
	const {clock, random} = context.options;
	const wait = backoffMilliseconds({
		attempt: exchange.attempts, baseMilliseconds: backoffBaseMilliseconds, maximumMilliseconds: backoffMaximumMilliseconds, random,
	});
	const inTime = clock.monotonicMilliseconds() + wait < exchange.deadline;
	if (exchange.attempts >= maximumAttempts || !inTime || !context.retries.trySpend(retryScope(exchange, allowed))) {
		return false;
	}

	await delay(wait);
	return !exchange.hangUp.aborted;
};

const runWithRetries = async (context: FlowContext, exchange: Exchange, allowed: Allowed, document: ConfigurationDocument): Promise<FlowResult> => {
	context.retries.recordRequest(retryScope(exchange, allowed));
	for (;;) {
		const result = await queueOnce(context, exchange, allowed, document); // eslint-disable-line no-await-in-loop
		if (result.type === 'cancelled') {
			return undefined;
		}

		const outcome: AttemptOutcome = result.type === 'ran' ? result.value : refusedOutcome(result.problem);
		if (outcome.type !== 'problem') {
			return outcome;
		}

		if (getProblemOutcome(outcome.problem) !== Outcome.NotRun) {
			exchange.unknownProblem = outcome.problem;
		}

		if (!outcome.retryable || !await backoff(context, exchange, allowed)) { // eslint-disable-line no-await-in-loop
			return {...outcome, problem: withoutFalseRefusal(exchange, allowed, outcome.problem)};
		}
	}
};

const answer = (response: ServerResponse, outcome: AttemptOutcome): void => {
	switch (outcome.type) {
		case 'answer': {
			answerWhole(response, outcome.head, outcome.body);
			break;
		}

		case 'problem': {
			answerProblem(response, outcome.problem);
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

const reportFault = (telemetry: GatewayTelemetry, error: unknown): void => {
	telemetry.onEvent({type: 'internal-error', message: error instanceof Error ? error.stack ?? error.message : String(error)});
};

/** An answer that HTTP cannot carry must not look like a shorter one. */
const tryAnswer = (telemetry: GatewayTelemetry, response: ServerResponse, outcome: AttemptOutcome): void => {
	try {
		answer(response, outcome);
	} catch (error) {
		reportFault(telemetry, error);
		response.destroy();
	}
};

type Served = {readonly outcome: FlowResult; readonly team: TeamName | undefined};

/** A fault of this program: what the upstream did is not known. */
const internalError: AttemptOutcome = refusedOutcome({code: ProblemCode.UpstreamFailed, detail: 'A fault inside the entry instance; the request may have run.'});

const serve = async (context: FlowContext, request: IncomingMessage, response: ServerResponse, span: Exchange['span']): Promise<Served> => {
	try {
		const arrivedAt = context.options.clock.monotonicMilliseconds();
		const arrival = await receiveRequest(context, {
			request, response, span, arrivedAt,
		});
		switch (arrival.type) {
			case 'accepted': {
				const {exchange, allowed, document} = arrival;
				return {outcome: await runWithRetries(context, exchange, allowed, document), team: allowed.team};
			}

			case 'refused': {
				return {outcome: refusedOutcome(qualifyUnclaimedRefusal({headers: request.headers, problem: arrival.problem})), team: undefined};
			}

			case 'gone': {
				return {outcome: undefined, team: undefined};
			}
		}
	} catch (error) {
		reportFault(context.telemetry, error);
		return {outcome: internalError, team: undefined};
	}
};

const callerContext = ({headers: {traceparent, tracestate}}: IncomingMessage) => parseTraceparent(
	typeof traceparent === 'string' ? traceparent : undefined,
	typeof tracestate === 'string' ? tracestate : undefined,
);

export const handleRequest = async (context: FlowContext, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const {telemetry, options: {clock}} = context;
	const startedAt = clock.monotonicMilliseconds();
	const span = telemetry.startSpan({name: SpanName.CallerToEntry, parent: callerContext(request)});
	const requestId = request.headers[requestIdHeader];
	if (typeof requestId === 'string') {
		response.setHeader(requestIdHeader, requestId);
	}

	const {outcome, team} = await serve(context, request, response, span);
	if (outcome === undefined || (response.destroyed && outcome.type !== 'streamed')) {
		span.end({result: 'hang-up'});
		return;
	}

	tryAnswer(telemetry, response, outcome);
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
