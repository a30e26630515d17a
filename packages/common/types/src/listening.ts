import type {Server} from 'node:net';

/** Resolves to the port in use, which the system chooses for port 0; rejects if the address is not available. */
export const listenOn = async ({server, host, port}: {
	readonly server: Server;
	readonly host: string;
	readonly port: number;
}): Promise<number> => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(port, host, () => {
		server.off('error', reject);
		const address = server.address();
		resolve(typeof address === 'object' && address !== null ? address.port : port);
	});
});
