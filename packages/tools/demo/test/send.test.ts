import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import test from 'ava';
import {AnswerClass, sendRequest} from '../src/index.js';

const problem = (outcome: string) => (response: ServerResponse): void => {
	response.writeHead(503, {'Content-Type': 'application/problem+json'}).end(JSON.stringify({code: 'SOME_CODE', outcome}));
};

const own = JSON.stringify({body: 'rug 7', idempotencyKey: '', instance: 'invoices-1'});

const cases: ReadonlyArray<{readonly name: string; readonly type: AnswerClass; readonly answer: (response: ServerResponse) => unknown}> = [
	{name: 'an echo of the request', type: AnswerClass.Answered, answer: response => response.end(own)},
	{name: 'a failure of the upstream itself', type: AnswerClass.Answered, answer: response => response.writeHead(500).end(own)},
	{name: 'the echo of another request', type: AnswerClass.Foreign, answer: response => response.end(own.replace('rug 7', 'rug 8'))},
	{name: 'a problem without an outcome', type: AnswerClass.Foreign, answer: problem('')},
	{name: 'a refusal', type: AnswerClass.NotRun, answer: problem('not-run')},
	{name: 'an unknown outcome', type: AnswerClass.Unknown, answer: problem('unknown')},
	{name: 'a request that ran before', type: AnswerClass.AlreadyRun, answer: problem('run')},
	{
		name: 'a cut answer',
		type: AnswerClass.Broken,
		answer(response) {
			response.writeHead(200, {'Content-Length': Buffer.byteLength(own)});
			response.write(own.slice(0, 5), () => {
				response.destroy();
			});
		},
	},
	{name: 'a broken connection', type: AnswerClass.Broken, answer: response => response.destroy()},
];

for (const {name, type, answer} of cases) {
	// Guards against counts that hide a cut, foreign or unlabelled answer.
	test(`${name} counts as ${type}`, async t => {
		const server = createServer((_request, response) => {
			answer(response);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = server.address();
		const port = typeof address === 'object' ? address?.port : 0;
		const seen = await sendRequest({
			entryUrl: `http://127.0.0.1:${port}`, queue: 'price', method: 'POST', path: '/', body: 'rug 7', timeoutMilliseconds: 5000,
		});
		t.is(seen.type, type);
		server.close();
		server.closeAllConnections();
	});
}
