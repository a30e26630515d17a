/** Simulated fleet whose entry instances run membership sessions, team limit grants and claims. */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {createClaims} from '@turmericbay/claims';
import type {Claims} from '@turmericbay/claims';
import {createGrantHolder} from '@turmericbay/grant-ledger';
import type {GrantHolder, TeamLimit} from '@turmericbay/grant-ledger';
import {createSession} from '@turmericbay/membership';
import {createFleet, createSimulation} from '@turmericbay/membership/testing';
import type {Fleet, Member, Simulation} from '@turmericbay/membership/testing';

export type Component = {readonly grants: GrantHolder; readonly claims: Claims};

export type FleetSize = {readonly instances: number; readonly zones: number; readonly teams: number};

export type BenchmarkFleet = {
	readonly size: FleetSize;
	readonly simulation: Simulation;
	readonly fleet: Fleet<Component>;
	readonly teams: readonly string[];
	readonly limitPerTeam: number;
	/** Durations of ticks on the real clock. */
	readonly grantTickMicroseconds: Histogram;
	readonly claimTickMicroseconds: Histogram;
};

export const longestRunMilliseconds = 30_000;
/** Units of each team's limit, which the entry instances share. */
const limitPerTeam = 48;

/** Resolves with the fallback if the call to the peer fails. */
const withFallback = async <T>(response: Promise<T>, fallback: T): Promise<T> => {
	try {
		return await response;
	} catch {
		return fallback;
	}
};

const timeTick = (histogram: Histogram, tick: () => void) => {
	const start = performance.now();
	tick();
	histogram.recordValue(Math.max(1, Math.round((performance.now() - start) * 1000)));
};

const createBenchmarkComponent = (simulation: Simulation, member: Omit<Member<Component>, 'component'>, fleet: Fleet<Component>): Component & {session: ReturnType<typeof createSession>} => {
	const common = {...member, clock: simulation.clock, random: simulation.random};
	const session = createSession(common);
	return {
		session,
		grants: createGrantHolder({
			...common,
			peer: {
				requestTransfer: async ({to, team, units}) => withFallback(fleet.callPeer({
					from: member, to, handle: async ({grants}) => grants.handleTransfer({team, units, holder: member.identity}),
				}), 0),
			},
		}),
		claims: createClaims({
			...common,
			session,
			peer: {
				claim: async ({to, message}) => withFallback(fleet.callPeer({
					from: member, to, handle: async ({claims}) => claims.handleClaim(message),
				}), undefined),
				settle: async ({to, message}) => withFallback(fleet.callPeer({
					from: member, to, handle: async ({claims}) => claims.handleSettle(message),
				}), false),
			},
		}),
	};
};

export const createBenchmarkFleet = (size: FleetSize, seed: number): BenchmarkFleet => {
	const simulation = createSimulation(seed);
	const teams = Array.from({length: size.teams}, (_, index) => `team-${index}`);
	const limits: ReadonlyMap<string, TeamLimit> = new Map(teams.map(team => [team, {limit: limitPerTeam, longestRunMilliseconds}]));
	const grantTickMicroseconds = build();
	const claimTickMicroseconds = build();
	const fleet = createFleet<Component>({
		simulation,
		zones: Array.from({length: size.zones}, (_, index) => `zone-${index}`),
		count: size.instances,
		createComponent(member, created) {
			const component = createBenchmarkComponent(simulation, member, created);
			component.grants.setLimits({version: 1, limits});
			member.process.repeat(500, () => {
				component.session.tick();
			});
			member.process.repeat(50, () => {
				timeTick(grantTickMicroseconds, () => {
					component.grants.tick();
				});
			});
			member.process.repeat(20, () => {
				timeTick(claimTickMicroseconds, () => {
					component.claims.tick();
				});
			});
			return component;
		},
	});
	return {
		size, simulation, fleet, teams, limitPerTeam, grantTickMicroseconds, claimTickMicroseconds,
	};
};
