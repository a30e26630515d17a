import test from 'ava';
import {ok} from 'neverthrow';
import {Verdict} from '@turmericbay/claims';
import {ClaimVerdict} from '@turmericbay/peer-protocol';
import {createTracing, Hop} from '@turmericbay/telemetry';
import {InMemorySpanExporter} from '@opentelemetry/sdk-trace-base';
import {createClaimPeer} from '../src/claims-service.js';
import type {PeerExchange} from '../src/peer-exchange.js';

const parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

// Guards against traces that lack the call from the entry instance to the owner of the idempotency key.
test('the call to the owner of a key is a span of the request\'s trace', async t => {
	const exporter = new InMemorySpanExporter();
	const tracing = createTracing({instance: 'entry-1', exporter});
	const sent: Array<Record<string, string>> = [];
	const service = {
		async claim(_message: unknown, options: {headers: Record<string, string>}) {
			sent.push(options.headers);
			return {verdict: ClaimVerdict.GRANTED};
		},
	};
	const peerState = {
		client: {
			call: async (invoke: (client: typeof service, options: Record<string, unknown>) => Promise<unknown>) => ok(await invoke(service, {})),
		},
	};
	const peer = createClaimPeer({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The members that the claim peer uses.
		exchange: () => ({findPeer: () => peerState}) as unknown as PeerExchange,
		identity: {instance: 'entry-1', incarnation: 'run-1'},
		tracing,
	});
	const verdict = await peer.claim({
		to: {instance: 'entry-2', incarnation: 'run-2'},
		message: {
			key: 'key-1', team: 'franchise', queue: 'invoices', fingerprint: new Uint8Array(), attempt: 'attempt-1', traceparent: parent,
		},
	});
	t.is(verdict, Verdict.Granted);
	const [span] = exporter.getFinishedSpans();
	t.is(span!.name, Hop.EntryToPeer);
	t.is(span!.parentSpanContext?.spanId, 'b7ad6b7169203331');
	t.true(sent[0]!.traceparent!.includes(span!.spanContext().spanId));
});
