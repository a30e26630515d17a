/** Claims on a simulated fleet, with callers that repeat keys. Checks each send and each answer against the guarantees. */
import {createSession} from '@turmericbay/membership';
import {createFleet, createSimulation} from '@turmericbay/membership/testing';
import type {Fleet, Member, Simulation} from '@turmericbay/membership/testing';
import {Outcome, problemKinds, Settlement} from '@turmericbay/types';
import {createClaims} from '../../src/index.js';
import type {Claims} from '../../src/index.js';

export type CallerResponse = {readonly key: string; readonly outcome: Outcome | 'granted'; readonly code: string; readonly at: number};

export type Cluster = {
	readonly simulation: Simulation;
	readonly fleet: Fleet<Claims>;
	/** Attempts that reached an upstream, by key. */
	readonly sent: Map<string, Array<{readonly startedAt: number; readonly at: number}>>;
	readonly responses: CallerResponse[];
	/** Descriptions of violated guarantees. */
	readonly violations: string[];
	/** Sends a request to an instance; `settlement` is the outcome if it is granted. */
	attempt(position: number, key: string, settlement?: Settlement): void;
	newKey(ageMilliseconds?: number): string;
	/** Partitions served by a running process; one that two processes serve appears twice. */
	served(): number[];
};

const createClaimsComponent = (simulation: Simulation, member: Omit<Member<Claims>, 'component'>, fleet: Fleet<Claims>): Claims => {
	const session = createSession({store: member.store, clock: simulation.clock, identity: member.identity});
	const claims = createClaims({
		...member,
		clock: simulation.clock,
		random: simulation.random,
		session,
		peer: {
			async claim({to, message}) {
				try {
					return await fleet.callPeer({from: member, to, handle: async peer => peer.handleClaim(message)});
				} catch {
					return undefined;
				}
			},
			async settle({to, message}) {
				try {
					return await fleet.callPeer({from: member, to, handle: async peer => peer.handleSettle(message)});
				} catch {
					return false;
				}
			},
		},
	});
	member.process.repeat(500, () => {
		session.tick();
	});
	member.process.repeat(20, () => {
		claims.tick();
	});
	return claims;
};

const keyOf = (simulation: Simulation, ageMilliseconds: number) => {
	const time = Math.floor(simulation.clock.wallMilliseconds() - ageMilliseconds).toString(16).padStart(12, '0');
	const random = Array.from({length: 18}, () => Math.floor(simulation.random() * 16).toString(16)).join('');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-8${random.slice(3, 6)}-${random.slice(6)}`;
};

/** Checks each send and each answer against the earlier ones. */
const createInvariantChecker = (simulation: Simulation) => {
	const sent: Cluster['sent'] = new Map();
	const responses: CallerResponse[] = [];
	const violations: string[] = [];
	const now = () => simulation.clock.monotonicMilliseconds();
	return {
		sent,
		responses,
		violations,
		recordSend(key: string, startedAt: number) {
			const sends = sent.get(key) ?? [];
			sent.set(key, [...sends, {startedAt, at: now()}]);
			if (sends.length > 0) {
				violations.push(`${key} was sent twice`);
			}

			if (responses.some(entry => entry.key === key && entry.outcome === Outcome.NotRun && entry.at > startedAt)) {
				violations.push(`${key} was answered not-run and an attempt that began before it was sent`);
			}
		},
		recordResponse(key: string, code: string, outcome: CallerResponse['outcome']) {
			responses.push({
				key, code, outcome, at: now(),
			});
			const sends = sent.get(key)?.length ?? 0;
			if (outcome === Outcome.NotRun && sends > 0) {
				violations.push(`${key} was answered ${code} not-run after it was sent`);
			}

			if (outcome === Outcome.Run && sends === 0) {
				violations.push(`${key} was answered ${code} run although nothing was sent`);
			}
		},
	};
};

export const createCluster = (options: {
	readonly seed: number; readonly count: number; readonly zones: readonly string[];
}): Cluster => {
	const simulation = createSimulation(options.seed);
	const checker = createInvariantChecker(simulation);
	const fleet = createFleet<Claims>({
		simulation,
		...options,
		createComponent: (member, created) => createClaimsComponent(simulation, member, created),
	});

	const runGrantedAttempt = (request: {
		readonly member: Member<Claims>; readonly key: string; readonly attempt: string; readonly startedAt: number; readonly settlement: Settlement;
	}) => {
		const {member, key, attempt, startedAt, settlement} = request;
		const {process, component} = member;
		const settle = () => {
			component.settle({
				key, team: 'team', queue: 'queue', attempt, settlement,
			});
		};

		// Delays the send after the grant, as a pause of the process would.
		process.after(simulation.random() * 300, () => {
			if (settlement === Settlement.NotRun) {
				settle();
				checker.recordResponse(key, 'settled', Outcome.NotRun);
				return;
			}

			checker.recordSend(key, startedAt);
			process.after(simulation.random() * 500, settle);
		});
	};

	return {
		simulation,
		fleet,
		sent: checker.sent,
		responses: checker.responses,
		violations: checker.violations,
		newKey: (ageMilliseconds = 0) => keyOf(simulation, ageMilliseconds),
		attempt(position, key, settlement = Settlement.Run) {
			const member = fleet.members[position]!;
			if (!member.process.isAlive() || member.process.isPaused()) {
				return;
			}

			const startedAt = simulation.clock.monotonicMilliseconds();
			void member.component.claim({
				key, team: 'team', queue: 'queue', fingerprint: new Uint8Array(32),
			}).then(decision => {
				if (decision.type === 'granted') {
					checker.recordResponse(key, 'granted', 'granted');
					runGrantedAttempt({
						member, key, attempt: decision.attempt, startedAt, settlement,
					});
				} else {
					const {code} = decision.problem;
					checker.recordResponse(key, code, problemKinds[code].outcome);
				}
			});
		},
		served: () => fleet.members
			.filter(({process}) => process.isAlive() && !process.isPaused())
			.flatMap(({component}) => [...component.status().serving]),
	};
};
