/** Guards against a proxy that does not inject its faults or breaks connections without one, either of which would invalidate soak results. */
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {startProxy} from '../src/index.js';

const host = '127.0.0.1';

const startEchoThroughProxy = async (t: ExecutionContext) => {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.pipe(socket);
	});
	server.listen(0, host);
	await once(server, 'listening');
	const address = server.address();
	const proxy = await startProxy({host, targetPort: typeof address === 'object' && address ? address.port : 0});
	const client = connect(proxy.port, host);
	await once(client, 'connect');
	t.teardown(() => {
		client.destroy();
		proxy.close();
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	return {proxy, client, sockets};
};

/** A reset connection also emits an error, which `once` would throw. */
const waitForClose = async (socket: Socket): Promise<void> => {
	socket.on('error', () => undefined);
	await new Promise<void>(resolve => {
		socket.on('close', () => {
			resolve();
		});
	});
};

const echo = async (client: Socket, text: string): Promise<string> => {
	const received = new Promise<string>(resolve => {
		client.once('data', (chunk: Uint8Array) => {
			resolve(new TextDecoder().decode(chunk));
		});
	});
	client.write(text);
	return received;
};

test('forwards bytes in both directions without a fault', async t => {
	const {client} = await startEchoThroughProxy(t);
	t.is(await echo(client, 'hello'), 'hello');
});

test('delivers the same bytes over a delayed connection', async t => {
	const {client, proxy} = await startEchoThroughProxy(t);
	proxy.setFault({type: 'delay', milliseconds: 20});
	t.is(await echo(client, 'late'), 'late');
});

test('resets open and new connections', async t => {
	const {client, proxy} = await startEchoThroughProxy(t);
	t.is(await echo(client, 'first'), 'first');
	const closed = waitForClose(client);
	proxy.setFault({type: 'reset'});
	await closed;
	const second = connect(proxy.port, host);
	await waitForClose(second);
	t.true(client.destroyed && second.destroyed);
});

test('drops the bytes of one direction and resets the connection when the fault ends', async t => {
	const {client, proxy, sockets} = await startEchoThroughProxy(t);
	t.is(await echo(client, 'first'), 'first');
	proxy.setFault({type: 'silence', direction: 'to-client'});
	const received: unknown[] = [];
	client.on('data', chunk => {
		received.push(chunk);
	});
	const closed = waitForClose(client);
	const arrived = once(sockets[0]!, 'data');
	client.write('lost');
	await arrived;
	t.deepEqual(received, []);
	proxy.setFault({type: 'none'});
	await closed;
	t.deepEqual(received, []);
});
