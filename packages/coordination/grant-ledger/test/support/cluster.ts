/** Grant holders on a simulated fleet, with requests that acquire a unit, wait, run and release it. */
import {createFleet, createSimulation} from '@turmericbay/membership/testing';
import type {Fleet, Simulation} from '@turmericbay/membership/testing';
import {createGrantHolder} from '../../src/index.js';
import type {GrantHolder, TeamLimit} from '../../src/index.js';

export const longestRunMilliseconds = 5000;

export type Cluster = {
	readonly simulation: Simulation;
	readonly fleet: Fleet<GrantHolder>;
	/** Requests running at upstreams, by team; includes those of killed senders. */
	readonly running: Map<string, number>;
	/** Highest number of requests running at the same time, by team. */
	readonly peakRunning: Map<string, number>;
	limits: ReadonlyMap<string, TeamLimit>;
	version: number;
	setLimits(limits: Record<string, number>): void;
	/** Runs a request at an instance; false if it got no unit. */
	request(position: number, team: string): boolean;
	acquired(team: string): number;
};

const addTo = (counts: Map<string, number>, team: string, change: number) => {
	const count = (counts.get(team) ?? 0) + change;
	counts.set(team, count);
	return count;
};

export const createCluster = (options: {
	readonly seed: number;
	readonly count: number;
	readonly zones: readonly string[];
	readonly limits: Record<string, number>;
}): Cluster => {
	const simulation = createSimulation(options.seed);
	const {random} = simulation;
	const toLimits = (limits: Record<string, number>) => new Map(Object.entries(limits).map(([team, limit]) =>
		[team, {limit, longestRunMilliseconds}]));
	const state = {limits: toLimits(options.limits), version: 1};
	const running = new Map<string, number>();
	const peakRunning = new Map<string, number>();

	const fleet = createFleet<GrantHolder>({
		simulation,
		zones: options.zones,
		count: options.count,
		createComponent(member, createdFleet) {
			const holder = createGrantHolder({
				...member,
				clock: simulation.clock,
				random,
				peer: {
					async requestTransfer({to, team, units}) {
						try {
							return await createdFleet.callPeer({
								from: member,
								to,
								handle: async component => component.handleTransfer({team, units, holder: member.identity}),
							});
						} catch {
							return 0;
						}
					},
				},
			});
			member.process.repeat(50, () => {
				holder.setLimits(state);
				holder.tick();
			});
			return holder;
		},
	});

	const run = (position: number, team: string) => {
		const {process, component} = fleet.members[position]!;
		// Delays the send after the unit was acquired, as a pause of the process would.
		process.after(random() * 200, () => {
			const now = addTo(running, team, 1);
			peakRunning.set(team, Math.max(peakRunning.get(team) ?? 0, now));
			simulation.after(random() * longestRunMilliseconds, () => {
				addTo(running, team, -1);
				process.after(random() * 5, () => {
					component.release({team});
				});
			});
		});
	};

	return {
		simulation,
		fleet,
		running,
		peakRunning,
		get limits() {
			return state.limits;
		},
		get version() {
			return state.version;
		},
		setLimits(limits) {
			state.limits = toLimits(limits);
			state.version += 1;
		},
		request(position, team) {
			const {process, component} = fleet.members[position]!;
			if (!process.isAlive() || process.isPaused() || !component.tryAcquire({team})) {
				return false;
			}

			run(position, team);
			return true;
		},
		acquired: team => fleet.members.filter(({process}) => process.isAlive())
			.reduce((sum, {component}) => sum + component.units(team).inUse, 0),
	};
};
