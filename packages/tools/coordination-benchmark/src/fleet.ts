/** A simulated fleet whose members run the session, the grants and the claims. */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {createClaims} from '@turmericbay/claims';
import type {Claims} from '@turmericbay/claims';
import {createGrantHolder} from '@turmericbay/grant-ledger';
import type {GrantHolder, TeamLimit} from '@turmericbay/grant-ledger';
import {createSession} from '@turmericbay/membership';
import {createFleet, createSimulation} from '@turmericbay/membership/testing';
import type {Fleet, Member, Simulation} from '@turmericbay/membership/testing';

export type Part = {readonly grants: GrantHolder; readonly claims: Claims};

export type Size = {readonly instances: number; readonly zones: number; readonly teams: number};

export type BenchmarkFleet = {
	readonly size: Size;
	readonly simulation: Simulation;
	readonly fleet: Fleet<Part>;
	readonly teams: readonly string[];
	readonly limit: number;
	/** Microseconds per tick on the real clock. */
	readonly grantTicks: Histogram;
	readonly claimTicks: Histogram;
};

export const longestRunMilliseconds = 30_000;
/** Slots of the fleet shared by the teams; the same number for each team. */
const limitPerTeam = 48;

/** An answer that stands for "no" if the peer cannot be reached. */
const orElse = async <T>(answer: Promise<T>, otherwise: T): Promise<T> => {
	try {
		return await answer;
	} catch {
		return otherwise;
	}
};

const timeTick = (histogram: Histogram, tick: () => void) => {
	const start = performance.now();
	tick();
	histogram.recordValue(Math.max(1, Math.round((performance.now() - start) * 1000)));
};

const createPart = (simulation: Simulation, member: Omit<Member<Part>, 'component'>, fleet: Fleet<Part>): Part & {session: ReturnType<typeof createSession>} => {
	const common = {...member, clock: simulation.clock, random: simulation.random};
	const session = createSession(common);
	return {
		session,
		grants: createGrantHolder({
			...common,
			peer: {
				requestTransfer: async ({to, team, units}) => orElse(fleet.callPeer({
					from: member, to, handle: async ({grants}) => grants.handleTransfer({team, units, holder: member.identity}),
				}), 0),
			},
		}),
		claims: createClaims({
			...common,
			session,
			peer: {
				claim: async ({to, message}) => orElse(fleet.callPeer({
					from: member, to, handle: async ({claims}) => claims.handleClaim(message),
				}), undefined),
				settle: async ({to, message}) => orElse(fleet.callPeer({
					from: member, to, handle: async ({claims}) => claims.handleSettle(message),
				}), false),
			},
		}),
	};
};

export const createBenchmarkFleet = (size: Size, seed: number): BenchmarkFleet => {
	const simulation = createSimulation(seed);
	const teams = Array.from({length: size.teams}, (_, index) => `team-${index}`);
	const limits: ReadonlyMap<string, TeamLimit> = new Map(teams.map(team => [team, {limit: limitPerTeam, longestRunMilliseconds}]));
	const grantTicks = build();
	const claimTicks = build();
	const fleet = createFleet<Part>({
		simulation,
		zones: Array.from({length: size.zones}, (_, index) => `zone-${index}`),
		count: size.instances,
		createComponent(member, created) {
			const part = createPart(simulation, member, created);
			part.grants.setLimits({version: 1, limits});
			member.process.repeat(500, () => {
				part.session.tick();
			});
			member.process.repeat(50, () => {
				timeTick(grantTicks, () => {
					part.grants.tick();
				});
			});
			member.process.repeat(20, () => {
				timeTick(claimTicks, () => {
					part.claims.tick();
				});
			});
			return part;
		},
	});
	return {
		size, simulation, fleet, teams, limit: limitPerTeam, grantTicks, claimTicks,
	};
};
