/** The requests that a server has received and not finished, by connection. */
import type {ServerResponse} from 'node:http';
import {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** A request, from its head to its finished response. */
export type Exchange = {
	readonly request: IncomingMessage;
	readonly connection: Connection;
	/** The handler has been called and has not returned. */
	isHandling: boolean;
	/** The response is finished, or its connection closed. */
	isClosed: boolean;
	/** Bytes that its body takes, as received and as decoded. */
	bodyBytes: number;
	/** Undefined until Node.js has handed the request over. */
	response: ServerResponse | undefined;
	/** The request may last as long as its connection. */
	isLongLived: boolean;
	/** Checks in which the body was incomplete. */
	incompleteChecks: number;
	/** Bytes received on the connection when a check first found that the response was written before the body was complete. */
	discardedFrom: number | undefined;
};

export type Connection = {
	readonly socket: Socket;
	/** In the order of their arrival. */
	readonly exchanges: Set<Exchange>;
	/** Checks in a row that found responses which the client does not read. */
	unreadChecks: number;
};

/** Only the last request of a connection can be incomplete. */
export const findNewestExchange = ({exchanges}: Connection): Exchange | undefined => [...exchanges].at(-1);

/** Whether the connection waits for its client: for the rest of a request, or for responses to be read. */
export const isDelayedByClient = (connection: Connection): boolean => {
	const newest = findNewestExchange(connection);
	return newest !== undefined && !newest.isLongLived && (!newest.request.complete || connection.socket.writableLength > 0);
};

export type RequestFactory = {
	/** For the option `IncomingMessage` of the server. */
	readonly requestClass: typeof IncomingMessage;
	/** Undefined if the request is one too many. */
	getExchange(request: IncomingMessage): Exchange | undefined;
};

/**
 * Creates the class for the requests of a server. `admit` is called for each request whose head is complete, also for those that
 * Node.js responds to itself. If it returns undefined, the parser stops, so that nothing of the rest of the chunk is kept: Node.js
 * would hand over all requests of a chunk even after the connection was destroyed. To stop it, the request looks like one for
 * another protocol, and the server emits `upgrade`.
 */
export const createRequestFactory = (admit: (request: IncomingMessage, socket: Socket) => Exchange | undefined): RequestFactory => {
	class LimitedRequest extends IncomingMessage {
		readonly exchange: Exchange | undefined;

		constructor(socket: Socket) {
			super(socket);
			this.exchange = admit(this, socket);
		}

		// Requests for other protocols are handled as HTTP/1.1, which is what Node.js does without a listener for `upgrade`.
		get upgrade(): boolean {
			return this.exchange === undefined || this.method === 'CONNECT';
		}

		set upgrade(_) {
			// Node.js assigns what the parser found.
		}
	}

	return {
		requestClass: LimitedRequest,
		getExchange: request => request instanceof LimitedRequest ? request.exchange : undefined,
	};
};
