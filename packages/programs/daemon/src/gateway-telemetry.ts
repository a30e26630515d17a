/** Turns the gateway's spans and events into trace spans, metrics and log events. */
import {createSilentTelemetry, SpanName} from '@turmericbay/gateway';
import type {GatewayEvent, GatewayTelemetry, TraceContext} from '@turmericbay/gateway';
import {Hop, LogEvent} from '@turmericbay/telemetry';
import type {
	Logger, Metrics, Tracing,
} from '@turmericbay/telemetry';
import type {RandomSource} from '@turmericbay/types';

const hops: Readonly<Record<SpanName, Hop>> = {
	[SpanName.CallerToEntry]: Hop.CallerToEntry,
	[SpanName.QueueWait]: Hop.QueueWait,
	[SpanName.EntryToUpstream]: Hop.EntryToUpstream,
};

/** Results of an attempt that point to a faulty upstream; the others happen in normal operation. */
const droppedAnswers = new Set(['cut', 'crossed']);

const traceparentPattern = /^00-(?<traceId>[\da-f]{32})-(?<spanId>[\da-f]{16})-(?<flags>[\da-f]{2})$/v;

const formatParent = (parent: TraceContext | undefined): string | undefined =>
	parent === undefined ? undefined : `00-${parent.traceId}-${parent.spanId}-${parent.sampled ? '01' : '00'}`;

const parseContext = (traceparent: string | undefined): TraceContext | undefined => {
	const {traceId, spanId, flags} = traceparentPattern.exec(traceparent ?? '')?.groups ?? {};
	return traceId === undefined || spanId === undefined
		? undefined
		: {traceId, spanId, sampled: flags === '01'};
};

export const createGatewayTelemetry = (options: {
	/** Undefined while no exporter is set; trace contexts are then passed on without recording. */
	readonly tracing: Tracing | undefined;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly random: RandomSource;
}): GatewayTelemetry => {
	const {tracing, metrics, logger} = options;
	const silent = createSilentTelemetry({random: options.random});

	const onEvent = (event: GatewayEvent): void => {
		switch (event.type) {
			case 'request-finished': {
				const labels = {queue: event.queue, outcome: event.code ?? 'answered'};
				metrics.increment('turmericbay_requests_total', labels);
				metrics.recordMilliseconds('turmericbay_request_seconds', event.durationMilliseconds, {queue: event.queue});
				if (event.code !== undefined) {
					logger.log(LogEvent.RequestRefused, {
						queue: event.queue, team: event.team, code: event.code, status: event.status,
					});
				}

				break;
			}

			case 'attempt-failed': {
				metrics.increment('turmericbay_upstream_failures_total', {instance: event.instance});
				logger.log(droppedAnswers.has(event.reason) ? LogEvent.AnswerDropped : LogEvent.AttemptFailed, {upstream: event.instance, reason: event.reason});
				break;
			}

			case 'internal-error': {
				logger.log(LogEvent.InternalError, {detail: event.message});
				break;
			}
		}
	};

	return {
		onEvent,
		startSpan(span) {
			const hop = tracing?.startSpan({hop: hops[span.name], parent: formatParent(span.parent)});
			const context = parseContext(hop?.traceparent);
			if (hop === undefined || context === undefined) {
				return silent.startSpan(span);
			}

			return {
				context: {...context, traceState: span.parent?.traceState},
				end(attributes) {
					hop.end({attributes});
				},
			};
		},
	};
};
