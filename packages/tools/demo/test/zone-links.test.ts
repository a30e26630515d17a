import {once} from 'node:events';
import {createConnection, createServer} from 'node:net';
import test from 'ava';
import {createZoneLinks} from '../src/index.js';
import type {EntryEndpoints} from '../src/index.js';

const host = '127.0.0.1';

// Guards against an isolated zone that still receives data, and against data lost when the partition ends.
test('a link holds data back while its zone is isolated and delivers it afterwards', async t => {
	const server = createServer(socket => {
		socket.pipe(socket);
	});
	server.listen(0, host);
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' && address !== null ? address.port : 0;
	const place = (instance: string, zone: string): EntryEndpoints => ({
		instance, zone, host, ports: {callers: 1, operations: 2, peers: port},
	});
	const members = [place('entry-1', 'zone-a'), place('entry-2', 'zone-b')];
	const links = await createZoneLinks({members, host});
	const [own, other] = links.listMembersSeenFrom('zone-a');
	t.is(own!.ports.peers, port);
	t.not(other!.ports.peers, port);

	const socket = createConnection(other!.ports.peers, host).setEncoding('utf8');
	const received: string[] = [];
	socket.on('data', (text: string) => {
		received.push(text);
	});
	socket.write('before');
	await once(socket, 'data');
	links.setZoneIsolated('zone-b', true);
	socket.write(' during');
	// A direct round trip to the same server gives data on the blocked link time to arrive if it leaked.
	const direct = createConnection(port, host).setEncoding('utf8');
	direct.write('x');
	await once(direct, 'data');
	t.deepEqual(received, ['before']);
	links.setZoneIsolated('zone-b', false);
	await once(socket, 'data');
	t.is(received.join(''), 'before during');
	socket.destroy();
	direct.destroy();
	links.close();
	server.close();
});
