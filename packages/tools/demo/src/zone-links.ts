/**
 * TCP forwarders between availability zones, so that zones can be cut off from
 * each other. While a link is cut, its connections stay open and carry nothing,
 * as with dropped packets.
 */
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {createConnection, createServer} from 'node:net';
import type {AvailabilityZone} from '@turmericbay/types';
import type {EntryPlace} from './entry-settings.js';

type Link = {
	readonly port: number;
	setCut(isCut: boolean): void;
	close(): void;
};

const forward = (from: Socket, to: Socket): void => {
	from.on('data', chunk => {
		to.write(chunk);
	});
	from.on('close', () => {
		to.destroy();
	});
	// An error is followed by `close`.
	from.on('error', () => undefined);
};

const createLink = async (host: string, target: EntryPlace): Promise<Link> => {
	const sockets = new Set<Socket>();
	let isCut = false;

	const add = (socket: Socket): void => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		if (isCut) {
			socket.pause();
		}
	};

	const server = createServer(incoming => {
		const outgoing = createConnection(target.ports.peers, target.host);
		forward(incoming, outgoing);
		forward(outgoing, incoming);
		add(incoming);
		add(outgoing);
	});
	server.listen(0, host);
	await once(server, 'listening');
	const address = server.address();
	return {
		port: typeof address === 'object' && address !== null ? address.port : 0,
		setCut(value) {
			isCut = value;
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
	/** The members as an instance of the zone reaches them: through links where they are in other zones. */
	membersSeenFrom(zone: AvailabilityZone): readonly EntryPlace[];
	/** Cuts, or restores, all links to and from a zone. */
	setZoneCut(zone: AvailabilityZone, isCut: boolean): void;
	close(): void;
};

/** Opens a link from each zone to each member outside of it; the links listen on `host`. */
export const createZoneLinks = async ({members, host}: {readonly members: readonly EntryPlace[]; readonly host: string}): Promise<ZoneLinks> => {
	const zones = [...new Set(members.map(({zone}) => zone))];
	const pairs = zones.flatMap(from => members.filter(({zone}) => zone !== from).map(member => ({from, member})));
	const links = await Promise.all(pairs.map(async ({from, member}) => ({from, member, link: await createLink(host, member)})));
	return {
		membersSeenFrom: zone => members.map(member => {
			const found = links.find(({from, member: {instance}}) => from === zone && instance === member.instance);
			return found === undefined ? member : {...member, host, ports: {...member.ports, peers: found.link.port}};
		}),
		setZoneCut(zone, isCut) {
			for (const {from, member, link} of links) {
				if (from === zone || member.zone === zone) {
					link.setCut(isCut);
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
