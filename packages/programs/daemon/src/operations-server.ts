/**
 * HTTP server of the operations listener: `/healthz` and `/readyz` for the load
 * balancer, `/metrics`, and the operator service.
 */
import {createServer} from 'node:http';
import polka from 'polka';
import {createOperatorHandler, operatorPathPrefix} from '@turmericbay/peer-protocol';
import type {OperatorServiceImplementation} from '@turmericbay/peer-protocol';
import {listenOn} from '@turmericbay/types';

export type Readiness
	= | {readonly type: 'ready'}
		| {readonly type: 'not-ready'; readonly reason: string};

export type OperationsServer = {
	/** Resolves to the bound port. */
	listen(options: {readonly host: string; readonly port: number}): Promise<number>;
	close(): Promise<void>;
};

export const createOperationsServer = (options: {
	readonly token: string;
	readonly operatorService: OperatorServiceImplementation;
	readonly readiness: () => Readiness;
	readonly renderMetrics: () => string;
	readonly onRejected: () => void;
}): OperationsServer => {
	const handleOperatorCall = createOperatorHandler({
		implementation: options.operatorService,
		token: options.token,
		onRejected: options.onRejected,
	});
	const server = createServer();
	const app = polka({server})
		.use((request, response, next) => {
			if (request.url.startsWith(operatorPathPrefix)) {
				handleOperatorCall(request, response);
			} else {
				next();
			}
		})
		.get('/healthz', (_request, response) => {
			response.end('ok\n');
		})
		.get('/readyz', (_request, response) => {
			const readiness = options.readiness();
			response.statusCode = readiness.type === 'ready' ? 200 : 503;
			response.end(readiness.type === 'ready' ? 'ready\n' : `not ready: ${readiness.reason}\n`);
		})
		.get('/metrics', (_request, response) => {
			response.setHeader('content-type', 'text/plain; version=0.0.4');
			response.end(options.renderMetrics());
		});
	server.on('request', app.handler);

	return {
		listen: async ({host, port}) => listenOn({server, host, port}),
		close: async () => new Promise(resolve => {
			server.close(() => {
				resolve();
			});
			server.closeIdleConnections();
		}),
	};
};
