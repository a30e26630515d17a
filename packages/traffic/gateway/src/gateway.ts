/** Wires the data path of one entry instance together. */
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {createRetryBudget, createRoutingTable, isEjected} from '@turmericbay/routing';
import {ProblemCode} from '@turmericbay/types';
import type {PoolName, TeamName} from '@turmericbay/types';
import {createCallerServer} from './caller-server.js';
import type {CallerServer} from './caller-server.js';
import {createPoolQueue} from './pool-queue.js';
import type {PoolQueue} from './pool-queue.js';
import {defaultGatewaySettings} from './ports.js';
import type {Gateway, GatewayOptions, GatewayStatus} from './ports.js';
import {handleRequest} from './request-flow.js';
import type {FlowContext} from './request-flow.js';
import {createRunLedger} from './run-ledger.js';
import {createSilentTelemetry} from './trace-context.js';
import {createUpstreamClient} from './upstream-client.js';

/** How often queues are checked for seats that became free with time alone. */
const refreshIntervalMilliseconds = 100;

/** Each turn begins at another queue, so that a team at its limit is served in all its pools. */
const offerSeats = (queues: ReadonlyMap<PoolName, PoolQueue>, turn: number, team: TeamName | undefined): void => {
	const list = [...queues.values()];
	for (let index = 0; index < list.length; index++) {
		const queue = list[(index + turn) % list.length]!;
		if (team === undefined) {
			queue.refresh();
		} else {
			queue.unblock(team);
		}
	}
};

const createContext = (options: GatewayOptions, queues: Map<PoolName, PoolQueue>): FlowContext => {
	const settings = {...defaultGatewaySettings, ...options.settings};
	const {clock, random, zone, grants} = options;
	const now = (): number => clock.monotonicMilliseconds();
	const routing = createRoutingTable({zone, random});
	let turn = 0;
	const runs = createRunLedger({
		grants,
		routing,
		onEnd(team) {
			offerSeats(queues, turn++, team);
		},
	});
	const openQueue = (pool: PoolName): PoolQueue => {
		const queue = createPoolQueue({
			grants,
			seats: () => ({inFlight: routing.inFlight({pool}), free: routing.freeSlots({pool, now: now()})}),
			running: team => runs.running(team),
			now,
		});
		queues.set(pool, queue);
		return queue;
	};

	return {
		options,
		settings,
		telemetry: options.telemetry ?? createSilentTelemetry({random}),
		routing,
		client: createUpstreamClient(settings),
		runs,
		retries: createRetryBudget(),
		poolQueue: pool => queues.get(pool) ?? openQueue(pool),
	};
};

const readStatus = ({routing, runs, options}: FlowContext, queues: ReadonlyMap<PoolName, PoolQueue>): GatewayStatus => {
	const now = options.clock.monotonicMilliseconds();
	const names = Object.keys(options.configuration.current()?.document.teams ?? {});
	const queuedOf = (team: TeamName): number => {
		let sum = 0;
		for (const queue of queues.values()) {
			sum += queue.queuedOf(team);
		}

		return sum;
	};

	return {
		pools: [...queues].map(([pool, queue]) => ({pool, queued: queue.queued(), inFlight: routing.inFlight({pool})})),
		teams: [...new Set([...names, ...runs.teams()])].map(team => ({team, running: runs.running(team), queued: queuedOf(team)})),
		upstreams: routing.noteworthyUpstreams({now}).map(upstream => ({
			instance: upstream.record.instance,
			inFlight: upstream.ownInFlight + upstream.lingering,
			isEjected: isEjected(upstream, now),
		})),
	};
};

/** Waits for all requests, also those whose callers hung up, but no longer than the bound. */
const finishRequests = async ({context, server, queues, active}: {
	readonly context: FlowContext;
	readonly server: CallerServer;
	readonly queues: ReadonlyMap<PoolName, PoolQueue>;
	readonly active: ReadonlySet<Promise<void>>;
}): Promise<void> => {
	const closed = server.close();
	const bound = new AbortController();
	const finished = closed.then(async () => Promise.all(active));
	const expired = delay(context.settings.drainBoundMilliseconds, true, {signal: bound.signal}).catch(() => false);
	await Promise.race([finished, expired]);
	bound.abort();
	for (const queue of queues.values()) {
		queue.refuseQueued({code: ProblemCode.Draining, detail: 'Retry at another entry instance.', retryAfterSeconds: 1});
	}

	// Lets the refusals above reach their sockets.
	await nextTurn();
	server.cut();
	await closed;
};

export const createGateway = (options: GatewayOptions): Gateway => {
	const queues = new Map<PoolName, PoolQueue>();
	const context = createContext(options, queues);
	const {routing, runs, client} = context;
	const active = new Set<Promise<void>>();
	const now = (): number => options.clock.monotonicMilliseconds();
	const server = createCallerServer({
		settings: context.settings,
		issueTicket: options.issueTicket,
		async handle(request, response) {
			const handling = handleRequest(context, request, response);
			active.add(handling);
			await handling;
			active.delete(handling);
		},
	});

	const refresh = (): void => {
		for (const queue of queues.values()) {
			queue.refresh();
		}
	};

	const followInstances = (): void => {
		const {gone} = routing.updateInstances({instances: options.instances.instances(), now: now()});
		for (const record of gone) {
			client.retire(record);
		}

		runs.endRunsOf({isGone: identity => options.instances.isProvenGone(identity)});
		refresh();
	};

	const followDocument = (): void => {
		routing.updatePools({pools: options.configuration.current()?.document.pools ?? {}, now: now()});
		refresh();
	};

	options.instances.subscribe(followInstances);
	options.configuration.subscribe(followDocument);
	options.grants.onAvailable(team => {
		for (const queue of queues.values()) {
			queue.unblock(team);
		}
	});
	followDocument();
	followInstances();
	const timer = setInterval(refresh, refreshIntervalMilliseconds);
	timer.unref();

	return {
		listen: async address => server.listen(address),
		status: () => readStatus(context, queues),
		setPeerLoads(loads) {
			routing.setPeerLoads({loads});
			refresh();
		},
		beginDrain() {
			server.beginDrain();
		},
		async close() {
			await finishRequests({
				context, server, queues, active,
			});
			clearInterval(timer);
			runs.stop();
			await client.destroy();
			await Promise.all(active);
		},
	};
};
