/** Data for the status calls of the operator service, collected from this instance and its peers. */
import {create} from '@bufbuild/protobuf';
import {FailureCause, StepPhase} from '@turmericbay/fleet-ledger';
import type {FleetState} from '@turmericbay/fleet-ledger';
import type {MaintenanceReport, StatusSource, TeamReport} from '@turmericbay/operator-service';
import {ExchangeRequestSchema} from '@turmericbay/peer-protocol';
import type {Knowledge, TeamLoad} from '@turmericbay/peer-protocol';
import type {Settings} from '@turmericbay/settings';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {Clock, InstanceId} from '@turmericbay/types';
import type {EntryInstanceComponents} from './entry-instance.js';

type TeamCounts = Pick<TeamLoad, 'team' | 'running' | 'queued' | 'granted'>;

/** Counts of this instance, without the teams for which all are zero. */
export const listLocalTeams = ({gateway, grants}: Pick<EntryInstanceComponents, 'gateway' | 'grants'>): readonly TeamCounts[] => gateway.status().teams
	.map(({team, running, queued}) => ({
		team, running, queued, granted: grants.units(team).held,
	}))
	.filter(({running, queued, granted}) => running + queued + granted > 0);

const millisecondsPerDay = 86_400_000;

const describeBlockedReason = (state: FleetState): string => {
	const failedReboots = state.failures.filter(({cause}) => cause === FailureCause.Maintenance);
	if (failedReboots.length > 0) {
		return `${failedReboots.length} instances did not come back after their reboot`;
	}

	return state.failures.length > 0 ? `${state.failures.length} failed instances draw on the budgets` : '';
};

const describeMaintenance = (state: FleetState | undefined, options: {readonly periodDays: number; readonly wallMilliseconds: number}): MaintenanceReport => {
	if (state === undefined) {
		return {
			steps: [], failedInstances: [], done: 0, remaining: 0, blockedReason: 'the fleet ledger is not known',
		};
	}

	const periodStart = options.wallMilliseconds - (options.periodDays * millisecondsPerDay);
	const maintained = Object.values(state.members).map(({maintainedAt}) => maintainedAt).filter(at => at > periodStart);
	const remaining = Object.keys(state.members).length - maintained.length;
	const elapsed = maintained.length < 2 ? undefined : Math.max(...maintained) - Math.min(...maintained);
	return {
		steps: state.steps.filter(({phase}) => phase !== StepPhase.Done).map(({instance, pool, phase}) => ({instance, pool, phase})),
		failedInstances: state.failures.map(({instance}) => instance),
		done: maintained.length,
		remaining,
		// Mean time between completed steps, multiplied by the remaining steps.
		estimatedSeconds: elapsed === undefined ? undefined : Math.round(elapsed / (maintained.length - 1) * remaining / 1000),
		blockedReason: describeBlockedReason(state),
	};
};

const sumTeamCounts = (countsByInstance: ReadonlyArray<readonly TeamCounts[]>): ReadonlyMap<string, TeamCounts> => {
	const sums = new Map<string, TeamCounts>();
	for (const {team, running, queued, granted} of countsByInstance.flat()) {
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
	readonly components: EntryInstanceComponents;
	readonly settings: Settings;
	readonly clock: Clock;
}): StatusSource => {
	const {components, settings, clock} = options;
	let peerTeams = new Map<InstanceId, readonly TeamCounts[]>();

	const refreshPeerTeams = async () => {
		const request = create(ExchangeRequestSchema, {wantsTeams: true});
		const results = await Promise.all(components.exchange.peers().map(async ({client, member}) => {
			const result = await client.call(async (service, callOptions) => service.exchange(request, callOptions));
			return result.isOk() ? [[member.instance, result.value.teams] as const] : [];
		}));
		peerTeams = new Map(results.flat());
	};

	const listKnowledge = (): readonly Knowledge[] => [
		components.getKnowledge(),
		...components.exchange.peers().filter(({reachable}) => reachable).flatMap(({knowledge}) => knowledge ?? []),
	];

	const sumPool = (pool: string, field: 'queued' | 'inFlight'): number => listKnowledge()
		.flatMap(({pools}) => pools)
		.filter(load => load.pool === pool)
		.reduce((sum, load) => sum + load[field], 0);

	return {
		refresh: refreshPeerTeams,
		entryInstances() {
			const local = components.documentWatch.status();
			return [
				{
					instance: settings.instance.id,
					zone: settings.instance.zone,
					reachable: true,
					documentVersion: local.version,
					platformReachable: local.platformReachable,
					confirmationAgeMilliseconds: local.confirmationAgeMilliseconds,
				},
				...components.exchange.peers().map(({member, reachable, knowledge}) => ({
					instance: member.instance,
					zone: member.zone,
					reachable,
					documentVersion: Number(knowledge?.documentVersion ?? 0n),
					platformReachable: reachable && knowledge?.platformReachable === true,
					// The age that an unreachable instance last reported is outdated.
					confirmationAgeMilliseconds: !reachable || knowledge?.confirmationAgeMs === undefined ? undefined : Number(knowledge.confirmationAgeMs),
				})),
			];
		},
		pools() {
			const records = components.fleet.routing.instances().filter(({role}) => role !== InstanceRole.Entry);
			return Object.keys(components.documentWatch.current()?.document.pools ?? {}).map(pool => {
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
			const sums = sumTeamCounts([listLocalTeams(components), ...peerTeams.values()]);
			const teams = Object.entries(components.documentWatch.current()?.document.teams ?? {});
			return teams.map(([team, {share, limit}]): TeamReport => {
				const {running = 0, queued = 0, granted = 0} = sums.get(team) ?? {};
				return {
					team, share, limit, granted, running, queued,
				};
			});
		},
		maintenance: () => describeMaintenance(components.fleet.ledger.state(), {
			periodDays: components.documentWatch.current()?.document.maintenance.periodDays ?? 0,
			wallMilliseconds: clock.wallMilliseconds(),
		}),
	};
};
