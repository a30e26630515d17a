/** HTTP/1.1 server for callers: limits, malformed requests and graceful shutdown. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import polka from 'polka';
import {listenOn, ProblemCode} from '@turmericbay/types';
import type {Problem} from '@turmericbay/types';
import type {GatewaySettings} from './ports.js';
import {sendProblem, sendRawProblem} from './problem-response.js';
import {sendTicket, ticketsPath} from './tickets.js';

export type CallerServer = {
	listen(options: {readonly host: string; readonly port: number}): Promise<{readonly port: number}>;
	beginDrain(): void;
	/** Stops listening and resolves once all connections have ended. */
	close(): Promise<void>;
	/** Closes all connections at once. */
	destroyConnections(): void;
};

type ParseError = Error & {readonly code?: string};

const createParseProblem = ({code}: ParseError): Problem => {
	switch (code ?? '') {
		case 'HPE_HEADER_OVERFLOW': {
			return {code: ProblemCode.HeadersTooLarge, detail: 'Send fewer or shorter headers.'};
		}

		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return {code: ProblemCode.RequestTimeout, detail: 'Send the whole request faster.'};
		}

		default: {
			return {code: ProblemCode.MalformedRequest, detail: 'Send a well-formed HTTP/1.1 request.'};
		}
	}
};

/** Time that the sender of a malformed request has to read the response before the connection is destroyed. */
const lingeringCloseMilliseconds = 1000;

/** Requests per connection without a finished response. */
type PendingRequests = WeakMap<Duplex, Set<IncomingMessage>>;

const createClientErrorHandler = (pending: PendingRequests) => (error: ParseError, socket: Duplex): void => {
	// The caller would take an error response as the response to the pending request.
	const hasCompleteRequest = [...pending.get(socket) ?? []].some(({complete}) => complete);
	if (!socket.writable || hasCompleteRequest || error.code === 'ECONNRESET' || error.code === 'EPIPE') {
		socket.destroy();
		return;
	}

	sendRawProblem(socket, createParseProblem(error));
	setTimeout(() => {
		socket.destroy();
	}, lingeringCloseMilliseconds).unref();
};

const trackPending = (pending: PendingRequests, request: IncomingMessage, response: ServerResponse): void => {
	const requests = pending.get(request.socket) ?? new Set();
	pending.set(request.socket, requests.add(request));
	response.once('close', () => {
		requests.delete(request);
	});
};

export const createCallerServer = ({settings, handle, issueTicket}: {
	readonly settings: GatewaySettings;
	readonly issueTicket: () => string;
	readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
}): CallerServer => {
	let isDraining = false;
	const server: Server = createServer({
		maxHeaderSize: settings.maximumHeaderBytes,
		headersTimeout: settings.headersTimeoutMilliseconds,
		requestTimeout: settings.requestTimeoutMilliseconds,
		connectionsCheckingInterval: settings.timeoutCheckIntervalMilliseconds,
		keepAliveTimeout: settings.callerKeepAliveMilliseconds,
		// Node.js would respond without problem details, so `serve` checks the header instead.
		requireHostHeader: false,
	});
	const pending: PendingRequests = new WeakMap();
	server.on('clientError', createClientErrorHandler(pending));

	const serve = (request: IncomingMessage, response: ServerResponse): void => {
		if (isDraining) {
			response.setHeader('connection', 'close');
		}

		if (request.headers.host === undefined && request.httpVersion === '1.1') {
			sendProblem(response, {code: ProblemCode.MalformedRequest, detail: 'Send a Host header.'});
			return;
		}

		trackPending(pending, request, response);
		void handle(request, response);
	};

	const router = polka({
		server,
		onNoMatch(_request, response) {
			sendProblem(response, {code: ProblemCode.QueueUnknown, detail: 'Use a path below /queues/{queue}/.'});
		},
	});
	router.post(ticketsPath, (request, response) => {
		request.resume();
		sendTicket(response, issueTicket());
	});
	router.all('/queues/:queue', serve);
	router.all('/queues/:queue/*', serve);
	server.on('request', router.handler);

	return {
		listen: async ({host, port}) => ({port: await listenOn({server, host, port})}),
		beginDrain() {
			isDraining = true;
		},
		close: async () => new Promise(resolve => {
			isDraining = true;
			server.close(() => {
				resolve();
			});
		}),
		destroyConnections() {
			server.closeAllConnections();
		},
	};
};
