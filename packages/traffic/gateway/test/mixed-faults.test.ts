import test from 'ava';
import {
	createDocument, createHarness, createRawUpstream, createRecord, respondOk, send, waitUntil,
} from './fixtures.js';

const units = 6;
const requests = 600;
const callers = 20;

// Guards against units that are leaked or released twice, unsettled claims and an exceeded team limit under concurrent upstream faults and disconnects.
test('under mixed faults the team limit holds, all units are released and every claim is settled', async t => {
	let running = 0;
	let peakRunning = 0;
	let count = 0;
	const upstream = await createRawUpstream(t, (socket, request) => {
		running++;
		peakRunning = Math.max(peakRunning, running);
		const kind = count++ % 10;
		setImmediate(() => {
			running--;
			if (kind === 0) {
				socket.resetAndDestroy();
			} else if (kind === 1) {
				socket.end('HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nx');
			} else {
				respondOk(socket, request);
			}
		});
	});
	const {gateway, port, state} = await createHarness(t, {
		document: createDocument({queue: {maximumRunMilliseconds: 20}}), units, instances: [createRecord(upstream.port)],
	});

	let sent = 0;
	const call = async (): Promise<void> => {
		while (sent < requests) {
			const index = sent++;
			const disconnect = new AbortController();
			const response = send(port, {method: index % 3 === 0 ? 'POST' : 'GET', headers: {'idempotency-key': `key-${index}`}, signal: disconnect.signal});
			if (index % 13 === 0) {
				disconnect.abort();
			}

			await response.catch(() => undefined); // eslint-disable-line no-await-in-loop
		}
	};

	await Promise.all(Array.from({length: callers}, call));
	await waitUntil(() => state.units === units && state.settlements.length === state.claims);
	t.true(peakRunning <= units, `${peakRunning} ran at a time`);
	t.like(gateway.status(), {pools: [{pool: 'pricing', queued: 0, inFlight: 0}], teams: [{team: 'rugs', running: 0, queued: 0}]});
});
