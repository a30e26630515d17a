/**
 * HTTP server of the fake platform: key-value service, instance list and instance
 * control on one port, with fault injection by the caller's availability zone.
 */
import type {IncomingMessage, RequestListener, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@turmericbay/types';
import {createSystemClock} from '@turmericbay/types';
import polka from 'polka';
import {z} from 'zod';
import type {CallCounters} from './call-counters.js';
import {createCallCounters} from './call-counters.js';
import {gatewayRoutes, startWatch, watchPath} from './etcd-gateway.js';
import type {GatewayResponse} from './etcd-gateway.js';
import {createFaultInjector, PlatformService} from './fault-injector.js';
import type {FaultInjector} from './fault-injector.js';
import {
	closeServer, listen, parseJson, readHeader, sendJson, toListener,
} from './http.js';
import type {ListeningServer} from './http.js';
import type {InstanceFleet} from './instance-fleet.js';
import {createInstanceFleet} from './instance-fleet.js';
import type {KeyValueEngine} from './key-value-engine.js';
import {createKeyValueEngine} from './key-value-engine.js';
import {toTargetGroups} from './service-discovery.js';

/** Header with the availability zone of the caller, by which faults are selected. */
export const zoneHeader = 'x-availability-zone';
/** Header with the name of the caller, by which calls are counted. */
export const instanceHeader = 'x-instance';

/** Interval at which leases are checked while no calls arrive, so that watches report expired keys. */
const leaseCheckMilliseconds = 100;

export type PlatformState = {
	readonly engine: KeyValueEngine;
	readonly fleet: InstanceFleet;
	readonly faults: FaultInjector;
	readonly counters: CallCounters;
};

export type PlatformServer = PlatformState & {readonly port: number; close(): Promise<void>};

export const createPlatformState = (options: {
	readonly clock: Clock;
	readonly lagMilliseconds?: number;
	readonly rebootMilliseconds?: number;
}): PlatformState => ({
	engine: createKeyValueEngine(options),
	fleet: createInstanceFleet(options),
	faults: createFaultInjector(),
	counters: createCallCounters(),
});

const anyBody = z.unknown();
const poolBody = z.object({pool: z.string().min(1)});

type Call = {
	readonly state: PlatformState;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly service: PlatformService;
	readonly isWrite: boolean;
	readonly operation: string;
};

const readZone = (request: IncomingMessage): string => readHeader(request, zoneHeader) ?? '';

/** Counts the call, applies the injected faults and responds with the result of `handle`. */
const respondWithFaults = async (call: Call, handle: () => GatewayResponse): Promise<void> => {
	const {state, request, response, service, isWrite, operation} = call;
	state.counters.count({caller: readHeader(request, instanceHeader) ?? '', operation});
	const decision = state.faults.decide({zone: readZone(request), service, isWrite});
	if (decision.type === 'hang') {
		return;
	}

	if (decision.type !== 'pass') {
		response.destroy();
		return;
	}

	if (decision.delayMilliseconds > 0) {
		await sleep(decision.delayMilliseconds);
	}

	const {status, body} = handle();
	if (decision.isResponseLost) {
		response.destroy();
		return;
	}

	sendJson(response, {status, body});
};

const serveWatch = (call: Omit<Call, 'service' | 'isWrite' | 'operation'> & {readonly openWatches: Set<() => void>; readonly body: unknown}): void => {
	const {
		state, openWatches, request, response, body,
	} = call;
	const zone = readZone(request);
	state.counters.count({caller: readHeader(request, instanceHeader) ?? '', operation: 'watch'});
	const inspect = () => state.faults.inspect({zone, service: PlatformService.KeyValue});
	const send = (message: unknown): void => {
		if (inspect() === 'pass') {
			response.write(`${JSON.stringify(message)}\n`);
		}
	};

	const disconnectIfFaulty = (): void => {
		const type = inspect();
		if (type === 'drop' || type === 'refuse') {
			response.destroy();
		}
	};

	const stop = startWatch({engine: state.engine, body, send});
	if (stop === undefined) {
		sendJson(response, {status: 400, body: {code: 3, message: 'malformed watch request'}});
		return;
	}

	openWatches.add(disconnectIfFaulty);
	response.on('close', () => {
		openWatches.delete(disconnectIfFaulty);
		stop();
	});
	disconnectIfFaulty();
};

const createHandler = (state: PlatformState, openWatches: Set<() => void>): RequestListener => {
	const app = polka();
	for (const [path, route] of gatewayRoutes) {
		app.post(path, async (request, response) => {
			const body = await parseJson(request, response, anyBody);
			await respondWithFaults({
				state, request, response, service: PlatformService.KeyValue, isWrite: route.isWrite, operation: path.slice('/v3/'.length),
			}, () => route.handle(state.engine, body));
		});
	}

	app.post(watchPath, async (request, response) => {
		const body = await parseJson(request, response, anyBody);
		serveWatch({
			state, openWatches, request, response, body,
		});
	});

	app.get('/instances', async (request, response) => {
		await respondWithFaults({
			state, request, response, service: PlatformService.InstanceList, isWrite: false, operation: 'instances',
		}, () => ({status: 200, body: toTargetGroups(state.fleet.listed())}));
	});

	const addInstanceRoute = (operation: string, apply: (instance: string, body: unknown) => boolean): void => {
		app.post(`/instances/:instance/${operation}`, async (request, response) => {
			const {instance} = request.params;
			const body = await parseJson(request, response, operation === 'pool' ? poolBody : anyBody);
			if (response.writableEnded) {
				return;
			}

			await respondWithFaults({
				state, request, response, service: PlatformService.InstanceControl, isWrite: true, operation,
			}, () => apply(String(instance), body)
				? {status: 200, body: {}}
				: {status: 404, body: {error: 'unknown instance'}});
		});
	};

	addInstanceRoute('drain', instance => state.fleet.drain(instance));
	addInstanceRoute('reboot', instance => state.fleet.reboot(instance));
	addInstanceRoute('pool', (instance, body) => state.fleet.assignPool({instance, pool: poolBody.parse(body).pool}));
	return toListener(app);
};

/** Starts the fake platform, by default on a free loopback port. */
export const startPlatformServer = async (options: {
	readonly clock?: Clock;
	readonly port?: number;
	readonly host?: string;
	readonly lagMilliseconds?: number;
	readonly rebootMilliseconds?: number;
} = {}): Promise<PlatformServer> => {
	const state = createPlatformState({...options, clock: options.clock ?? createSystemClock()});
	const openWatches = new Set<() => void>();
	const handler = createHandler(state, openWatches);
	let listening: ListeningServer = await listen({listener: handler, port: options.port, host: options.host});
	const {port} = listening;
	let listenerChange = Promise.resolve();
	state.faults.subscribe(() => {
		for (const disconnectIfFaulty of openWatches) {
			disconnectIfFaulty();
		}

		listenerChange = listenerChange.then(async () => {
			if (state.faults.isRefusing()) {
				await closeServer(listening.server);
			} else if (!listening.server.listening) {
				listening = await listen({listener: handler, port, host: options.host});
			}
		});
	});
	const leaseCheck = setInterval(() => {
		state.engine.expireLeases();
	}, leaseCheckMilliseconds);
	return {
		...state,
		port,
		async close() {
			clearInterval(leaseCheck);
			await listenerChange;
			await listening.close();
		},
	};
};
