/** A proxy in front of the store that delays each answer, as a store that takes its time. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {call} from './site.mjs';

const host = '127.0.0.1';
const longestCallMilliseconds = 40_000;

/** `getDelay()` returns the milliseconds by which the next answer is delayed. Returns the address of the proxy. */
export const startSlowStore = async (storeAddress, getDelay) => {
	const server = createServer((request, response) => {
		const answer = async () => {
			const chunks = [];
			for await (const chunk of request) {
				chunks.push(chunk);
			}

			const body = Buffer.concat(chunks).toString('utf8');
			const delay = getDelay();
			await new Promise(resolve => {
				setTimeout(resolve, delay / 2);
			});
			const result = await call({
				address: storeAddress, method: request.method, target: request.url, timeoutMilliseconds: longestCallMilliseconds, ...(body !== '' && {body}),
			});
			await new Promise(resolve => {
				setTimeout(resolve, delay / 2);
			});
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
