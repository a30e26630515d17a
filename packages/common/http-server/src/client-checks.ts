/** Finds the clients that do not send the rest of a request or do not read their responses. */
import type {Connection, Exchange} from './exchange.js';
import {findNewestExchange} from './exchange.js';
import type {HttpServerLimits} from './limits.js';
import {HttpLimit} from './limits.js';

/** Returns a function to call at each check interval for a connection with an unfinished request. It returns the limit that the client exceeds. */
export const createClientCheck = (limits: HttpServerLimits): (connection: Connection) => HttpLimit | undefined => {
	const {bodyMilliseconds, unreadResponseMilliseconds, checkIntervalMilliseconds, discardedBytes} = limits;
	// Times are counted in checks, so that clients lose no time by a pause of this process.
	const bodyChecks = Math.ceil(bodyMilliseconds / checkIntervalMilliseconds);
	const unreadChecks = Math.ceil(unreadResponseMilliseconds / checkIntervalMilliseconds);

	const checkBody = (exchange: Exchange, {socket}: Connection): HttpLimit | undefined => {
		if (exchange.request.complete) {
			return undefined;
		}

		exchange.incompleteChecks += 1;
		if (exchange.incompleteChecks > bodyChecks) {
			return HttpLimit.BodyTime;
		}

		if (exchange.response?.writableEnded === true) {
			exchange.discardedFrom ??= socket.bytesRead;
			return socket.bytesRead - exchange.discardedFrom > discardedBytes ? HttpLimit.DiscardedBody : undefined;
		}

		return undefined;
	};

	return connection => {
		connection.unreadChecks = connection.socket.writableLength > 0 ? connection.unreadChecks + 1 : 0;
		const newest = findNewestExchange(connection);
		if (newest === undefined || newest.isLongLived) {
			return undefined;
		}

		return checkBody(newest, connection) ?? (connection.unreadChecks > unreadChecks ? HttpLimit.UnreadResponse : undefined);
	};
};
