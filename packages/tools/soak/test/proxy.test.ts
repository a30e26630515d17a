/** A proxy that lets faults through, or breaks sound connections, would make the soak's verdict worthless. */
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import type {ExecutionContext} from 'ava';
import test from 'ava';
import {startProxy} from '../src/index.js';

const host = '127.0.0.1';

const start = async (t: ExecutionContext) => {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.pipe(socket);
	});
	server.listen(0, host);
	await once(server, 'listening');
	const bound = server.address();
	const proxy = await startProxy({host, targetPort: typeof bound === 'object' && bound ? bound.port : 0});
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

/** Reset connections also report an error, which `once` would throw. */
const untilClosed = async (socket: Socket): Promise<void> => {
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

test('without a fault bytes pass both ways', async t => {
	const {client} = await start(t);
	t.is(await echo(client, 'hello'), 'hello');
});

test('a delayed connection brings the same bytes', async t => {
	const {client, proxy} = await start(t);
	proxy.setFault({type: 'delay', milliseconds: 20});
	t.is(await echo(client, 'late'), 'late');
});

test('a reset ends open connections and refuses new ones', async t => {
	const {client, proxy} = await start(t);
	t.is(await echo(client, 'first'), 'first');
	const closed = untilClosed(client);
	proxy.setFault({type: 'reset'});
	await closed;
	const second = connect(proxy.port, host);
	await untilClosed(second);
	t.true(client.destroyed && second.destroyed);
});

test('a silenced direction loses its bytes, and the connection ends with the fault', async t => {
	const {client, proxy, sockets} = await start(t);
	t.is(await echo(client, 'first'), 'first');
	proxy.setFault({type: 'silence', direction: 'to-client'});
	const received: unknown[] = [];
	client.on('data', chunk => {
		received.push(chunk);
	});
	const closed = untilClosed(client);
	const arrived = once(sockets[0]!, 'data');
	client.write('lost');
	await arrived;
	t.deepEqual(received, []);
	proxy.setFault({type: 'none'});
	await closed;
	t.deepEqual(received, []);
});
