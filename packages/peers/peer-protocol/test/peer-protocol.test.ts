import test from 'ava';
import type {ExecutionContext} from 'ava';
import {
	ClaimVerdict, createPeerClient, createPeerServer, isSecretEqual,
} from '../src/index.js';
import type {PeerServiceImplementation} from '../src/index.js';

const implementation: PeerServiceImplementation = {
	exchange: () => ({knowledge: {instance: 'entry-2', documentVersion: 7n}}),
	getDocument: () => ({envelopeJson: '{}'}),
	pushDocument: () => ({documentVersion: 7n}),
	claim: () => ({verdict: ClaimVerdict.GRANTED}),
	settleClaim: () => ({recorded: true}),
	transferGrant: ({units}: {units: number}) => ({units}),
};

const startServer = async (t: ExecutionContext) => {
	let rejected = 0;
	const server = createPeerServer({
		implementation,
		secret: 'right',
		onRejected() {
			rejected += 1;
		},
	});
	const port = await server.listen({host: '127.0.0.1', port: 0});
	t.teardown(async () => server.close());
	return {baseUrl: `http://127.0.0.1:${port}`, countRejected: () => rejected};
};

// Guards against a client and a server that do not agree on protocol or secret.
test('a call reaches the peer', async t => {
	const {baseUrl} = await startServer(t);
	const client = createPeerClient({baseUrl, secret: 'right', defaultTimeoutMilliseconds: 5000});
	t.teardown(client.close);
	const result = await client.call(async (service, options) => service.transferGrant({team: 'a', units: 3}, options));
	t.is(result._unsafeUnwrap().units, 3);
});

// Guards against entry instances that accept unauthenticated messages.
test('a wrong secret is rejected', async t => {
	const {baseUrl, countRejected} = await startServer(t);
	const client = createPeerClient({baseUrl, secret: 'wrong', defaultTimeoutMilliseconds: 5000});
	t.teardown(client.close);
	const result = await client.call(async (service, options) => service.getDocument({}, options));
	t.is(result._unsafeUnwrapErr().code, 'PEER_REJECTED');
	t.is(countRejected(), 1);
});

// Guards against an exception that is thrown when a peer is down.
test('an unreachable peer gives a typed error', async t => {
	const client = createPeerClient({baseUrl: 'http://127.0.0.1:9', secret: 'right', defaultTimeoutMilliseconds: 5000});
	t.teardown(client.close);
	const result = await client.call(async (service, options) => service.getDocument({}, options));
	t.is(result._unsafeUnwrapErr().code, 'PEER_UNREACHABLE');
});

// Guards against an exception for secrets of different lengths.
test('secrets compare by content', t => {
	t.true(isSecretEqual({presented: 'same', expected: 'same'}));
	t.false(isSecretEqual({presented: 'same', expected: 'other-length'}));
});
