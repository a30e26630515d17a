/**
 * Trace spans, one per hop. Disabled unless an OTLP exporter address is set, so
 * that a daemon without a collector does no work for spans.
 */
import {
	context, defaultTextMapGetter, defaultTextMapSetter, propagation, SpanKind, SpanStatusCode, trace,
} from '@opentelemetry/api';
import type {Span, Tracer} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import type {SpanExporter} from '@opentelemetry/sdk-trace-base';
import {BasicTracerProvider, BatchSpanProcessor, SimpleSpanProcessor} from '@opentelemetry/sdk-trace-base';

export enum Hop {
	CallerToEntry = 'caller-to-entry',
	EntryToPeer = 'entry-to-peer',
	QueueWait = 'queue-wait',
	EntryToUpstream = 'entry-to-upstream',
}

export type HopSpan = {
	/** W3C trace context to propagate; the parent's if tracing is disabled. */
	readonly traceparent: string | undefined;
	end(options?: {failure?: string; attributes?: Readonly<Record<string, string | number>>}): void;
};

export type Tracing = {
	startSpan(options: {hop: Hop; parent: string | undefined; attributes?: Readonly<Record<string, string | number>>}): HopSpan;
	shutdown(): Promise<void>;
};

const spanKinds: Readonly<Record<Hop, SpanKind>> = {
	[Hop.CallerToEntry]: SpanKind.SERVER,
	[Hop.EntryToPeer]: SpanKind.CLIENT,
	[Hop.QueueWait]: SpanKind.INTERNAL,
	[Hop.EntryToUpstream]: SpanKind.CLIENT,
};

/** Tracing that records nothing and propagates the caller's trace context. */
export const createDisabledTracing = (): Tracing => ({
	startSpan: ({parent}) => ({
		traceparent: parent,
		end() {
			// Nothing is recorded while tracing is disabled.
		},
	}),
	async shutdown() {
		// There is no exporter to flush.
	},
});

/** Attribute names of OpenTelemetry's semantic conventions. */
const serviceNameAttribute = 'service.name';
const serviceInstanceAttribute = 'service.instance.id';

const propagator = new W3CTraceContextPropagator();

const extractParent = (parent: string | undefined) => parent === undefined
	? context.active()
	: propagator.extract(context.active(), {traceparent: parent}, defaultTextMapGetter);

const injectSpan = (span: Span): string | undefined => {
	const carrier: Record<string, string> = {};
	propagator.inject(trace.setSpan(context.active(), span), carrier, defaultTextMapSetter);
	return carrier.traceparent;
};

const createHopSpan = (span: Span): HopSpan => ({
	traceparent: injectSpan(span),
	end({failure, attributes = {}} = {}) {
		span.setAttributes(attributes);
		if (failure !== undefined) {
			span.setStatus({code: SpanStatusCode.ERROR, message: failure});
		}

		span.end();
	},
});

const createTracingFromProvider = (options: {provider: BasicTracerProvider; tracer: Tracer}): Tracing => ({
	startSpan: ({hop, parent, attributes = {}}) => createHopSpan(options.tracer.startSpan(
		hop,
		{kind: spanKinds[hop], attributes},
		extractParent(parent),
	)),
	shutdown: async () => options.provider.shutdown(),
});

/**
 * Tracing through an OTLP exporter (HTTP, JSON) at the address, or through the
 * given exporter, which tests use to read the spans.
 */
export const createTracing = (options: {instance: string; exporterAddress?: string; exporter?: SpanExporter}): Tracing => {
	const {instance, exporterAddress, exporter} = options;
	if (exporterAddress === undefined && exporter === undefined) {
		return createDisabledTracing();
	}

	propagation.setGlobalPropagator(propagator);
	const processor = exporter === undefined
		? new BatchSpanProcessor(new OTLPTraceExporter({url: exporterAddress}))
		: new SimpleSpanProcessor(exporter);
	const provider = new BasicTracerProvider({
		resource: resourceFromAttributes({[serviceNameAttribute]: 'turmericbayd', [serviceInstanceAttribute]: instance}),
		spanProcessors: [processor],
	});
	return createTracingFromProvider({provider, tracer: provider.getTracer('turmericbay')});
};
