/** Limits of an HTTP server. */

export enum HttpLimit {
	/** A connection has more requests without a finished response than it may have. */
	RequestsPerConnection = 'requests-per-connection',
	/** All connections together have as many requests as the server handles at a time. */
	Requests = 'requests',
}

export type HttpServerLimits = {
	/** Requests of one connection that are received and have no finished response; beyond it the connection is closed. */
	readonly requestsPerConnection: number;
	/** Requests of all connections that are being handled or have no finished response; beyond it requests are refused. */
	readonly requests: number;
};

export const defaultHttpServerLimits: HttpServerLimits = {
	requestsPerConnection: 64,
	requests: 1000,
};
