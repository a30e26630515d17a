/** Loopback TCP proxy in front of one server that delays traffic, resets connections, or drops bytes in one or both directions. */
import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';

export type ProxyFault
	= | {readonly type: 'none'}
		| {readonly type: 'delay'; readonly milliseconds: number}
		/** Drops bytes while connections stay open. */
		| {readonly type: 'silence'; readonly direction: 'to-server' | 'to-client' | 'both'}
		/** Resets open and new connections. */
		| {readonly type: 'reset'};

export const startProxy = async (options: {readonly host: string; readonly targetPort: number}) => {
	const {host, targetPort} = options;
	let fault: ProxyFault = {type: 'none'};
	const sockets = new Set<Socket>();

	const forward = (from: Socket, to: Socket, direction: 'to-server' | 'to-client'): void => {
		from.on('data', chunk => {
			switch (fault.type) {
				case 'none': {
					to.write(chunk);
					break;
				}

				case 'delay': {
					setTimeout(() => {
						to.write(chunk);
					}, fault.milliseconds);
					break;
				}

				case 'silence': {
					if (fault.direction !== 'both' && fault.direction !== direction) {
						to.write(chunk);
					}

					break;
				}

				case 'reset': {
					from.resetAndDestroy();
					break;
				}
			}
		});
		from.on('close', () => {
			sockets.delete(from);
			to.destroy();
		});
		from.on('error', () => {
			// The other side must see the failure too.
			to.destroy();
		});
	};

	const server = createServer(client => {
		if (fault.type === 'reset') {
			client.resetAndDestroy();
			return;
		}

		const target = connect(targetPort, host);
		sockets.add(client);
		sockets.add(target);
		forward(client, target, 'to-server');
		forward(target, client, 'to-client');
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const address = server.address();
	return {
		port: typeof address === 'object' && address ? address.port : 0,
		setFault(next: ProxyFault): void {
			// TCP never delivers a stream with a gap, so connections that lost bytes are reset when the fault ends.
			if (fault.type === 'silence' || next.type === 'reset') {
				for (const socket of sockets) {
					socket.resetAndDestroy();
				}
			}

			fault = next;
		},
		close(): void {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
};

export type Proxy = Awaited<ReturnType<typeof startProxy>>;
