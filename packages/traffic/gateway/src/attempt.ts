/** One attempt of a request: claim of its idempotency key, selection of an upstream, and sending. */
import {randomUUID} from 'node:crypto';
import {authorize} from '@turmericbay/admission';
import type {AuthorizationDecision} from '@turmericbay/admission';
import type {PoolDeclaration} from '@turmericbay/document';
import type {RoutingTable, Upstream} from '@turmericbay/routing';
import {ProblemCode, Settlement} from '@turmericbay/types';
import type {InstanceId, Problem} from '@turmericbay/types';
import {computeFingerprint, isRepeatable} from './exchange.js';
import type {Exchange} from './exchange.js';
import {getForwardedRequestHeaders, requestIdHeader, timeoutHeader} from './headers.js';
import type {GatewayOptions, GatewaySettings, GatewayTelemetry} from './ports.js';
import {SpanName} from './ports.js';
import type {RunTracker} from './run-tracker.js';
import {
	classifyResult, createProblemReport, interpretResult, mayStillRun,
} from './send-result.js';
import type {AttemptOutcome, AttemptReport} from './send-result.js';
import {formatTraceparent} from './trace-context.js';
import type {OutgoingRequest, SendResult, UpstreamClient} from './upstream-client.js';

export type AttemptContext = {
	readonly options: GatewayOptions;
	readonly settings: GatewaySettings;
	readonly telemetry: GatewayTelemetry;
	readonly routing: RoutingTable;
	readonly client: UpstreamClient;
	readonly runs: RunTracker;
};

export type Authorization = Extract<AuthorizationDecision, {type: 'allowed'}>;

/** `abandonedAtUpstream` is set if that upstream may still be running the request. */
type EndedAttempt = AttemptReport & {readonly abandonedAtUpstream?: Upstream};

/** Number of upstreams to which one attempt tries to connect. */
const maximumUpstreamsPerAttempt = 3;

const deadlineProblem: Problem = {code: ProblemCode.DeadlineExceeded, detail: 'Retry later, with backoff.', retryAfterSeconds: 1};

/** Repeats the authorization with the current document and confirmation age, and checks the deadline and that the caller is still connected. */
const recheckRequest = (context: AttemptContext, exchange: Exchange): Problem | undefined => {
	const {configuration, clock} = context.options;
	const envelope = configuration.current();
	if (envelope === undefined) {
		return {code: ProblemCode.NotReady, detail: 'Retry at another entry instance.', retryAfterSeconds: 1};
	}

	const decision = authorize({
		document: envelope.document,
		queueName: exchange.queueName,
		keyCheck: exchange.keyCheck,
		confirmationAgeMilliseconds: configuration.confirmationAgeMilliseconds(),
	});
	if (decision.type === 'refused') {
		return decision.problem;
	}

	return exchange.disconnectSignal.aborted || clock.monotonicMilliseconds() >= exchange.deadline ? deadlineProblem : undefined;
};

const createClaimIdentity = (exchange: Exchange, authorization: Authorization) => ({
	key: String(exchange.headers['idempotency-key']),
	// Callers of an open queue share one key space.
	team: authorization.team ?? '',
	queue: exchange.queueName,
});

/** Claims the idempotency key of a request that may not be repeated; returns the problem if the claim is refused. */
const claim = async (context: AttemptContext, exchange: Exchange, authorization: Authorization): Promise<Problem | undefined> => {
	const decision = await context.options.claims.claim({
		...createClaimIdentity(exchange, authorization),
		fingerprint: computeFingerprint(exchange),
		traceparent: formatTraceparent(exchange.span.context),
	});
	exchange.isClaimDecided = true;
	if (decision.type === 'refused') {
		return decision.problem;
	}

	exchange.claimAttempt = decision.attempt;
	return undefined;
};

const settle = (context: AttemptContext, exchange: Exchange, authorization: Authorization, settlement: Settlement): void => {
	if (exchange.claimAttempt !== undefined) {
		context.options.claims.settle({...createClaimIdentity(exchange, authorization), attempt: exchange.claimAttempt, settlement});
		exchange.claimAttempt = undefined;
	}
};

const createOutgoingRequest = (exchange: Exchange, span: {readonly traceparent: string; readonly traceState: string | undefined}, remainingMilliseconds: number): OutgoingRequest => {
	const requestId = randomUUID();
	return {
		method: exchange.method,
		path: exchange.path,
		body: exchange.body,
		requestId,
		headers: {
			...getForwardedRequestHeaders(exchange.headers),
			[requestIdHeader]: requestId,
			[timeoutHeader]: String(Math.ceil(remainingMilliseconds)),
			traceparent: span.traceparent,
			...(span.traceState !== undefined && {tracestate: span.traceState}),
		},
	};
};

