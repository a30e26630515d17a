/** Limits of an HTTP server. */

export enum HttpLimit {
	/** As many connections are open as the server keeps. */
	Connections = 'connections',
	/** A connection has more requests without a finished response than it may have. */
	RequestsPerConnection = 'requests-per-connection',
	/** The head of a request is too long, or has too many fields. */
	HeadSize = 'head-size',
	/** The bodies of all requests together take as much memory as they may. */
	BodyBytes = 'body-bytes',
	/** All connections together have as many requests as the server handles at a time. */
	Requests = 'requests',
}

export type HttpServerLimits = {
	/**
	 * Open connections. Beyond it one is closed for each new one: first those that have not sent a complete request, then those
	 * without an unfinished request, each in the order of their waiting; if there is none, the new one.
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
	/** Bytes of the bodies of unfinished requests; beyond it the oldest request whose body is incomplete is refused, else the newest. */
	readonly bodyBytes: number;
};

export const defaultHttpServerLimits: HttpServerLimits = {
	connections: 1000,
	requestsPerConnection: 64,
	requests: 1000,
	headBytes: 16_384,
	headerFields: 200,
	bodyBytes: 33_554_432,
};
