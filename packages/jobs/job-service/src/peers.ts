/** How instances reach each other: the owner is asked and told over HTTP. */
import type {Server} from 'node:http';
import type {HttpClient} from '@turmericbay/http-client';
import type {OwnerLink} from './owner-link.js';
import {createOwnerLink} from './owner-link.js';
import type {Owner} from './owner.js';
import {createPeerServer} from './peer-server.js';
import type {OwnerRecord} from './records.js';

export type LocalOwner = () => NonNullable<Owner> | undefined;

export type PeerTransport = {
	/** Where other instances reach this one. */
	readonly address: string;
	createLink(options: {
		readonly localOwner: LocalOwner;
		readonly remoteOwner: () => OwnerRecord | undefined;
		readonly onTrouble: (address: string, message: string) => void;
	}): OwnerLink;
	serve(localOwner: LocalOwner): void;
	close(): void;
};

export const createHttpPeers = (options: {
	readonly client: HttpClient;
	readonly host: string;
	readonly port: number;
	readonly renderMetrics: () => string;
}): PeerTransport => {
	const {client, host, port, renderMetrics} = options;
	let server: Server | undefined;
	return {
		address: `${host}:${port}`,
		createLink: links => createOwnerLink({client, ...links}),
		serve(localOwner) {
			server = createPeerServer({
				host, port, localOwner, renderMetrics,
			});
		},
		close() {
			server?.close();
			client.close();
		},
	};
};
