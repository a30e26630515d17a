/** The path to one server, as a proxy that can be cut: nothing passes then, in either direction, and nothing is refused. */
import {connect, createServer} from 'node:net';

export const startLink = async ({host, targetPort}) => {
	const sockets = new Set();
	let isCut = false;
	const add = socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	};

	const proxy = createServer(incoming => {
		add(incoming);
		if (isCut) {
			return;
		}

		const outgoing = connect(targetPort, host);
		add(outgoing);
		for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]]) {
			from.on('data', chunk => {
				if (!isCut) {
					to.write(chunk);
				}
			});
			from.on('close', () => {
				if (!isCut) {
					to.destroy();
				}
			});
		}
	});
	await new Promise(resolve => {
		proxy.listen(0, host, resolve);
	});
	return {
		port: proxy.address().port,
		cut() {
			isCut = true;
		},
		/** Connections from before the end of the cut are closed. */
		restore() {
			isCut = false;
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
