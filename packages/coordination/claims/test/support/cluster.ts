/** Claims on a simulated fleet, with callers that repeat keys, and a record of what was sent and told. */
import {createSession} from '@turmericbay/membership';
import {createFleet, createSimulation} from '@turmericbay/membership/testing';
import type {Fleet, Member, Simulation} from '@turmericbay/membership/testing';
import {Outcome, problemKinds, Settlement} from '@turmericbay/types';
import {createClaims} from '../../src/index.js';
import type {Claims} from '../../src/index.js';

export type Told = {readonly key: string; readonly outcome: Outcome | 'granted'; readonly code: string; readonly at: number};

export type Cluster = {
	readonly simulation: Simulation;
	readonly fleet: Fleet<Claims>;
	/** Attempts that reached an upstream, by key. */
	readonly sent: Map<string, Array<{readonly startedAt: number; readonly at: number}>>;
	readonly told: Told[];
	/** Breaches of a guarantee, in words. */
	readonly breaches: string[];
	/** One caller's attempt at an instance; `fate` says how a granted one ends. */
	attempt(position: number, key: string, fate?: Settlement): void;
	newKey(ageMilliseconds?: number): string;
	/** Partitions that a living owner serves. */
	served(): number[];
};

const createClaimsPart = (simulation: Simulation, member: Omit<Member<Claims>, 'component'>, fleet: Fleet<Claims>): Claims => {
	const session = createSession({store: member.store, clock: simulation.clock, identity: member.identity});
	const part = createClaims({
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
		part.tick();
	});
	return part;
};

const keyOf = (simulation: Simulation, ageMilliseconds: number) => {
	const time = Math.floor(simulation.clock.wallMilliseconds() - ageMilliseconds).toString(16).padStart(12, '0');
	const random = Array.from({length: 18}, () => Math.floor(simulation.random() * 16).toString(16)).join('');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-8${random.slice(3, 6)}-${random.slice(6)}`;
};

/** Judges each event against what happened before it. */
const createJudge = (simulation: Simulation) => {
	const sent: Cluster['sent'] = new Map();
	const told: Told[] = [];
	const breaches: string[] = [];
	const now = () => simulation.clock.monotonicMilliseconds();
	return {
		sent,
		told,
		breaches,
		noteSent(key: string, startedAt: number) {
			const sends = sent.get(key) ?? [];
			sent.set(key, [...sends, {startedAt, at: now()}]);
			if (sends.length > 0) {
				breaches.push(`${key} was sent twice`);
			}

			if (told.some(entry => entry.key === key && entry.outcome === Outcome.NotRun && entry.at > startedAt)) {
				breaches.push(`${key} was told not-run and an earlier attempt ran`);
			}
		},
		noteTold(key: string, code: string, outcome: Told['outcome']) {
			told.push({
				key, code, outcome, at: now(),
			});
			const sends = sent.get(key)?.length ?? 0;
			if (outcome === Outcome.NotRun && sends > 0) {
				breaches.push(`${key} was told ${code} not-run after it was sent`);
			}

			if (outcome === Outcome.Run && sends === 0) {
				breaches.push(`${key} was told ${code} run although nothing was sent`);
			}
		},
	};
};

export const createCluster = (options: {
	readonly seed: number; readonly count: number; readonly zones: readonly string[];
}): Cluster => {
	const simulation = createSimulation(options.seed);
	const judge = createJudge(simulation);
	const fleet = createFleet<Claims>({
		simulation,
		...options,
		createComponent: (member, created) => createClaimsPart(simulation, member, created),
	});

	const carryOut = (request: {
		readonly member: Member<Claims>; readonly key: string; readonly attempt: string; readonly startedAt: number; readonly fate: Settlement;
	}) => {
		const {member, key, attempt, startedAt, fate} = request;
		const {process, component} = member;
		const settle = () => {
			component.settle({
				key, team: 'team', queue: 'queue', attempt, settlement: fate,
			});
		};

		// The request waits between grant and sending, as a paused process would.
		process.after(simulation.random() * 300, () => {
			if (fate === Settlement.NotRun) {
				settle();
				judge.noteTold(key, 'settled', Outcome.NotRun);
				return;
			}

			judge.noteSent(key, startedAt);
			process.after(simulation.random() * 500, settle);
		});
	};

	return {
		simulation,
		fleet,
		sent: judge.sent,
		told: judge.told,
		breaches: judge.breaches,
		newKey: (ageMilliseconds = 0) => keyOf(simulation, ageMilliseconds),
		attempt(position, key, fate = Settlement.Run) {
			const member = fleet.members[position]!;
			if (!member.process.isAlive() || member.process.isPaused()) {
				return;
			}

			const startedAt = simulation.clock.monotonicMilliseconds();
			void member.component.claim({
				key, team: 'team', queue: 'queue', fingerprint: new Uint8Array(32),
			}).then(decision => {
				if (decision.type === 'granted') {
					judge.noteTold(key, 'granted', 'granted');
					carryOut({
						member, key, attempt: decision.attempt, startedAt, fate,
					});
				} else {
					const {code} = decision.problem;
					judge.noteTold(key, code, problemKinds[code].outcome);
				}
			});
		},
		served: () => fleet.members
			.filter(({process}) => process.isAlive() && !process.isPaused())
			.flatMap(({component}) => [...component.status().serving]),
	};
};
