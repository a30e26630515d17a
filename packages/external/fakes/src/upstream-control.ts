/**
 * Control port of the fake upstream:
 *
 * - `POST /fault {mode, count?, delayMilliseconds?}`; modes as in `UpstreamFault`
 * - `POST /run-time {milliseconds}`
 * - `GET /runs`: runs by idempotency key and by request identifier
 * - `GET /run-log`: every run with its label and times
 * - `GET /statistics`: requests received, running now, maximum running at a time
 * - `POST /reset`: clears the run log
 */
import polka from 'polka';
import {z} from 'zod';
import type {ListeningServer} from './http.js';
import {
	listen, parseJson, sendJson, toListener,
} from './http.js';
import type {UpstreamServer} from './upstream-server.js';
import {UpstreamFault} from './upstream-response.js';

const faultBody = z.strictObject({
	mode: z.enum(UpstreamFault),
	count: z.int().min(1).optional(),
	delayMilliseconds: z.int().min(0).optional(),
});

export const startUpstreamControl = async (options: {
	readonly upstream: UpstreamServer;
	readonly port?: number;
	readonly host?: string;
}): Promise<ListeningServer> => {
	const {upstream} = options;
	const {runLog} = upstream;
	const app = polka();
	app.post('/fault', async (request, response) => {
		const setting = await parseJson(request, response, faultBody);
		if (setting !== undefined) {
			upstream.setFault(setting);
			sendJson(response, {body: {}});
		}
	});
	app.post('/run-time', async (request, response) => {
		const body = await parseJson(request, response, z.strictObject({milliseconds: z.int().min(0)}));
		if (body !== undefined) {
			upstream.setRunTime(body.milliseconds);
			sendJson(response, {body: {}});
		}
	});
	app.post('/reset', (_request, response) => {
		runLog.reset();
		sendJson(response, {body: {}});
	});
	app.get('/runs', (_request, response) => {
		sendJson(response, {body: runLog.counts()});
	});
	app.get('/run-log', (_request, response) => {
		sendJson(response, {body: runLog.records()});
	});
	app.get('/statistics', (_request, response) => {
		sendJson(response, {
			body: {received: upstream.received(), running: runLog.running(), maximumRunning: runLog.maximumRunning()},
		});
	});
	return listen({listener: toListener(app), port: options.port, host: options.host});
};
