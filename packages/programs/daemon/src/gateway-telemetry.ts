/** Records the spans and events of the gateway as trace spans, metrics and log events. */
import {
	createNoopTelemetry, formatTraceparent, parseTraceparent, SpanName,
} from '@turmericbay/gateway';
import type {GatewayEvent, GatewayTelemetry} from '@turmericbay/gateway';
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

/** Responses that the gateway discarded because they were incomplete or belonged to another request; logged as a separate event. */
const droppedResponseReasons = new Set(['cut', 'crossed']);

export const createGatewayTelemetry = (options: {
	/** Undefined if no exporter is configured; trace contexts are then propagated without recording spans. */
	readonly tracing: Tracing | undefined;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly random: RandomSource;
}): GatewayTelemetry => {
	const {tracing, metrics, logger} = options;
	const noopTelemetry = createNoopTelemetry({random: options.random});

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
				logger.log(droppedResponseReasons.has(event.reason) ? LogEvent.AnswerDropped : LogEvent.AttemptFailed, {upstream: event.instance, reason: event.reason});
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
			const tracedSpan = tracing?.startSpan({hop: hops[span.name], parent: span.parent && formatTraceparent(span.parent)});
			const context = parseTraceparent(tracedSpan?.traceparent, span.parent?.traceState);
			if (tracedSpan === undefined || context === undefined) {
				return noopTelemetry.startSpan(span);
			}

			return {
				context,
				end(attributes) {
					tracedSpan.end({attributes});
				},
			};
		},
	};
};
