/** One attempt of a request: claim, selection of an upstream, sending, and what the result means. */
import {randomUUID} from 'node:crypto';
import {authorize} from '@turmericbay/admission';
import type {AuthorizationDecision} from '@turmericbay/admission';
import type {PoolDeclaration} from '@turmericbay/document';
import {AttemptResult} from '@turmericbay/routing';
import type {RoutingTable, Upstream} from '@turmericbay/routing';
import {ProblemCode, Settlement} from '@turmericbay/types';
import type {InstanceId, Problem} from '@turmericbay/types';
import type {AnswerHead} from './answer-reader.js';
import {fingerprint, isRepeatable} from './exchange.js';
import type {Exchange} from './exchange.js';
import {forwardRequestHeaders, requestIdHeader, timeoutHeader} from './headers.js';
import type {GatewayOptions, GatewaySettings, GatewayTelemetry} from './ports.js';
import {SpanName} from './ports.js';
import type {RunLedger} from './run-ledger.js';
import {formatTraceparent} from './trace-context.js';
import type {SendResult, UpstreamClient} from './upstream-client.js';

export type AttemptOutcome
	= | {readonly type: 'answer'; readonly head: AnswerHead; readonly body: Uint8Array}
		| {readonly type: 'streamed'; readonly status: number}
		/** A long answer was lost after its first bytes had gone to the caller. */
		| {readonly type: 'cut-while-streaming'}
		/** `retryable` says that another attempt is safe, `unsent` that this one reached no upstream. */
		| {readonly type: 'problem'; readonly problem: Problem; readonly retryable: boolean};

export type AttemptContext = {
	readonly options: GatewayOptions;
	readonly settings: GatewaySettings;
	readonly telemetry: GatewayTelemetry;
	readonly routing: RoutingTable;
	readonly client: UpstreamClient;
	readonly runs: RunLedger;
};

type Allowed = Extract<AuthorizationDecision, {type: 'allowed'}>;

const connectTries = 3;

const problemOutcome = (code: ProblemCode, detail: string, retryable = false): AttemptOutcome =>
	({type: 'problem', problem: {code, detail, retryAfterSeconds: 1}, retryable});

/** Repeats the decision of the arrival with the present document, age and time. */
export const decideAgain = (context: AttemptContext, exchange: Exchange): Problem | undefined => {
	const {configuration, clock} = context.options;
	const envelope = configuration.current();
	if (envelope === undefined) {
		return {code: ProblemCode.NotReady, detail: 'Retry at another entry instance.', retryAfterSeconds: 1};
	}

	const decision = authorize({
		document: envelope.document,
		queueName: exchange.queueName,
		key: exchange.key,
		confirmationAgeMilliseconds: configuration.confirmationAgeMilliseconds(),
	});
	if (decision.type === 'refused') {
		return decision.problem;
	}

	return clock.monotonicMilliseconds() < exchange.deadline
		? undefined
		: {code: ProblemCode.DeadlineExceeded, detail: 'Retry later, with backoff.', retryAfterSeconds: 1};
};

const claim = async (context: AttemptContext, exchange: Exchange, allowed: Allowed): Promise<Problem | undefined> => {
	if (isRepeatable(allowed.queue, exchange.method)) {
		return undefined;
	}

	const decision = await context.options.claims.claim({
		key: String(exchange.headers['idempotency-key']),
		team: allowed.team ?? '',
		queue: exchange.queueName,
		fingerprint: fingerprint(exchange),
	});
	if (decision.type === 'refused') {
		return decision.problem;
	}

	exchange.claimAttempt = decision.attempt;
	return undefined;
};

const settle = (context: AttemptContext, exchange: Exchange, allowed: Allowed, settlement: Settlement): void => {
	if (exchange.claimAttempt !== undefined) {
		context.options.claims.settle({
			key: String(exchange.headers['idempotency-key']),
			team: allowed.team ?? '',
			queue: exchange.queueName,
			attempt: exchange.claimAttempt,
			settlement,
		});
	}
};

const sendTo = async (context: AttemptContext, exchange: Exchange, upstream: Upstream, pool: PoolDeclaration): Promise<{result: SendResult; withdrawn?: Problem}> => {
	const {clock} = context.options;
	const span = context.telemetry.startSpan({name: SpanName.EntryToUpstream, parent: exchange.span.context});
	const requestId = randomUUID();
	const remaining = Math.max(0, exchange.deadline - clock.monotonicMilliseconds());
	const {traceState} = span.context;
	let withdrawn: Problem | undefined;
	const result = await context.client.send({
		upstream: upstream.record,
		connections: pool.connectionsPerInstance,
		timeoutMilliseconds: remaining,
		sink: exchange.sink,
		request: {
			method: exchange.method,
			path: exchange.path,
			body: exchange.body,
			requestId,
			headers: {
				...forwardRequestHeaders(exchange.headers),
				[requestIdHeader]: requestId,
				[timeoutHeader]: String(Math.ceil(remaining)),
				traceparent: formatTraceparent(span.context),
				...(traceState !== undefined && {tracestate: traceState}),
			},
		},
		confirmSend() {
			withdrawn = decideAgain(context, exchange);
			return withdrawn === undefined;
		},
	});
	span.end({result: result.type, instance: upstream.record.instance});
	return withdrawn === undefined ? {result} : {result, withdrawn};
};

