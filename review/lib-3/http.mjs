/** Small helpers for HTTP on loopback. */
import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {text} from 'node:stream/consumers';

export const host = '127.0.0.1';

export const sleep = async milliseconds => {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
};

export const listen = async (server, port = 0) => {
	await new Promise(resolve => {
		server.listen(port, host, resolve);
	});
	return `${host}:${server.address().port}`;
};

/** Ports that were free a moment ago. */
export const findFreePorts = async count => {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = await Promise.all(servers.map(async server => listen(server)));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return addresses.map(address => Number(address.split(':')[1]));
};

export const readJson = async request => {
	try {
		const body = await text(request);
		return body === '' ? {} : JSON.parse(body);
	} catch {
		return {};
	}
};

export const respond = (response, status, body) => {
	const serialized = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(serialized)});
	response.end(serialized);
};

/** One call on a connection of its own; undefined if there is no whole response in time. */
export const callOnce = async ({address, method, path, headers = {}, body, timeoutMilliseconds = 3000}) => new Promise(resolve => {
	const [hostname, port] = address.split(':');
	const request = sendRequest({
		hostname, port, method, path, agent: false,
		headers: {...headers, ...(body !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)})},
	}, async response => {
		try {
			resolve({status: response.statusCode, text: await text(response)});
		} catch {
			resolve(undefined);
		}
	});
	request.setTimeout(timeoutMilliseconds, () => {
		request.destroy();
	});
	request.on('error', () => {
		resolve(undefined);
	});
	request.end(body);
});