const sendToUpstream = async (context: AttemptContext, exchange: Exchange, upstream: Upstream, pool: PoolDeclaration): Promise<{result: SendResult; refusal: Problem | undefined}> => {
	const span = context.telemetry.startSpan({name: SpanName.EntryToUpstream, parent: exchange.span.context});
	const remainingMilliseconds = Math.max(0, exchange.deadline - context.options.clock.monotonicMilliseconds());
	const {traceState} = span.context;
	let refusal: Problem | undefined;
	const result = await context.client.send({
		upstream: upstream.record,
		connections: pool.connectionsPerInstance,
		timeoutMilliseconds: remainingMilliseconds,
		sink: exchange.sink,
		request: createOutgoingRequest(exchange, {traceparent: formatTraceparent(span.context), traceState}, remainingMilliseconds),
		confirmSend() {
			refusal = recheckRequest(context, exchange);
			return refusal === undefined;
		},
	});
	span.end({result: result.type, instance: upstream.record.instance});
	return {result, refusal: result.type === 'not-sent' && result.reason === 'deadline' ? deadlineProblem : refusal};
};

/**
 * Callers may set a deadline that no upstream can meet, so a timeout counts as a
 * failure of the upstream only if the caller allowed at least half of the queue's timeout.
 */
const hadEnoughTime = (exchange: Exchange, authorization: Authorization): boolean =>
	exchange.deadline - exchange.arrivedAt >= authorization.queue.timeoutMilliseconds / 2;

const recordResult = (context: AttemptContext, upstream: Upstream, result: SendResult, enoughTime: boolean): void => {
	const {routing, telemetry, options} = context;
	const {instance} = upstream.record;
	const {ejected} = routing.finishRequest({
		upstream, result: classifyResult(result, enoughTime), now: options.clock.monotonicMilliseconds(), isAbandoned: mayStillRun(result),
	});
	if (result.type !== 'answer' && result.type !== 'streamed') {
		telemetry.onEvent({type: 'attempt-failed', instance, reason: result.type === 'not-sent' ? result.reason : result.type});
	}

	if (ejected) {
		telemetry.onUpstreamEjected?.({instance});
	}
};

/** Tries upstreams until one accepts the connection; once a request may have reached an upstream, it is not sent again. */
const sendWithFailover = async (context: AttemptContext, exchange: Exchange, authorization: Authorization, pool: PoolDeclaration): Promise<EndedAttempt> => {
	const repeatable = isRepeatable(authorization.queue, exchange.method);
	const excluded = new Set<InstanceId>();
	while (excluded.size < maximumUpstreamsPerAttempt) {
		const now = context.options.clock.monotonicMilliseconds();
		const upstream = context.routing.startRequest({pool: authorization.queue.pool, now, excluded});
		if (upstream === undefined) {
			break;
		}

		const {result, refusal} = await sendToUpstream(context, exchange, upstream, pool); // eslint-disable-line no-await-in-loop
		recordResult(context, upstream, result, hadEnoughTime(exchange, authorization));
		if (result.type !== 'not-sent') {
			const report = interpretResult(result, pool, repeatable);
			return mayStillRun(result) ? {...report, abandonedAtUpstream: upstream} : report;
		}

		if (result.reason === 'invalid') {
			return createProblemReport(Settlement.NotRun, {code: ProblemCode.MalformedRequest, detail: 'A header or the path has characters that HTTP does not allow.'}, false);
		}

		if (refusal !== undefined) {
			return createProblemReport(Settlement.NotRun, refusal, false);
		}

		excluded.add(upstream.record.instance);
	}

	return createProblemReport(Settlement.NotRun, {code: ProblemCode.NoUpstream, detail: 'Retry later, with backoff.', retryAfterSeconds: 1}, repeatable);
};

const execute = async (context: AttemptContext, exchange: Exchange, authorization: Authorization, pool: PoolDeclaration): Promise<EndedAttempt> => {
	const refusal = recheckRequest(context, exchange)
		?? (isRepeatable(authorization.queue, exchange.method) ? undefined : await claim(context, exchange, authorization));
	return refusal === undefined
		? sendWithFailover(context, exchange, authorization, pool)
		: createProblemReport(Settlement.NotRun, refusal, false);
};

/** Runs with one acquired unit of the team's limit, which is released when the run has ended. */
export const runAttempt = async (context: AttemptContext, exchange: Exchange, authorization: Authorization, pool: PoolDeclaration): Promise<AttemptOutcome> => {
	const {runs} = context;
	const {team, queue} = authorization;
	runs.start(team);
	let ended: EndedAttempt | undefined;
	try {
		ended = await execute(context, exchange, authorization, pool);
		settle(context, exchange, authorization, ended.settlement);
		return ended.outcome;
	} finally {
		if (ended?.abandonedAtUpstream === undefined) {
			runs.end(team);
		} else {
			runs.abandon({team, upstream: ended.abandonedAtUpstream, maximumRunMilliseconds: queue.maximumRunMilliseconds});
		}
	}
};
