/** Problem details (RFC 9457) as HTTP responses. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {STATUS_CODES} from 'node:http';
import {getProblemOutcome, problemKinds} from '@turmericbay/types';
import type {Problem} from '@turmericbay/types';

const render = (problem: Problem) => {
	const {status, title} = problemKinds[problem.code];
	const outcome = getProblemOutcome(problem);
	const body = Buffer.from(JSON.stringify({
		type: 'about:blank', title, status, detail: problem.detail, code: problem.code, outcome,
	}));
	const headers: Record<string, string> = {
		'content-type': 'application/problem+json',
		'content-length': String(body.length),
	};
	if (problem.retryAfterSeconds !== undefined) {
		headers['retry-after'] = String(problem.retryAfterSeconds);
	}

	return {status, headers, body};
};

export const sendProblem = (response: ServerResponse, problem: Problem): void => {
	const {status, headers, body} = render(problem);
	response.writeHead(status, headers);
	response.end(body);
};

/** Responds on a connection whose request could not be parsed, and closes it. */
export const sendRawProblem = (socket: Duplex, problem: Problem): void => {
	const {status, headers, body} = render(problem);
	const lines = Object.entries({...headers, connection: 'close'}).map(([name, value]) => `${name}: ${value}\r\n`);
	socket.end(Buffer.concat([Buffer.from(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${lines.join('')}\r\n`), body]));
};
