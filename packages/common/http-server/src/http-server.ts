/** HTTP/1.1 server that keeps no more for its clients than its limits allow. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer, STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {BodyResult} from './body-budget.js';
import {createBodyBudget} from './body-budget.js';
import {createClientCheck} from './client-checks.js';
import {createConnectionTable} from './connection-table.js';
import type {Connection, Exchange} from './exchange.js';
import {createRequestFactory} from './exchange.js';
import type {HttpServerLimits} from './limits.js';
import {HttpLimit} from './limits.js';

const badRequestStatus = 400;
const requestTimeoutStatus = 408;
const expectationFailedStatus = 417;
const headTooLargeStatus = 431;

export type HttpServer = {
	readonly server: Server;
	/** Exempts a request from the limits of time: it may last as long as its connection. */
	keepOpen(request: IncomingMessage): void;
	/** Reads the body of a request; fails if the connection ends before the body is complete. */
	readBody(request: IncomingMessage, maximumBytes: number): Promise<BodyResult>;
	/** Counts further bytes that the request takes until it is finished, such as its decoded body or a large response; returns false if it has to be refused. */
	reserveBytes(request: IncomingMessage, bytes: number): boolean;
	countConnections(): number;
	/** Requests that are being handled or have no finished response. */
	countRequests(): number;
};

export type HttpServerOptions = {
	readonly limits: HttpServerLimits;
	/** Responds to a request that is not handled because too many others are; the connection is closed afterwards. */
	readonly refuse: (request: IncomingMessage, response: ServerResponse) => void;
	/** Called each time a limit closes a connection or refuses a request. */
	readonly onLimit: (limit: HttpLimit) => void;
	/** A request counts until its response is finished and the returned promise has settled. */
	handle(request: IncomingMessage, response: ServerResponse): void | Promise<void>;
};

const closeAfterResponse = (request: IncomingMessage, response: ServerResponse): void => {
	request.resume();
	response.setHeader('connection', 'close');
};

const respondWithoutBody = (request: IncomingMessage, response: ServerResponse, status: number): void => {
	closeAfterResponse(request, response);
	response.writeHead(status, {'content-length': 0});
	response.end();
};

/** An error that Node.js found before it handed the request over. */
type ClientError = Error & {readonly code?: string};

const getErrorStatus = ({code}: ClientError): number => {
	switch (code ?? '') {
		case 'HPE_HEADER_OVERFLOW': {
			return headTooLargeStatus;
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return requestTimeoutStatus;
		}

		default: {
			return badRequestStatus;
		}
	}
};

