/** Limits of an HTTP server. */

export enum HttpLimit {
	/** As many connections are open as the server keeps. */
	Connections = 'connections',
	/** A connection has more requests without a finished response than it may have. */
	RequestsPerConnection = 'requests-per-connection',
	/** The head of a request is too long, or has too many fields. */
	HeadSize = 'head-size',
	/** The head of a request has not come in time. */
	HeadTime = 'head-time',
	/** The body of a request has not come in time. */
	BodyTime = 'body-time',
	/** A client sends on and on after the response to its request. */
	DiscardedBody = 'discarded-body',
	/** A client does not read its responses. */
	UnreadResponse = 'unread-response',
	/** The bodies and large responses of all requests together take as much memory as they may. */
	BodyBytes = 'body-bytes',
	/** All connections together have as many requests as the server handles at a time. */
	Requests = 'requests',
}

export type HttpServerLimits = {
	/**
	 * Open connections. Beyond it one is closed for each new one: first those that have not sent a complete request, then those
	 * without an unfinished request, then those whose client delays its own request or response, each in the order of their
	 * waiting; if there is none, the new one.
	 */
	readonly connections: number;
	/** Requests of one connection that are received and have no finished response; beyond it the connection is closed. */
	readonly requestsPerConnection: number;
	/** Requests of all connections that are being handled or have no finished response; beyond it requests are refused. */
	readonly requests: number;
	/** Length of the head of a request. */
	readonly headBytes: number;
	/** Header fields of a request. */
	readonly headerFields: number;
	/** Time from the opening of a connection, or from the first byte of a request, to the end of the head. */
	readonly headMilliseconds: number;
	/** Time from the end of the head to the end of the body. */
	readonly bodyMilliseconds: number;
	/** Bytes that are read and discarded after the response to a request. */
	readonly discardedBytes: number;
	/** Time in which a client has to read what could not be handed to the operating system. */
	readonly unreadResponseMilliseconds: number;
	/** Time for which a connection without an unfinished request stays open. */
	readonly keepAliveMilliseconds: number;
	/** Time between two checks of these times. */
	readonly checkIntervalMilliseconds: number;
	/** Bytes of the bodies and large responses of unfinished requests, incomplete bodies by their announced length; beyond it the oldest request whose body comes slowly is refused, else the newest. */
	readonly bodyBytes: number;
	/** A body comes slowly if less than this came between two checks. */
	readonly slowBodyBytes: number;
};

export const defaultHttpServerLimits: HttpServerLimits = {
	connections: 1000,
	requestsPerConnection: 64,
	requests: 1000,
	headBytes: 16_384,
	headerFields: 200,
	headMilliseconds: 20_000,
	bodyMilliseconds: 60_000,
	discardedBytes: 4_194_304,
	unreadResponseMilliseconds: 20_000,
	keepAliveMilliseconds: 5000,
	checkIntervalMilliseconds: 1000,
	bodyBytes: 33_554_432,
	slowBodyBytes: 16_384,
};
