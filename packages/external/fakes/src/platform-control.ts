/**
 * Control port of the fake platform, for tests and the demo:
 *
 * - `POST /faults {scope?: {zone?, service?}, faults: {down?, cut?, delayMilliseconds?, lostAnswers?}}`
 * - `POST /faults/refuse-connections {enabled}`
 * - `POST /faults/clear`
 * - `POST /instances` with an instance record; `POST /instances/remove {instance}`; `GET /instances` (without lag)
 * - `POST /instances/lag {milliseconds}`
 * - `GET /orders`: drains, reboots and pool assignments requested so far
 * - `GET /counters`, `POST /counters/reset`: calls by caller and operation
 * - `GET /revision`: revision of the key-value store
 */
import {InstanceRole, InstanceState} from '@turmericbay/types';
import polka from 'polka';
import {z} from 'zod';
import {PlatformService} from './fault-injector.js';
import type {ListeningServer} from './http.js';
import {
	listen, parseJson, sendJson, toListener,
} from './http.js';
import type {PlatformState} from './platform-server.js';

const faultBody = z.strictObject({
	scope: z.strictObject({zone: z.string().optional(), service: z.enum(PlatformService).optional()}).optional(),
	faults: z.strictObject({
		down: z.boolean(),
		cut: z.boolean(),
		delayMilliseconds: z.int().min(0),
		lostAnswers: z.int().min(0),
	}).partial(),
});

const recordBody = z.strictObject({
	instance: z.string().min(1),
	incarnation: z.string().min(1),
	address: z.string().min(1),
	role: z.enum(InstanceRole),
	pool: z.string(),
	zone: z.string(),
	rack: z.string(),
	state: z.enum(InstanceState),
});

const emptyBody = z.strictObject({});

export const startPlatformControl = async (options: {
	readonly state: PlatformState;
	readonly port?: number;
	readonly host?: string;
}): Promise<ListeningServer> => {
	const {engine, fleet, faults, counters} = options.state;
	const app = polka();
	const addCommand = <Schema extends z.ZodType>(path: string, schema: Schema, run: (body: z.infer<Schema>) => void): void => {
		app.post(path, async (request, response) => {
			const body = await parseJson(request, response, schema);
			if (body !== undefined) {
				run(body);
				sendJson(response, {body: {}});
			}
		});
	};

	const addReport = (path: string, read: () => unknown): void => {
		app.get(path, (_request, response) => {
			sendJson(response, {body: read()});
		});
	};

	addCommand('/faults', faultBody, body => {
		faults.set(body);
	});
	addCommand('/faults/refuse-connections', z.strictObject({enabled: z.boolean()}), ({enabled}) => {
		faults.refuseConnections(enabled);
	});
	addCommand('/faults/clear', emptyBody, () => {
		faults.clear();
	});
	addCommand('/instances', recordBody, record => {
		fleet.set(record);
	});
	addCommand('/instances/remove', z.strictObject({instance: z.string()}), ({instance}) => {
		fleet.remove(instance);
	});
	addCommand('/instances/lag', z.strictObject({milliseconds: z.int().min(0)}), ({milliseconds}) => {
		fleet.setLag(milliseconds);
	});
	addCommand('/counters/reset', emptyBody, () => {
		counters.reset();
	});
	addReport('/instances', () => fleet.current());
	addReport('/orders', () => fleet.orders());
	addReport('/counters', () => counters.read());
	addReport('/revision', () => ({revision: engine.revision()}));
	return listen({listener: toListener(app), port: options.port, host: options.host});
};
