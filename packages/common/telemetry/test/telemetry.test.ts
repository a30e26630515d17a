import {readFile} from 'node:fs/promises';
import test from 'ava';
import {InMemorySpanExporter} from '@opentelemetry/sdk-trace-base';
import {
	createDisabledTracing, createLogger, createMetrics, createTracing, Hop, LogEvent, LogLevel, parseLogLevel, renderLogEventCatalogue, setLogWriter,
} from '../src/index.js';

// Guards against log events that are missing from the documentation for operators.
test('docs/log-events.md equals the catalogue', async t => {
	const page = await readFile(new URL('../../../../../docs/log-events.md', import.meta.url), 'utf8');
	t.is(page, renderLogEventCatalogue());
});

// Guards against log lines without their number, and against debug lines that are written although the minimum level is higher.
test.serial('a log line carries its number and respects the minimum level', t => {
	const lines: string[] = [];
	setLogWriter(line => {
		lines.push(line);
	});
	const logger = createLogger({minimumLevel: LogLevel.Information, context: {instance: 'entry-1'}});
	logger.log(LogEvent.RequestRefused);
	logger.log(LogEvent.DocumentInForce, {version: 3});
	t.is(lines.length, 1);
	t.like(JSON.parse(lines[0]!), {context: {event: 2001, version: 3, instance: 'entry-1'}});
});

// Guards against output that a Prometheus server cannot parse.
test('metrics render as Prometheus text', t => {
	const metrics = createMetrics();
	metrics.increment('turmericbay_requests_total', {outcome: 'answered'});
	metrics.increment('turmericbay_requests_total', {outcome: 'answered'}, 2);
	metrics.setGauge('turmericbay_queued', 4, {pool: 'a"b'});
	for (const milliseconds of [1, 2, 3, 100]) {
		metrics.recordMilliseconds('turmericbay_request_seconds', milliseconds);
	}

	t.snapshot(metrics.renderPrometheusText());
});

// Guards against gauges of workspaces that left a full pool, which would be shown for ever and use up the series.
test('replaced gauges show only the new series', t => {
	const metrics = createMetrics();
	metrics.replaceGauges('turmericbay_workspace_usage', [{labels: {workspace: 'a'}, value: 1}, {labels: {workspace: 'b'}, value: 2}]);
	metrics.replaceGauges('turmericbay_workspace_usage', [{labels: {workspace: 'b'}, value: 3}]);
	t.is(metrics.renderPrometheusText(), '# TYPE turmericbay_workspace_usage gauge\nturmericbay_workspace_usage{workspace="b"} 3\n');
});

// Guards against hops that are missing from a trace or have the wrong parent.
test('spans of two hops share one trace', async t => {
	const exporter = new InMemorySpanExporter();
	const tracing = createTracing({instance: 'entry-1', exporter});
	const outer = tracing.startSpan({hop: Hop.CallerToEntry, parent: '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'});
	const inner = tracing.startSpan({hop: Hop.EntryToUpstream, parent: outer.traceparent});
	inner.end({failure: 'reset'});
	outer.end();
	const spans = exporter.getFinishedSpans();
	t.deepEqual(spans.map(span => span.name), [Hop.EntryToUpstream, Hop.CallerToEntry]);
	t.deepEqual(new Set(spans.map(span => span.spanContext().traceId)), new Set(['0af7651916cd43dd8448eb211c80319c']));
	t.is(spans[0]!.parentSpanContext?.spanId, spans[1]!.spanContext().spanId);
	await tracing.shutdown();
});

// Guards against a trace that breaks at an instance without tracing.
test('disabled tracing propagates the trace context', t => {
	const parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
	t.is(createDisabledTracing().startSpan({hop: Hop.QueueWait, parent}).traceparent, parent);
});

// Guards against a level in the settings that is silently treated as another one.
test('every level of the settings is known', t => {
	t.deepEqual(['trace', 'debug', 'info', 'warn', 'error', 'fatal'].map(name => parseLogLevel(name)), [
		LogLevel.Debug, LogLevel.Debug, LogLevel.Information, LogLevel.Warning, LogLevel.Error, LogLevel.Error,
	]);
	t.is(parseLogLevel('loud'), undefined);
});
