/** A site of three availability zones with one entry instance and three upstreams each. */
import {createRetryBudget} from '@turmericbay/routing';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceRecord} from '@turmericbay/types';
import {
	Admission, createEntryModel, pool,
} from './entry-model.js';
import type {Counts, EntryModel} from './entry-model.js';
import {createRandom, exponentialTicks, poisson} from './random.js';
import {createCalendar, createUpstreamModel} from './upstream-model.js';

const zones = ['a', 'b', 'c'];
const upstreamsPerZone = 3;
const slotsPerInstance = 8;
const meanServiceTicks = 100;
const deadlineTicks = 1000;
const exchangeTicks = 500;

/** Requests that all upstreams together can run in one tick. */
const capacityPerTick = zones.length * upstreamsPerZone * slotsPerInstance / meanServiceTicks;

export type Scenario = {
	readonly seed: number;
	readonly ticks: number;
	/** Offered load as a multiple of the capacity. */
	readonly load: number;
	readonly admission: Admission;
	readonly hasRetryBudget: boolean;
	readonly isLocal: boolean;
	/** Part of all callers at each zone's entry instance. */
	readonly callersPerZone: readonly number[];
	/** Tick at which the upstreams of zone c are lost, though the list still shows them. */
	readonly zoneLostAt?: number;
	readonly shares: Readonly<Record<string, number>>;
};

export const defaultScenario: Scenario = {
	seed: 1,
	ticks: 20_000,
	load: 1,
	admission: Admission.Bounded,
	hasRetryBudget: true,
	isLocal: true,
	callersPerZone: [1 / 3, 1 / 3, 1 / 3],
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

const exchange = (entries: readonly EntryModel[]): void => {
	const loads = entries.map(entry => entry.load());
	for (const [index, entry] of entries.entries()) {
		entry.routing.setPeerLoads({loads: loads.filter((_, peer) => peer !== index)});
	}
};

export const simulate = (scenario: Scenario): Counts => {
	const {seed, admission, hasRetryBudget, isLocal, shares, callersPerZone} = scenario;
	const random = createRandom(seed);
	const calendar = createCalendar();
	const instances = listUpstreams();
	const upstreams = new Map(instances.map(({instance}) => [instance, createUpstreamModel(calendar, slotsPerInstance)]));
	const counts: Counts = {
		requests: 0, attempts: 0, good: 0, refused: 0, otherZone: 0, goodByTeam: new Map(),
	};
	const entries = zones.map(zone => {
		const entry = createEntryModel({
			instance: `entry-${zone}`,
			zone,
			isLocal,
			admission,
			calendar,
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
		if (tick === scenario.zoneLostAt) {
			for (const {instance} of instances.filter(({zone}) => zone === 'c')) {
				upstreams.get(instance)!.lose();
			}
		}

		if (tick % exchangeTicks === 0) {
			exchange(entries);
		}

		for (const [index, entry] of entries.entries()) {
			for (let arrivals = poisson(random, scenario.load * capacityPerTick * callersPerZone[index]!); arrivals > 0; arrivals--) {
				const [team, share] = teams[Math.floor(random() * teams.length)]!;
				entry.arrive({
					id: id++, team, share, arrivedAt: tick, deadline: tick + deadlineTicks, serviceTicks: exponentialTicks(random, meanServiceTicks), attempts: 0,
				});
			}

			entry.tick();
		}

		calendar.advance();
	}

	return counts;
};

/** Requests that the site can answer in the scenario's time. */
export const capacityOf = ({ticks}: Scenario): number => capacityPerTick * ticks;
