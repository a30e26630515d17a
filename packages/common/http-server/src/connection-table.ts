/** The open connections of a server, in the order in which they are closed when there are too many. */
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Connection, Exchange} from './exchange.js';

export type ConnectionTable = {
	readonly size: () => number;
	add(socket: Socket): Connection;
	findBySocket(socket: Duplex): Connection | undefined;
	remove(connection: Connection): void;
	addExchange(exchange: Exchange): void;
	removeExchange(exchange: Exchange): void;
	/** Finds the connection to close in favour of another one. */
	findLeastUseful(newest: Connection): Connection;
};

const first = (connections: ReadonlySet<Connection>): Connection | undefined => connections.values().next().value;

export const createConnectionTable = (): ConnectionTable => {
	const connections = new Map<Duplex, Connection>();
	/** Have not sent a complete head yet; the oldest first. */
	const silent = new Set<Connection>();
	/** Have no unfinished request; those that have been idle for longest first. */
	const idle = new Set<Connection>();
	return {
		size: () => connections.size,
		add(socket) {
			const connection: Connection = {socket, exchanges: new Set()};
			connections.set(socket, connection);
			silent.add(connection);
			return connection;
		},
		findBySocket: socket => connections.get(socket),
		remove(connection) {
			silent.delete(connection);
			idle.delete(connection);
			connections.delete(connection.socket);
		},
		addExchange(exchange) {
			const {connection} = exchange;
			if (connection.exchanges.size === 0 && !idle.delete(connection)) {
				silent.delete(connection);
			}

			connection.exchanges.add(exchange);
		},
		removeExchange(exchange) {
			const {connection} = exchange;
			connection.exchanges.delete(exchange);
			if (connection.exchanges.size === 0 && connections.has(connection.socket)) {
				idle.add(connection);
			}
		},
		findLeastUseful(newest) {
			const oldestSilent = first(silent);
			return (oldestSilent === newest ? undefined : oldestSilent) ?? first(idle) ?? newest;
		},
	};
};
