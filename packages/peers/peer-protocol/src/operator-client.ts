/** Client and request handler of the operator service (Connect protocol over HTTP/1.1). */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createClient} from '@connectrpc/connect';
import type {Client, ServiceImpl} from '@connectrpc/connect';
import {connectNodeAdapter, createConnectTransport} from '@connectrpc/connect-node';
import {createBearerCheck, createBearerInterceptor} from './authentication.js';
import {OperatorService} from './generated/turmericbay/operator/v1/operator_pb.js';

export type OperatorServiceClient = Client<typeof OperatorService>;
export type OperatorServiceImplementation = ServiceImpl<typeof OperatorService>;

/** A document has at most 1,000,000 bytes; JSON escapes inside a message make it larger. */
const maximumMessageBytes = 4_194_304;

export const createOperatorClient = (options: {
	readonly baseUrl: string;
	readonly token: string;
	readonly timeoutMilliseconds: number;
}): OperatorServiceClient => createClient(OperatorService, createConnectTransport({
	baseUrl: options.baseUrl,
	httpVersion: '1.1',
	interceptors: [createBearerInterceptor(options.token)],
	defaultTimeoutMs: options.timeoutMilliseconds,
}));

/** Creates the handler for the paths of the operator service; other paths get 404. */
export const createOperatorHandler = (options: {
	readonly implementation: OperatorServiceImplementation;
	readonly token: string;
	readonly onRejected?: () => void;
}): (request: IncomingMessage, response: ServerResponse) => void => connectNodeAdapter({
	routes(router) {
		router.service(OperatorService, options.implementation);
	},
	interceptors: [createBearerCheck({secret: options.token, onRejected: options.onRejected})],
	readMaxBytes: maximumMessageBytes,
});

/** Path prefix of all calls of the operator service. */
export const operatorPathPrefix = `/${OperatorService.typeName}/`;
