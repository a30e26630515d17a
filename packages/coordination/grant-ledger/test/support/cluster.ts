/** Grant holders on a simulated fleet, with requests that acquire, wait, run and release. */
import {createFleet, createSimulation} from '@turmericbay/membership/testing';
import type {Fleet, Simulation} from '@turmericbay/membership/testing';
import {createGrantHolder} from '../../src/index.js';
import type {GrantHolder, TeamLimit} from '../../src/index.js';

export const longestRunMilliseconds = 5000;

export type Cluster = {
	readonly simulation: Simulation;
	readonly fleet: Fleet<GrantHolder>;
	/** Requests at upstreams now, by team; counts those of killed senders too. */
	readonly running: Map<string, number>;
	/** Highest number running at a time, by team. */
	readonly highest: Map<string, number>;
	limits: ReadonlyMap<string, TeamLimit>;
	version: number;
	declare(limits: Record<string, number>): void;
	/** Lets one instance try to run one request; false if it got no unit. */
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
	const highest = new Map<string, number>();

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
								handle: async part => part.handleTransfer({team, units, holder: member.identity}),
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
		// The request waits between check and sending, as a paused process would.
		process.after(random() * 200, () => {
			const now = addTo(running, team, 1);
			highest.set(team, Math.max(highest.get(team) ?? 0, now));
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
		highest,
		get limits() {
			return state.limits;
		},
		get version() {
			return state.version;
		},
		declare(limits) {
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
