import test from 'ava';
import {
	answerOk, createDocument, createHarness, createRawUpstream, record, send, until,
} from './fixtures.js';

const units = 6;
const requests = 600;
const callers = 20;

// Guards against leaked or double-freed units, lost claims and a team above its limit when faults and hang-ups come together.
test('under mixed faults the units bound what runs, all return, and every claim is settled', async t => {
	let running = 0;
	let most = 0;
	let count = 0;
	const upstream = await createRawUpstream(t, (socket, request) => {
		running++;
		most = Math.max(most, running);
		const kind = count++ % 10;
		setImmediate(() => {
			running--;
			if (kind === 0) {
				socket.resetAndDestroy();
			} else if (kind === 1) {
				socket.end('HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nx');
			} else {
				answerOk(socket, request);
			}
		});
	});
	const {gateway, port, state} = await createHarness(t, {
		document: createDocument({queue: {maximumRunMilliseconds: 20}}), units, instances: [record(upstream.port)],
	});

	let sent = 0;
	const call = async (): Promise<void> => {
		while (sent < requests) {
			const index = sent++;
			const hangUp = new AbortController();
			const answer = send(port, {method: index % 3 === 0 ? 'POST' : 'GET', headers: {'idempotency-key': `key-${index}`}, signal: hangUp.signal});
			if (index % 13 === 0) {
				hangUp.abort();
			}

			await answer.catch(() => undefined); // eslint-disable-line no-await-in-loop
		}
	};

	await Promise.all(Array.from({length: callers}, call));
	await until(() => state.units === units && state.settlements.length === state.claims);
	t.true(most <= units, `${most} ran at a time`);
	t.like(gateway.status(), {pools: [{pool: 'pricing', queued: 0, inFlight: 0}], teams: [{team: 'rugs', running: 0, queued: 0}]});
});
