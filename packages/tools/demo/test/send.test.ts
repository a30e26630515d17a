import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import test from 'ava';
import {ResponseClass, sendRequest} from '../src/index.js';

const respondWithProblem = (outcome: string) => (response: ServerResponse): void => {
	response.writeHead(503, {'Content-Type': 'application/problem+json'}).end(JSON.stringify({code: 'SOME_CODE', outcome}));
};

const echo = JSON.stringify({body: 'rug 7', idempotencyKey: '', instance: 'invoices-1'});

const cases: ReadonlyArray<{readonly name: string; readonly type: ResponseClass; readonly respond: (response: ServerResponse) => unknown}> = [
	{name: 'an echo of the request', type: ResponseClass.Answered, respond: response => response.end(echo)},
	{name: 'an error response of the upstream', type: ResponseClass.Answered, respond: response => response.writeHead(500).end(echo)},
	{name: 'the echo of another request', type: ResponseClass.Mismatched, respond: response => response.end(echo.replace('rug 7', 'rug 8'))},
	{name: 'a problem without an outcome', type: ResponseClass.Mismatched, respond: respondWithProblem('')},
	{name: 'a problem with the outcome not-run', type: ResponseClass.NotRun, respond: respondWithProblem('not-run')},
	{name: 'a problem with an unknown outcome', type: ResponseClass.Unknown, respond: respondWithProblem('unknown')},
	{name: 'a problem about a request that ran earlier', type: ResponseClass.AlreadyRun, respond: respondWithProblem('run')},
	{
		name: 'a truncated response',
		type: ResponseClass.Broken,
		respond(response) {
			response.writeHead(200, {'Content-Length': Buffer.byteLength(echo)});
			response.write(echo.slice(0, 5), () => {
				response.destroy();
			});
		},
	},
	{name: 'a broken connection', type: ResponseClass.Broken, respond: response => response.destroy()},
];

for (const {name, type, respond} of cases) {
	// Guards against counts that hide a truncated response, one to another request or a problem without an outcome.
	test(`${name} counts as ${type}`, async t => {
		const server = createServer((_request, response) => {
			respond(response);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = server.address();
		const port = typeof address === 'object' ? address?.port : 0;
		const response = await sendRequest({
			entryUrl: `http://127.0.0.1:${port}`, queue: 'price', method: 'POST', path: '/', body: 'rug 7', timeoutMilliseconds: 5000,
		});
		t.is(response.type, type);
		server.close();
		server.closeAllConnections();
	});
}
