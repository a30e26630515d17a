/** Simulates three availability zones with one entry instance and three upstreams each. */
import {createRetryBudget} from '@turmericbay/routing';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceRecord} from '@turmericbay/types';
import {
	AdmissionPolicy, createEntryModel, pool,
} from './entry-model.js';
import type {Counts, EntryModel} from './entry-model.js';
import {createRandom, drawExponentialTicks, drawPoisson} from './random.js';
import {createEventQueue, createUpstreamModel} from './upstream-model.js';

const zones = ['a', 'b', 'c'];
const upstreamsPerZone = 3;
const slotsPerInstance = 8;
const meanServiceTicks = 100;
const deadlineTicks = 1000;
const loadExchangeIntervalTicks = 500;

/** Mean number of requests that all upstreams together complete in one tick. */
const capacityPerTick = zones.length * upstreamsPerZone * slotsPerInstance / meanServiceTicks;

export type Scenario = {
	readonly seed: number;
	readonly ticks: number;
	/** Offered load as a multiple of the capacity. */
	readonly load: number;
	readonly admission: AdmissionPolicy;
	readonly hasRetryBudget: boolean;
	readonly prefersOwnZone: boolean;
	/** Fraction of the requests that arrive at the entry instance of each zone. */
	readonly arrivalFractionByZone: readonly number[];
	/** Tick at which the upstreams of zone c fail, while the instance list still contains them. */
	readonly zoneFailsAtTick?: number;
	readonly shares: Readonly<Record<string, number>>;
};

export const defaultScenario: Scenario = {
	seed: 1,
	ticks: 20_000,
	load: 1,
	admission: AdmissionPolicy.Bounded,
	hasRetryBudget: true,
	prefersOwnZone: true,
	arrivalFractionByZone: [1 / 3, 1 / 3, 1 / 3],
	shares: {
		rugs: 4, royalty: 2, gourds: 1, storefront: 1,
	},
};

const listUpstreams = (): InstanceRecord[] => zones.flatMap(zone => Array.from({length: upstreamsPerZone}, (_, index) => ({
	instance: `${zone}${index}`,
	incarnation: 'first',
	address: '127.0.0.1:1',
	role: InstanceRole.Upstream,
	pool,
	zone,
	rack: `${zone}-rack`,
	state: InstanceState.Live,
})));

const exchangeLoads = (entries: readonly EntryModel[]): void => {
	const loads = entries.map(entry => entry.readLoad());
	for (const [index, entry] of entries.entries()) {
		entry.routing.setPeerLoads({loads: loads.filter((_, peer) => peer !== index)});
	}
};

export const simulate = (scenario: Scenario): Counts => {
	const {seed, admission, hasRetryBudget, prefersOwnZone, shares, arrivalFractionByZone} = scenario;
	const random = createRandom(seed);
	const eventQueue = createEventQueue();
	const instances = listUpstreams();
	const upstreams = new Map(instances.map(({instance}) => [instance, createUpstreamModel(eventQueue, slotsPerInstance)]));
	const counts: Counts = {
		requests: 0, attempts: 0, succeeded: 0, rejected: 0, crossZoneAttempts: 0, succeededByTeam: new Map(),
	};
	const entries = zones.map(zone => {
		const entry = createEntryModel({
			instance: `entry-${zone}`,
			zone,
			prefersOwnZone,
			admission,
			eventQueue,
			upstreams,
			random,
			budget: hasRetryBudget ? createRetryBudget() : undefined,
			counts,
		});
		entry.routing.updatePools({pools: {[pool]: {slotsPerInstance, connectionsPerInstance: 64, maximumUnavailable: 1}}, now: 0});
		entry.routing.updateInstances({instances, now: 0});
		return entry;
	});
	const teams = Object.entries(shares);
	let id = 0;
	for (let tick = 0; tick < scenario.ticks; tick++) {
		if (tick === scenario.zoneFailsAtTick) {
			for (const {instance} of instances.filter(({zone}) => zone === 'c')) {
				upstreams.get(instance)!.fail();
			}
		}

		if (tick % loadExchangeIntervalTicks === 0) {
			exchangeLoads(entries);
		}

		for (const [index, entry] of entries.entries()) {
			for (let arrivals = drawPoisson(random, scenario.load * capacityPerTick * arrivalFractionByZone[index]!); arrivals > 0; arrivals--) {
				const [team, share] = teams[Math.floor(random() * teams.length)]!;
				entry.receive({
					id: id++, team, share, arrivedAt: tick, deadline: tick + deadlineTicks, serviceTicks: drawExponentialTicks(random, meanServiceTicks), attempts: 0,
				});
			}

			entry.sendQueued();
		}

		eventQueue.advance();
	}

	return counts;
};

/** Number of requests that all upstreams can complete during the scenario. */
export const computeCapacity = ({ticks}: Scenario): number => capacityPerTick * ticks;
