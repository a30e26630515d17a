/**
 * TCP forwarders between availability zones that simulate network partitions.
 * While a link is blocked, its connections stay open and carry no data, as when
 * the network drops all packets.
 */
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {createConnection, createServer} from 'node:net';
import type {AvailabilityZone} from '@turmericbay/types';
import type {EntryEndpoints} from './entry-settings.js';

type Link = {
	readonly port: number;
	setBlocked(isBlocked: boolean): void;
	close(): void;
};

const forward = (from: Socket, to: Socket): void => {
	from.on('data', chunk => {
		to.write(chunk);
	});
	from.on('close', () => {
		to.destroy();
	});
	// `close` follows every error.
	from.on('error', () => undefined);
};

const createLink = async (host: string, target: EntryEndpoints): Promise<Link> => {
	const sockets = new Set<Socket>();
	let isBlocked = false;

	const addSocket = (socket: Socket): void => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		if (isBlocked) {
			socket.pause();
		}
	};

	const server = createServer(incoming => {
		const outgoing = createConnection(target.ports.peers, target.host);
		forward(incoming, outgoing);
		forward(outgoing, incoming);
		addSocket(incoming);
		addSocket(outgoing);
	});
	server.listen(0, host);
	await once(server, 'listening');
	const address = server.address();
	return {
		port: typeof address === 'object' && address !== null ? address.port : 0,
		setBlocked(value) {
			isBlocked = value;
			for (const socket of sockets) {
				if (value) {
					socket.pause();
				} else {
					socket.resume();
				}
			}
		},
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

export type ZoneLinks = {
	/** The members with the addresses that instances of the zone use: those in other zones are reached through links. */
	listMembersSeenFrom(zone: AvailabilityZone): readonly EntryEndpoints[];
	/** Blocks or restores all links to and from a zone. */
	setZoneIsolated(zone: AvailabilityZone, isIsolated: boolean): void;
	close(): void;
};

/** Opens a link on `host` from each zone to each member of the other zones. */
export const createZoneLinks = async ({members, host}: {readonly members: readonly EntryEndpoints[]; readonly host: string}): Promise<ZoneLinks> => {
	const zones = [...new Set(members.map(({zone}) => zone))];
	const pairs = zones.flatMap(from => members.filter(({zone}) => zone !== from).map(member => ({from, member})));
	const links = await Promise.all(pairs.map(async ({from, member}) => ({from, member, link: await createLink(host, member)})));
	return {
		listMembersSeenFrom: zone => members.map(member => {
			const found = links.find(({from, member: {instance}}) => from === zone && instance === member.instance);
			return found === undefined ? member : {...member, host, ports: {...member.ports, peers: found.link.port}};
		}),
		setZoneIsolated(zone, isIsolated) {
			for (const {from, member, link} of links) {
				if (from === zone || member.zone === zone) {
					link.setBlocked(isIsolated);
				}
			}
		},
		close() {
			for (const {link} of links) {
				link.close();
			}
		},
	};
};
