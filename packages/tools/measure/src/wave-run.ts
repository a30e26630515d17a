/** Simulates one maintenance wave of a region: the fleet ledger drains and reboots every instance once. */
import {
	createEmptyState, completeAction, defaultTiming, proposeNextState, StepPhase,
} from '@turmericbay/fleet-ledger';
import type {FleetRules, FleetState, FleetView} from '@turmericbay/fleet-ledger';
import {countZonesAtOnce, deriveSettings} from '@turmericbay/policy';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceRecord} from '@turmericbay/types';
import type {MeasuredPolicy} from './policies.js';
import {createRandom} from './random.js';
import type {Random} from './random.js';
import type {Site} from './sites.js';
import type {TickTimes} from './timing.js';

export type WaveFigures = {
	readonly rollOutHours: number;
	/** Writes to the fleet ledger. */
	readonly writes: number;
	/** Size of the ledger's value at the end. */
	readonly largestValueBytes: number;
	readonly failures: number;
};

const tickMilliseconds = 10_000;
const startWallMilliseconds = 1_750_000_000_000;
/** 22 failures a day among the 5,500 instances of the target site. */
const failuresPerInstanceDay = 22 / 5500;
const failedRebootFraction = 0.005;
const maximumWaveMilliseconds = 40 * 86_400_000;
const self = {instance: 'entry-0', incarnation: 'entry-0-0'};

type Region = {
	readonly instances: Map<string, InstanceRecord>;
	readonly unavailableUntil: Map<string, number>;
	readonly drainEndsAt: Map<string, number>;
	readonly random: Random;
	now: number;
};

const createRegion = (site: Site, random: Random): Region => {
	const instances = new Map<string, InstanceRecord>();
	const add = (instance: string, pool: string, role: InstanceRole, index: number) => {
		instances.set(instance, {
			instance, pool, role, incarnation: `${instance}-0`, address: '127.0.0.1:1', state: InstanceState.Live,
			zone: `zone-${Math.floor(index / 4) % site.waveZones}`, rack: `rack-${Math.floor(index / 4 / site.waveZones)}`,
		});
	};

	const upstreams = Math.ceil(site.upstreamPools * site.instancesPerPool / site.regions);
	for (let index = 0; index < upstreams; index++) {
		add(`upstream-${index}`, `pool-${Math.floor(index / site.instancesPerPool)}`, InstanceRole.Upstream, index);
	}

	for (let index = 0; index < Math.ceil(site.workers / site.regions); index++) {
		add(`worker-${index}`, `workers-${index % site.workerPools}`, InstanceRole.Worker, upstreams + index);
	}

	return {
		instances, random, unavailableUntil: new Map(), drainEndsAt: new Map(), now: 0,
	};
};

const createRules = (site: Site, policy: MeasuredPolicy, region: Region): FleetRules => {
	const sizes = new Map<string, number>();
	for (const {pool} of region.instances.values()) {
		sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
	}

	const {zonesAtOnceFraction} = deriveSettings(site.weights);
	return {
		pools: Object.fromEntries([...sizes].map(([pool, size]) => [pool, {maximumUnavailable: Math.max(1, Math.floor(size / 8)), minimumInstances: 0}])),
		maintenance: {
			periodDays: 21, enabled: true, maximumUnavailablePerRack: 1, maximumUnavailablePerZone: policy.drainsSequentially ? 1 : 4,
		},
		maximumZonesAtOnce: policy.drainsSequentially ? 1 : countZonesAtOnce(site.waveZones, zonesAtOnceFraction),
		maximumPlannedSteps: 32,
		failedRebootsToStop: 2,
		timing: defaultTiming,
	};
};

const isDown = (region: Region, instance: string) => (region.unavailableUntil.get(instance) ?? 0) > region.now;

const buildView = (region: Region): FleetView => ({
	self,
	instances: new Map([...region.instances].filter(([instance]) => !isDown(region, instance))),
	entryInstances: [self],
	confirmations: [{identity: self, fleetRevision: Number.MAX_SAFE_INTEGER, busyInstances: new Set([...region.drainEndsAt].filter(([, at]) => at > region.now).map(([instance]) => instance))}],
	wantedMoves: [],
	isProvenGone: () => false,
	hasNoWorkLeft: () => false,
	isHealthy: () => true,
	hasRunningTasks: () => false,
});

const failInstances = (region: Region) => {
	const count = region.random.poisson(failuresPerInstanceDay * region.instances.size * tickMilliseconds / 86_400_000);
	const names = [...region.instances.keys()];
	for (let index = 0; index < count; index++) {
		region.unavailableUntil.set(names[region.random.uniformInteger(names.length)] ?? '', region.now + (60_000 * region.random.uniformBetween(10, 60)));
	}

	return count;
};

/** Draws the duration of each new drain, which lasts as long as its longest request or job checkpoint, and returns the steps that reboot. */
const recordDrainTimes = (region: Region, state: FleetState) => {
	for (const step of state.steps) {
		if (step.phase === StepPhase.Draining && !region.drainEndsAt.has(step.instance)) {
			region.drainEndsAt.set(step.instance, region.now + (1000 * region.random.uniformBetween(5, 40)));
		}
	}

	return state.steps.filter(step => step.phase === StepPhase.Rebooting);
};

const reboot = (region: Region, instance: string) => {
	const record = region.instances.get(instance);
	if (record) {
		region.instances.set(instance, {...record, incarnation: `${record.incarnation}+`});
		const minutes = region.random.uniform() < failedRebootFraction ? region.random.uniformBetween(30, 90) : region.random.uniformBetween(3, 7);
		region.unavailableUntil.set(instance, region.now + (60_000 * minutes));
	}
};

const isFinished = (region: Region, state: FleetState): boolean => {
	const members = Object.values(state.members);
	return members.length === region.instances.size && members.every(member => member.maintainedAt > 0);
};

const proposeTimed = ({region, state, rules, times}: {region: Region; state: FleetState; rules: FleetRules; times: TickTimes}): FleetState | undefined => {
	const view = buildView(region);
	return times.measure(() => proposeNextState({
		state, view, rules, now: startWallMilliseconds + region.now,
	}));
};

export const runWave = (site: Site, policy: MeasuredPolicy, seed: number, times: TickTimes): WaveFigures => {
	const region = createRegion(site, createRandom(seed));
	const rules = createRules(site, policy, region);
	let state = createEmptyState();
	let writes = 0;
	let failures = 0;
	const applyWrite = (next: FleetState | undefined) => {
		writes += next ? 1 : 0;
		state = next ?? state;
	};

	while (!isFinished(region, state) && region.now < maximumWaveMilliseconds) {
		failures += failInstances(region);
		applyWrite(proposeTimed({
			region, state, rules, times,
		}));
		for (const {instance} of recordDrainTimes(region, state)) {
			reboot(region, instance);
			applyWrite(completeAction({
				state, self, instance, now: startWallMilliseconds + region.now,
			}));
		}

		region.now += tickMilliseconds;
	}

	return {
		rollOutHours: region.now / 3_600_000, writes, failures, largestValueBytes: JSON.stringify(state).length,
	};
};

