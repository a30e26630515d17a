/** The open connections of a server, in the order in which they are closed when there are too many. */
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {Connection, Exchange} from './exchange.js';
import {isDelayedByClient} from './exchange.js';

export type ConnectionTable = {
	readonly size: () => number;
	add(socket: Socket): Connection;
	findBySocket(socket: Duplex): Connection | undefined;
	remove(connection: Connection): void;
	addExchange(exchange: Exchange): void;
	removeExchange(exchange: Exchange): void;
	/** The connections with an unfinished request. */
	getBusy(): Connection[];
	/** Notes which connections wait for their clients. */
	noteDelays(): void;
	/** Finds the connection that has waited longest for its client to send the rest of a request or to read a response. */
	findDelayed(): Connection | undefined;
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
	/** Had waited for their client at the last check; those that have waited for longest first. */
	const delayed = new Set<Connection>();

	const getBusy = (): Connection[] => [...connections.values()].filter(({exchanges}) => exchanges.size > 0);

	const findDelayed = (): Connection | undefined => {
		for (const connection of delayed) {
			if (isDelayedByClient(connection)) {
				return connection;
			}

			delayed.delete(connection);
		}

		return undefined;
	};

	return {
		getBusy,
		findDelayed,
		noteDelays() {
			for (const connection of getBusy()) {
				if (isDelayedByClient(connection)) {
					delayed.add(connection);
				} else {
					delayed.delete(connection);
				}
			}
		},
		size: () => connections.size,
		add(socket) {
			const connection: Connection = {socket, exchanges: new Set(), unreadChecks: 0};
			connections.set(socket, connection);
			silent.add(connection);
			return connection;
		},
		findBySocket: socket => connections.get(socket),
		remove(connection) {
			silent.delete(connection);
			idle.delete(connection);
			delayed.delete(connection);
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
				delayed.delete(connection);
			}
		},
		findLeastUseful(newest) {
			const oldestSilent = first(silent);
			return (oldestSilent === newest ? undefined : oldestSilent) ?? first(idle) ?? findDelayed() ?? newest;
		},
	};
};
