/** A proxy in front of the store that delays its answers, or gives none. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {call} from './site.mjs';

const host = '127.0.0.1';
const longestCallMilliseconds = 40_000;

/** `getDelay()` returns the milliseconds by which an answer is delayed; undefined while the store is silent: calls that arrive then are not carried out, and those that are due then are not answered. `onCall(target)` is called for each call. Returns the address of the proxy. */
export const startSlowStore = async (storeAddress, getDelay, onCall = () => undefined) => {
	const server = createServer((request, response) => {
		const answer = async () => {
			const chunks = [];
			for await (const chunk of request) {
				chunks.push(chunk);
			}

			const body = Buffer.concat(chunks).toString('utf8');
			onCall(request.url);
			const delay = getDelay();
			if (delay === undefined) {
				return;
			}

			await new Promise(resolve => {
				setTimeout(resolve, delay / 2);
			});
			const result = await call({
				address: storeAddress, method: request.method, target: request.url, timeoutMilliseconds: longestCallMilliseconds, ...(body !== '' && {body}),
			});
			await new Promise(resolve => {
				setTimeout(resolve, delay / 2);
			});
			if (getDelay() === undefined) {
				return;
			}

			if (!result) {
				response.destroy();
				return;
			}

			response.writeHead(result.status, {'content-type': 'application/json'});
			response.end(JSON.stringify(result.body));
		};

		answer().catch(() => {
			response.destroy();
		});
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return `${host}:${server.address().port}`;
};
