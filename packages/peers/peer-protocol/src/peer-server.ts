/** Server of the peer protocol on a separate HTTP/2 listener. */
import {createServer} from 'node:http2';
import type {ServerHttp2Session} from 'node:http2';
import type {ServiceImpl} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {listenOn} from '@turmericbay/types';
import {createBearerCheck} from './authentication.js';
import {PeerService} from './generated/turmericbay/peer/v1/peer_pb.js';

export type PeerServiceImplementation = ServiceImpl<typeof PeerService>;

export type PeerServer = {
	/** Resolves to the port in use; port 0 lets the system choose. */
	listen(options: {readonly host: string; readonly port: number}): Promise<number>;
	close(): Promise<void>;
};

/** Largest accepted message. Document envelopes are the largest messages and have at most 1 MiB. */
const maximumMessageBytes = 2_097_152;

export const createPeerServer = (options: {
	readonly implementation: PeerServiceImplementation;
	readonly secret: string;
	readonly onRejected?: () => void;
}): PeerServer => {
	const handler = connectNodeAdapter({
		routes(router) {
			router.service(PeerService, options.implementation);
		},
		interceptors: [createBearerCheck(options)],
		readMaxBytes: maximumMessageBytes,
	});
	const server = createServer(handler);
	const sessions = new Set<ServerHttp2Session>();
	server.on('session', session => {
		sessions.add(session);
		session.on('close', () => {
			sessions.delete(session);
		});
	});

	return {
		listen: async ({host, port}) => listenOn({server, host, port}),
		close: async () => new Promise(resolve => {
			server.close(() => {
				resolve();
			});
			for (const session of sessions) {
				session.destroy();
			}
		}),
	};
};
