/** What operators' status calls report, gathered from this instance and its peers. */
import {create} from '@bufbuild/protobuf';
import {FailureCause, StepPhase} from '@turmericbay/fleet-ledger';
import type {FleetState} from '@turmericbay/fleet-ledger';
import type {MaintenanceReport, StatusSource, TeamReport} from '@turmericbay/operator-service';
import {ExchangeRequestSchema} from '@turmericbay/peer-protocol';
import type {Knowledge, TeamLoad} from '@turmericbay/peer-protocol';
import type {Settings} from '@turmericbay/settings';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {Clock, InstanceId} from '@turmericbay/types';
import type {EntryInstanceParts} from './entry-instance.js';

type TeamFigures = Pick<TeamLoad, 'team' | 'running' | 'queued' | 'granted'>;

/** Teams with anything to tell at this instance. */
export const listOwnTeams = ({gateway, grants}: Pick<EntryInstanceParts, 'gateway' | 'grants'>): readonly TeamFigures[] => gateway.status().teams
	.map(({team, running, queued}) => ({
		team, running, queued, granted: grants.units(team).held,
	}))
	.filter(({running, queued, granted}) => running + queued + granted > 0);

const millisecondsPerDay = 86_400_000;

const describeBlock = (state: FleetState): string => {
	const lost = state.failures.filter(({cause}) => cause === FailureCause.Maintenance);
	if (lost.length > 0) {
		return `${lost.length} instances did not come back after their reboot`;
	}

	return state.failures.length > 0 ? `${state.failures.length} failed instances draw on the budgets` : '';
};

const describeMaintenance = (state: FleetState | undefined, options: {readonly periodDays: number; readonly wallMilliseconds: number}): MaintenanceReport => {
	if (state === undefined) {
		return {
			steps: [], failedInstances: [], done: 0, remaining: 0, blockedReason: 'the fleet ledger is not known',
		};
	}

	const due = options.wallMilliseconds - (options.periodDays * millisecondsPerDay);
	const maintained = Object.values(state.members).map(({maintainedAt}) => maintainedAt).filter(at => at > due);
	const remaining = Object.keys(state.members).length - maintained.length;
	const elapsed = maintained.length < 2 ? undefined : Math.max(...maintained) - Math.min(...maintained);
	return {
		steps: state.steps.filter(({phase}) => phase !== StepPhase.Done).map(({instance, pool, phase}) => ({instance, pool, phase})),
		failedInstances: state.failures.map(({instance}) => instance),
		done: maintained.length,
		remaining,
		// The mean gap between finished steps so far, times the steps that remain.
		estimatedSeconds: elapsed === undefined ? undefined : Math.round(elapsed / (maintained.length - 1) * remaining / 1000),
		blockedReason: describeBlock(state),
	};
};

const addFigures = (rows: ReadonlyArray<readonly TeamFigures[]>): ReadonlyMap<string, TeamFigures> => {
	const sums = new Map<string, TeamFigures>();
	for (const {team, running, queued, granted} of rows.flat()) {
		const sum = sums.get(team) ?? {
			team, running: 0, queued: 0, granted: 0,
		};
		sums.set(team, {
			team, running: sum.running + running, queued: sum.queued + queued, granted: sum.granted + granted,
		});
	}

	return sums;
};

export const createStatusSource = (options: {
	readonly parts: EntryInstanceParts;
	readonly settings: Settings;
	readonly clock: Clock;
}): StatusSource => {
	const {parts, settings, clock} = options;
	let peerTeams = new Map<InstanceId, readonly TeamFigures[]>();

	const askPeers = async () => {
		const request = create(ExchangeRequestSchema, {wantsTeams: true});
		const answers = await Promise.all(parts.exchange.rows().map(async ({client, member}) => {
			const answer = await client.call(async (service, callOptions) => service.exchange(request, callOptions));
			return answer.isOk() ? [[member.instance, answer.value.teams] as const] : [];
		}));
		peerTeams = new Map(answers.flat());
	};

	const listKnowledge = (): readonly Knowledge[] => [
		parts.describeKnowledge(),
		...parts.exchange.rows().filter(({reachable}) => reachable).flatMap(({knowledge}) => knowledge ?? []),
	];

	const sumPool = (pool: string, field: 'queued' | 'inFlight'): number => listKnowledge()
		.flatMap(({pools}) => pools)
		.filter(load => load.pool === pool)
		.reduce((sum, load) => sum + load[field], 0);

	return {
		refresh: askPeers,
		entryInstances() {
			const own = parts.documentWatch.status();
			return [
				{
					instance: settings.instance.id,
					zone: settings.instance.zone,
					reachable: true,
					documentVersion: own.version,
					platformReachable: own.platformReachable,
					confirmationAgeMilliseconds: own.confirmationAgeMilliseconds,
				},
				...parts.exchange.rows().map(({member, reachable, knowledge}) => ({
					instance: member.instance,
					zone: member.zone,
					reachable,
					documentVersion: Number(knowledge?.documentVersion ?? 0n),
					platformReachable: reachable && knowledge?.platformReachable === true,
					// What an unreachable instance said earlier is no longer true of it.
					confirmationAgeMilliseconds: !reachable || knowledge?.confirmationAgeMs === undefined ? undefined : Number(knowledge.confirmationAgeMs),
				})),
			];
		},
		pools() {
			const records = parts.fleet.routing.instances().filter(({role}) => role !== InstanceRole.Entry);
			return Object.keys(parts.documentWatch.current()?.document.pools ?? {}).map(pool => {
				const members = records.filter(record => record.pool === pool);
				return {
					pool,
					instances: members.length,
					available: members.filter(({state}) => state === InstanceState.Live).length,
					inFlight: sumPool(pool, 'inFlight'),
					queued: sumPool(pool, 'queued'),
				};
			});
		},
		teams() {
			const sums = addFigures([listOwnTeams(parts), ...peerTeams.values()]);
			const teams = Object.entries(parts.documentWatch.current()?.document.teams ?? {});
			return teams.map(([team, {share, limit}]): TeamReport => {
				const {running = 0, queued = 0, granted = 0} = sums.get(team) ?? {};
				return {
					team, share, limit, granted, running, queued,
				};
			});
		},
		maintenance: () => describeMaintenance(parts.fleet.ledger.state(), {
			periodDays: parts.documentWatch.current()?.document.maintenance.periodDays ?? 0,
			wallMilliseconds: clock.wallMilliseconds(),
		}),
	};
};