export const createHttpServer = ({limits, handle, refuse, onLimit}: HttpServerOptions): HttpServer => {
	const connections = createConnectionTable();
	const bodies = createBodyBudget({
		limit: limits.bodyBytes, slowBodyBytes: limits.slowBodyBytes,
		onExceeded() {
			onLimit(HttpLimit.BodyBytes);
		},
	});
	let requests = 0;

	const release = (exchange: Exchange): void => {
		if (!exchange.isHandling && exchange.isClosed) {
			requests -= 1;
			bodies.release(exchange);
		}
	};

	const closeExchange = (exchange: Exchange): void => {
		if (!exchange.isClosed) {
			exchange.isClosed = true;
			connections.removeExchange(exchange);
			release(exchange);
		}
	};

	const forget = (connection: Connection): void => {
		connections.remove(connection);
		// Responses that wait for an earlier one are not closed with their connection.
		for (const exchange of connection.exchanges) {
			closeExchange(exchange);
		}
	};

	const close = (connection: Connection, limit: HttpLimit): void => {
		onLimit(limit);
		forget(connection);
		connection.socket.destroy();
	};

	const findExceededLimit = ({exchanges}: Connection): HttpLimit | undefined => {
		if (exchanges.size >= limits.requestsPerConnection) {
			return HttpLimit.RequestsPerConnection;
		}

		// Refusals of requests sent ahead would have to be kept as well.
		return requests >= limits.requests && exchanges.size > 0 ? HttpLimit.Requests : undefined;
	};

	const admit = (request: IncomingMessage, socket: Socket): Exchange | undefined => {
		const connection = connections.findBySocket(socket);
		if (!connection || findExceededLimit(connection) !== undefined) {
			return undefined;
		}

		const exchange: Exchange = {
			request, connection, isHandling: false, isClosed: false, bodyBytes: 0, response: undefined, isLongLived: false, incompleteChecks: 0, discardedFrom: undefined,
		};
		connections.addExchange(exchange);
		requests += 1;
		return exchange;
	};

	const {requestClass, getExchange} = createRequestFactory(admit);
	const server = createServer({
		// eslint-disable-next-line @typescript-eslint/naming-convention -- Name of the option.
		IncomingMessage: requestClass,
		// Node.js would respond itself, before the request is counted.
		requireHostHeader: false,
		maxHeaderSize: limits.headBytes,
		headersTimeout: limits.headMilliseconds,
		// The server checks the time of bodies itself, since it differs between requests.
		requestTimeout: 0,
		connectionsCheckingInterval: limits.checkIntervalMilliseconds,
		keepAliveTimeout: limits.keepAliveMilliseconds,
	});
	// Node.js drops the fields after these, so a request with as many as this is rejected.
	server.maxHeadersCount = limits.headerFields + 1;

	const checkClient = createClientCheck(limits);
	const checkClients = (): void => {
		for (const connection of connections.getBusy()) {
			const limit = checkClient(connection);
			if (limit !== undefined) {
				close(connection, limit);
			}
		}

		connections.noteDelays();
		bodies.check();
	};

	/** Makes room for a request; returns false if no client delays its own. */
	const closeDelayed = (): boolean => {
		const connection = connections.findDelayed();
		if (connection) {
			close(connection, HttpLimit.Requests);
		}

		return connection !== undefined;
	};

	const run = (exchange: Exchange, response: ServerResponse): void => {
		const finish = (): void => {
			exchange.isHandling = false;
			release(exchange);
		};

		exchange.isHandling = true;
		const handled = handle(exchange.request, response);
		if (handled) {
			void handled.finally(finish);
		} else {
			finish();
		}
	};

	const trackResponse = (exchange: Exchange, response: ServerResponse): void => {
		exchange.response = response;
		response.on('close', () => {
			if (exchange.request.complete) {
				closeExchange(exchange);
			} else {
				// The rest of the body is still read and discarded.
				exchange.request.once('close', () => {
					closeExchange(exchange);
				});
			}
		});
	};

	server.on('listening', () => {
		const timer = setInterval(checkClients, limits.checkIntervalMilliseconds);
		timer.unref();
		server.once('close', () => {
			clearInterval(timer);
		});
	});
	server.prependListener('connection', socket => {
		const connection = connections.add(socket);
		socket.once('close', () => {
			forget(connection);
		});
		if (connections.size() > limits.connections) {
			close(connections.findLeastUseful(connection), HttpLimit.Connections);
		}
	});
	server.on('request', (request, response) => {
		const exchange = getExchange(request);
		if (!exchange) {
			return;
		}

		trackResponse(exchange, response);
		if (request.headers.host === undefined && request.httpVersion === '1.1') {
			respondWithoutBody(request, response, badRequestStatus);
		} else if (request.rawHeaders.length > limits.headerFields * 2) {
			onLimit(HttpLimit.HeadSize);
			respondWithoutBody(request, response, headTooLargeStatus);
		} else if (requests > limits.requests && !closeDelayed()) {
			onLimit(HttpLimit.Requests);
			closeAfterResponse(request, response);
			refuse(request, response);
		} else if (!exchange.isClosed) {
			run(exchange, response);
		}
	});
	server.on('checkExpectation', (request, response) => {
		const exchange = getExchange(request);
		if (exchange) {
			trackResponse(exchange, response);
			respondWithoutBody(request, response, expectationFailedStatus);
		}
	});
	server.on('clientError', (error: ClientError, socket: Duplex) => {
		const status = getErrorStatus(error);
		if (status === headTooLargeStatus) {
			onLimit(HttpLimit.HeadSize);
		} else if (status === requestTimeoutStatus) {
			onLimit(HttpLimit.HeadTime);
		}

		const connection = connections.findBySocket(socket);
		if (connection && socket.writable && connection.exchanges.size === 0 && connection.socket.bytesRead > 0) {
			socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () => {
				socket.destroy();
			});
		} else {
			// The client would take the response as the one to its unfinished request, which may be in progress.
			socket.destroy();
		}
	});
	// A request that was not admitted; see `createRequestFactory`.
	server.on('upgrade', (_, socket: Duplex) => {
		const connection = connections.findBySocket(socket);
		const limit = connection && findExceededLimit(connection);
		if (limit === undefined) {
			socket.destroy();
		} else {
			close(connection!, limit);
		}
	});
	return {
		server,
		keepOpen(request) {
			const exchange = getExchange(request);
			if (exchange) {
				exchange.isLongLived = true;
			}
		},
		async readBody(request, maximumBytes) {
			const exchange = getExchange(request);
			if (!exchange) {
				throw new TypeError('the request belongs to another server');
			}

			return bodies.read(exchange, maximumBytes);
		},
		reserveBytes(request, bytes) {
			const exchange = getExchange(request);
			return exchange !== undefined && bodies.reserve(exchange, bytes);
		},
		countConnections: connections.size,
		countRequests: () => requests,
	};
};