const firstServerError = 500;

/** A caller may name a deadline that no upstream could meet; only an upstream that had most of the usual time failed. */
const hadEnoughTime = (exchange: Exchange, allowed: Allowed): boolean =>
	exchange.deadline - exchange.arrivedAt >= allowed.queue.timeoutMilliseconds / 2;

/** What the result says about the health of the upstream. */
const attemptResult = (result: SendResult, enoughTime: boolean): AttemptResult => {
	switch (result.type) {
		case 'answer': {
			return result.head.status < firstServerError ? AttemptResult.Success : AttemptResult.Failure;
		}

		case 'streamed': {
			return AttemptResult.Success;
		}

		case 'not-sent': {
			return result.reason === 'connect-failed' ? AttemptResult.Failure : AttemptResult.Neutral;
		}

		case 'cut':
		case 'crossed': {
			return AttemptResult.Failure;
		}

		case 'timeout': {
			return enoughTime ? AttemptResult.Failure : AttemptResult.Neutral;
		}
	}
};

/** Says whether the run may go on at the upstream although its answer is lost. */
const mayStillRun = (result: SendResult): boolean =>
	result.type === 'cut' || result.type === 'crossed' || result.type === 'timeout';

const interpret = (result: Exclude<SendResult, {type: 'not-sent'}>, pool: PoolDeclaration, repeatable: boolean): {outcome: AttemptOutcome; settlement: Settlement} => {
	switch (result.type) {
		case 'answer': {
			if (!pool.notRunStatuses.includes(result.head.status)) {
				return {outcome: result, settlement: Settlement.Run};
			}

			return {
				outcome: problemOutcome(ProblemCode.NoUpstream, `The upstream refused the request with status ${result.head.status}; retry later.`, repeatable),
				settlement: Settlement.NotRun,
			};
		}

		case 'streamed': {
			return {outcome: result, settlement: Settlement.Run};
		}

		case 'cut':
		case 'timeout': {
			if (result.streaming) {
				return {outcome: {type: 'cut-while-streaming'}, settlement: Settlement.Unknown};
			}

			return result.type === 'cut'
				? {outcome: problemOutcome(ProblemCode.AnswerIncomplete, 'The request may have run.', repeatable), settlement: Settlement.Unknown}
				: {outcome: problemOutcome(ProblemCode.UpstreamTimeout, 'The request may have run.'), settlement: Settlement.Unknown};
		}

		case 'crossed': {
			return {
				outcome: problemOutcome(ProblemCode.UpstreamFailed, 'The upstream answered another request; this one may have run.', repeatable),
				settlement: Settlement.Unknown,
			};
		}
	}
};

/** Runs with one grant unit of the team, which it returns when the run has ended. */
export const runAttempt = async (context: AttemptContext, exchange: Exchange, allowed: Allowed, pool: PoolDeclaration): Promise<AttemptOutcome> => {
	const {routing, options, runs} = context;
	const {clock} = options;
	const refusal = decideAgain(context, exchange) ?? await claim(context, exchange, allowed);
	if (refusal !== undefined) {
		runs.end(allowed.team);
		return {type: 'problem', problem: refusal, retryable: false};
	}

	const excluded = new Set<InstanceId>();
	while (excluded.size < connectTries) {
		const upstream = routing.begin({pool: allowed.queue.pool, now: clock.monotonicMilliseconds(), excluded});
		if (upstream === undefined) {
			break;
		}

		const {result, withdrawn} = await sendTo(context, exchange, upstream, pool); // eslint-disable-line no-await-in-loop
		const lingers = mayStillRun(result);
		routing.finish({
			upstream, result: attemptResult(result, hadEnoughTime(exchange, allowed)), now: clock.monotonicMilliseconds(), lingers,
		});
		if (result.type !== 'not-sent') {
			const {outcome, settlement} = interpret(result, pool, isRepeatable(allowed.queue, exchange.method));
			settle(context, exchange, allowed, settlement);
			if (lingers) {
				runs.linger({team: allowed.team, upstream, maximumRunMilliseconds: allowed.queue.maximumRunMilliseconds});
			} else {
				runs.end(allowed.team);
			}

			return outcome;
		}

		const late = withdrawn ?? (result.reason === 'deadline' ? decideAgain(context, exchange) : undefined);
		if (late !== undefined) {
			settle(context, exchange, allowed, Settlement.NotRun);
			runs.end(allowed.team);
			return {type: 'problem', problem: late, retryable: false};
		}

		excluded.add(upstream.record.instance);
	}

	settle(context, exchange, allowed, Settlement.NotRun);
	runs.end(allowed.team);
	return problemOutcome(ProblemCode.NoUpstream, 'Retry later, with backoff.', true);
};
