/** A loopback proxy in front of one server: delays, resets, silences or cuts one way what passes through it. */
import type {Socket} from 'node:net';
import {connect, createServer} from 'node:net';

export type ProxyFault
	= | {readonly type: 'none'}
		| {readonly type: 'delay'; readonly milliseconds: number}
		/** Bytes are swallowed; connections stay open. */
		| {readonly type: 'silence'; readonly direction: 'to-server' | 'to-client' | 'both'}
		/** Open connections are reset, new ones too. */
		| {readonly type: 'reset'};

export const startProxy = async (options: {readonly host: string; readonly targetPort: number}) => {
	const {host, targetPort} = options;
	let fault: ProxyFault = {type: 'none'};
	const sockets = new Set<Socket>();

	const pipe = (from: Socket, to: Socket, direction: 'to-server' | 'to-client'): void => {
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
			// Both ends see the broken connection; the close handler ends the other one.
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
		pipe(client, target, 'to-server');
		pipe(target, client, 'to-client');
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const bound = server.address();
	return {
		port: typeof bound === 'object' && bound ? bound.port : 0,
		setFault(next: ProxyFault): void {
			// What was swallowed is lost: a connection that misses bytes in the middle is no real one.
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
