/** Takes one caller's request from arrival to answer. */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {authorize, flowName} from '@turmericbay/admission';
import type {AuthorizationDecision, KeyVerdict} from '@turmericbay/admission';
import type {ConfigurationDocument} from '@turmericbay/document';
import {backoffMilliseconds} from '@turmericbay/routing';
import type {RetryBudget, RetryScope} from '@turmericbay/routing';
import {Outcome, ProblemCode, problemKinds} from '@turmericbay/types';
import type {PoolName, Problem} from '@turmericbay/types';
import {runAttempt} from './attempt.js';
import type {AttemptContext, AttemptOutcome} from './attempt.js';
import {answerWhole, createCallerSink} from './caller-answer.js';
import {
	checkKey, isRepeatable, parseTarget, parseTimeout,
} from './exchange.js';
import type {Exchange} from './exchange.js';
import {SpanName} from './ports.js';
import {answerProblem} from './problem-answer.js';
import type {PoolQueue, QueueResult} from './pool-queue.js';
import {readBody} from './request-body.js';
import {parseTraceparent} from './trace-context.js';

type Allowed = Extract<AuthorizationDecision, {type: 'allowed'}>;

/** Undefined if the caller is gone and nobody is left to be answered. */
type FlowResult = AttemptOutcome | undefined;

export type FlowContext = AttemptContext & {
	readonly poolQueue: (pool: PoolName) => PoolQueue;
	readonly retries: RetryBudget;
};

const refuse = (code: ProblemCode, detail: string, retryAfterSeconds?: number): AttemptOutcome => ({
	type: 'problem',
	problem: {code, detail, ...(retryAfterSeconds !== undefined && {retryAfterSeconds})},
	retryable: false,
});

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
		context.runs.start(allowed.team);
		return runAttempt(context, exchange, allowed, pool);
	});
	if (result.type !== 'ran') {
		span.end({result: result.type});
	}

	return result;
};

/** A refusal of a later attempt must not deny that an earlier one may have run. */
const withoutFalseRefusal = (exchange: Exchange, problem: Problem): Problem =>
	exchange.unknownProblem !== undefined && problemKinds[problem.code].outcome === Outcome.NotRun
		? exchange.unknownProblem
		: problem;

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

		const outcome: AttemptOutcome = result.type === 'ran' ? result.value : {type: 'problem', problem: result.problem, retryable: false};
		if (outcome.type !== 'problem') {
			return outcome;
		}

		if (problemKinds[outcome.problem.code].outcome !== Outcome.NotRun) {
			exchange.unknownProblem = outcome.problem;
		}

		if (!outcome.retryable || !await backoff(context, exchange, allowed)) { // eslint-disable-line no-await-in-loop
			return {...outcome, problem: withoutFalseRefusal(exchange, outcome.problem)};
		}
	}
};

const receive = async (context: FlowContext, request: IncomingMessage, response: ServerResponse, arrival: {
	readonly arrivedAt: number;
	readonly key: KeyVerdict;
	readonly span: Exchange['span'];
	readonly target: {queueName: string; path: string};
	readonly allowed: Allowed;
}): Promise<Exchange | AttemptOutcome | undefined> => {
	const {maximumBodyBytes, wholeAnswerBytes} = context.settings;
	const {allowed, target} = arrival;
	const timeout = parseTimeout(request, allowed.queue);
	if (timeout === undefined) {
		return refuse(ProblemCode.MalformedRequest, 'X-Request-Timeout-Ms takes a whole number of milliseconds.');
	}

	if (!isRepeatable(allowed.queue, request.method!) && request.headers['idempotency-key'] === undefined) {
		return refuse(ProblemCode.IdempotencyKeyMissing, 'Send the header Idempotency-Key with a UUIDv7.');
	}

	const hangUp = new AbortController();
	response.once('close', () => {
		hangUp.abort();
	});
	const body = await readBody(request, maximumBodyBytes);
	if (body.type === 'too-large') {
		response.setHeader('connection', 'close');
		return refuse(ProblemCode.BodyTooLarge, `Send at most ${maximumBodyBytes} bytes.`);
	}

	return body.type === 'broken'
		? undefined
		: {
			id: randomUUID(),
			...target,
			method: request.method!,
			headers: request.headers,
			body: body.body,
			key: arrival.key,
			arrivedAt: arrival.arrivedAt,
			deadline: arrival.arrivedAt + timeout,
			span: arrival.span,
			sink: createCallerSink(response, wholeAnswerBytes),
			hangUp: hangUp.signal,
			claimAttempt: undefined,
			unknownProblem: undefined,
			attempts: 0,
		};
};

const process = async (context: FlowContext, request: IncomingMessage, response: ServerResponse, span: Exchange['span']): Promise<FlowResult> => {
	const {configuration, clock, authenticate} = context.options;
	const arrivedAt = clock.monotonicMilliseconds();
	const envelope = configuration.current();
	if (envelope === undefined) {
		return refuse(ProblemCode.NotReady, 'Retry at another entry instance.', 1);
	}

	const target = parseTarget(request.url!);
	if (target === undefined) {
		return refuse(ProblemCode.QueueUnknown, 'Use a path below /queues/{queue}/.');
	}

	const key = checkKey(request.headers, authenticate);
	const allowed = authorize({
		document: envelope.document,
		queueName: target.queueName,
		key,
		confirmationAgeMilliseconds: configuration.confirmationAgeMilliseconds(),
	});
	if (allowed.type === 'refused') {
		return {type: 'problem', problem: allowed.problem, retryable: false};
	}

	const exchange = await receive(context, request, response, {
		arrivedAt, key, span, target, allowed,
	});
	return exchange === undefined || 'type' in exchange
		? exchange
		: runWithRetries(context, exchange, allowed, envelope.document);
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

export const handleRequest = async (context: FlowContext, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const {clock} = context.options;
	const startedAt = clock.monotonicMilliseconds();
	const {traceparent, tracestate} = request.headers;
	const span = context.telemetry.startSpan({
		name: SpanName.CallerToEntry,
		parent: parseTraceparent(typeof traceparent === 'string' ? traceparent : undefined, typeof tracestate === 'string' ? tracestate : undefined),
	});
	const outcome = await process(context, request, response, span);
	if (outcome === undefined || response.destroyed) {
		span.end({result: 'hang-up'});
		return;
	}

	answer(response, outcome);
	span.end({status: response.statusCode});
	const target = parseTarget(request.url!);
	context.telemetry.onEvent({
		type: 'request-finished',
		queue: target?.queueName ?? '',
		team: undefined,
		status: response.statusCode,
		code: outcome.type === 'problem' ? outcome.problem.code : undefined,
		durationMilliseconds: clock.monotonicMilliseconds() - startedAt,
	});
};
