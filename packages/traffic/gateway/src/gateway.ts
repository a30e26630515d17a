/** Assembles the data path of one entry instance. */
import {setImmediate as waitForNextIteration, setTimeout as delay} from 'node:timers/promises';
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
import type {GatewayContext} from './request-flow.js';
import {createRunTracker} from './run-tracker.js';
import {createNoopTelemetry} from './trace-context.js';
import {createUpstreamClient} from './upstream-client.js';

/** Interval of the checks for slots that become free without an event, such as at the end of an ejection. */
const updateIntervalMilliseconds = 100;

/** Starts at another queue each time, so that a team at its limit is served in all its pools. */
const startQueuedRequests = (queues: ReadonlyMap<PoolName, PoolQueue>, rotation: number, team: TeamName | undefined): void => {
	const list = [...queues.values()];
	for (let index = 0; index < list.length; index++) {
		const queue = list[(index + rotation) % list.length]!;
		if (team === undefined) {
			queue.updateConcurrency();
		} else {
			queue.unblock(team);
		}
	}
};

const createContext = (options: GatewayOptions, queues: Map<PoolName, PoolQueue>): GatewayContext => {
	const settings = {...defaultGatewaySettings, ...options.settings};
	const {clock, random, zone, grants} = options;
	const now = (): number => clock.monotonicMilliseconds();
	const routing = createRoutingTable({zone, random});
	let rotation = 0;
	const runs = createRunTracker({
		grants,
		routing,
		onEnd(team) {
			startQueuedRequests(queues, rotation++, team);
		},
	});
	const createQueue = (pool: PoolName): PoolQueue => {
		const queue = createPoolQueue({
			grants,
			getCapacity: () => ({inFlight: routing.countInFlight({pool}), free: routing.countFreeSlots({pool, now: now()})}),
			countRunning: team => runs.countRunning(team),
			now,
		});
		queues.set(pool, queue);
		return queue;
	};

	return {
		options,
		settings,
		telemetry: options.telemetry ?? createNoopTelemetry({random}),
		routing,
		client: createUpstreamClient(settings),
		runs,
		retryBudget: createRetryBudget(),
		getPoolQueue: pool => queues.get(pool) ?? createQueue(pool),
	};
};

const readStatus = ({routing, runs, options}: GatewayContext, queues: ReadonlyMap<PoolName, PoolQueue>): GatewayStatus => {
	const now = options.clock.monotonicMilliseconds();
	const names = Object.keys(options.configuration.current()?.document.teams ?? {});
	const countQueuedOfTeam = (team: TeamName): number => {
		let sum = 0;
		for (const queue of queues.values()) {
			sum += queue.countQueuedOfTeam(team);
		}

		return sum;
	};

	return {
		pools: [...queues].map(([pool, queue]) => ({pool, queued: queue.countQueued(), inFlight: routing.countInFlight({pool})})),
		teams: [...new Set([...names, ...runs.listTeams()])].map(team => ({team, running: runs.countRunning(team), queued: countQueuedOfTeam(team)})),
		upstreams: routing.listBusyOrEjectedUpstreams({now}).map(upstream => ({
			instance: upstream.record.instance,
			inFlight: upstream.ownInFlight + upstream.abandonedInFlight,
			isEjected: isEjected(upstream, now),
		})),
	};
};

/** Waits up to the drain timeout for all requests, those of disconnected callers included. */
const drainRequests = async ({context, server, queues, active}: {
	readonly context: GatewayContext;
	readonly server: CallerServer;
	readonly queues: ReadonlyMap<PoolName, PoolQueue>;
	readonly active: ReadonlySet<Promise<void>>;
}): Promise<void> => {
	const closed = server.close();
	const timeout = new AbortController();
	const finished = closed.then(async () => Promise.all(active));
	const expired = delay(context.settings.drainTimeoutMilliseconds, true, {signal: timeout.signal}).catch(() => false);
	await Promise.race([finished, expired]);
	timeout.abort();
	for (const queue of queues.values()) {
		queue.refuseQueued({code: ProblemCode.Draining, detail: 'Retry at another entry instance.', retryAfterSeconds: 1});
	}

	// Lets the refusals be written to their sockets before the connections are destroyed.
	await waitForNextIteration();
	server.destroyConnections();
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

	const updateQueues = (): void => {
		for (const queue of queues.values()) {
			queue.updateConcurrency();
		}
	};

	const applyInstances = (): void => {
		const {removed} = routing.updateInstances({instances: options.instances.instances(), now: now()});
		for (const record of removed) {
			client.closeConnections(record);
		}

		runs.endRunsOfTerminatedProcesses({isTerminated: identity => options.instances.isProvenGone(identity)});
		updateQueues();
	};

	const applyDocument = (): void => {
		routing.updatePools({pools: options.configuration.current()?.document.pools ?? {}, now: now()});
		updateQueues();
	};

	options.instances.subscribe(applyInstances);
	options.configuration.subscribe(applyDocument);
	options.grants.onAvailable(team => {
		for (const queue of queues.values()) {
			queue.unblock(team);
		}
	});
	applyDocument();
	applyInstances();
	const timer = setInterval(updateQueues, updateIntervalMilliseconds);
	timer.unref();

	return {
		listen: async address => server.listen(address),
		status: () => readStatus(context, queues),
		setPeerLoads(loads) {
			routing.setPeerLoads({loads});
			updateQueues();
		},
		beginDrain() {
			server.beginDrain();
		},
		async close() {
			await drainRequests({
				context, server, queues, active,
			});
			clearInterval(timer);
			runs.stop();
			await client.destroy();
			await Promise.all(active);
		},
	};
};
