/** Communication between instances: every instance calls the owner, over HTTP. */
import type {Server} from 'node:http';
import type {HttpClient} from '@turmericbay/http-client';
import type {HttpLimit, HttpServerLimits} from '@turmericbay/http-server';
import type {AcceptDispatchChannel, OpenDispatchChannel} from './dispatch-channel.js';
import {openHttpDispatchChannel} from './dispatch-channel.js';
import type {OwnerClient} from './owner-client.js';
import {createOwnerClient} from './owner-client.js';
import type {Owner} from './owner.js';
import {createPeerServer} from './peer-server.js';
import type {Clock} from './ports.js';
import type {OwnerRecord} from './records.js';

export type GetLocalOwner = () => NonNullable<Owner> | undefined;

export type PeerTransport = {
	/** Address at which other instances reach this one. */
	readonly address: string;
	readonly openDispatchChannel: OpenDispatchChannel;
	createOwnerClient(options: {
		readonly clock: Clock;
		readonly getLocalOwner: GetLocalOwner;
		readonly getRemoteOwner: () => OwnerRecord | undefined;
		readonly onFailure: (address: string, message: string) => void;
	}): OwnerClient;
	serve(options: {
		readonly getLocalOwner: GetLocalOwner;
		readonly onTransferRequested: (epoch: number) => void;
		readonly acceptDispatchChannel: AcceptDispatchChannel;
	}): void;
	close(): void;
};

export const createHttpPeerTransport = (options: {
	readonly client: HttpClient;
	readonly host: string;
	readonly port: number;
	readonly renderMetrics: () => string;
	readonly limits: HttpServerLimits;
	/** Called each time a limit closes a connection or refuses a request. */
	readonly onLimit: (limit: HttpLimit) => void;
}): PeerTransport => {
	const {client, host, port, renderMetrics, limits, onLimit} = options;
	let server: Server | undefined;
	return {
		address: `${host}:${port}`,
		createOwnerClient: ownerClientOptions => createOwnerClient({client, ...ownerClientOptions}),
		openDispatchChannel: openHttpDispatchChannel,
		serve(serveOptions) {
			server = createPeerServer({
				host, port, renderMetrics, limits, onLimit, ...serveOptions,
			});
		},
		close() {
			server?.close();
			client.close();
		},
	};
};
