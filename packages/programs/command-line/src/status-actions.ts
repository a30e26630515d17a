/** Implementation of the status commands, separate from flags and output. */
import type {operatorMessages, OperatorServiceClient} from '@turmericbay/peer-protocol';
import {toReadFailure} from './connection-failures.js';
import {succeed} from './outcome.js';
import type {CommandOutcome} from './outcome.js';
import {formatTable} from './table.js';

const formatYesNo = (value: boolean): string => value ? 'yes' : 'no';

const formatAge = (milliseconds: bigint | undefined): string => milliseconds === undefined ? 'never' : `${(Number(milliseconds) / 1000).toFixed(1)} s`;

const toEntryData = ({instance, zone, reachable, documentVersion, platformReachable, confirmationAgeMs}: operatorMessages.EntryInstanceStatus) => ({
	instance,
	zone,
	reachable,
	documentVersion: Number(documentVersion),
	platformReachable,
	...(confirmationAgeMs === undefined ? {} : {confirmationAgeMilliseconds: Number(confirmationAgeMs)}),
});

const toPoolData = ({pool, instances, available, inFlight, queued}: operatorMessages.PoolStatus) => ({
	pool, instances, available, inFlight, queued,
});

const toTeamData = ({team, share, limit, granted, running, queued}: operatorMessages.TeamStatus) => ({
	team, share, limit, granted, running, queued,
});

const formatStatus = ({entryInstances, pools, teams, documentFault}: operatorMessages.GetStatusResponse): string => [
	...(documentFault === '' ? [] : [`The newest stored document is not in force: ${documentFault}`]),
	formatTable(
		['ENTRY INSTANCE', 'ZONE', 'REACHABLE', 'VERSION', 'PLATFORM', 'CONFIRMED'],
		entryInstances.map(({instance, zone, reachable, documentVersion, platformReachable, confirmationAgeMs}) => [
			instance, zone, formatYesNo(reachable), String(documentVersion), formatYesNo(platformReachable), formatAge(confirmationAgeMs),
		]),
	),
	formatTable(['POOL', 'INSTANCES', 'AVAILABLE', 'IN FLIGHT', 'QUEUED'], pools.map(pool => Object.values(toPoolData(pool)))),
	formatTable(['TEAM', 'SHARE', 'LIMIT', 'GRANTED', 'RUNNING', 'QUEUED'], teams.map(team => Object.values(toTeamData(team)))),
].join('\n\n');

export const showStatus = async (client: OperatorServiceClient): Promise<CommandOutcome> => {
	try {
		const status = await client.getStatus({});
		return succeed({
			text: formatStatus(status),
			data: {
				documentFault: status.documentFault,
				entryInstances: status.entryInstances.map(entry => toEntryData(entry)),
				pools: status.pools.map(pool => toPoolData(pool)),
				teams: status.teams.map(team => toTeamData(team)),
			},
		});
	} catch (error) {
		return toReadFailure(error);
	}
};

const formatEstimate = (seconds: number | undefined): string => seconds === undefined ? 'not known yet' : `${Math.ceil(seconds / 60)} min`;

export const showMaintenanceStatus = async (client: OperatorServiceClient): Promise<CommandOutcome> => {
	try {
		const {steps, failedInstances, done, remaining, estimatedSeconds, blockedReason} = await client.getMaintenanceStatus({});
		const rows = steps.map(({instance, pool, phase}) => ({instance, pool, phase}));
		return succeed({
			text: [
				`${done} done, ${remaining} remaining, estimated time left: ${formatEstimate(estimatedSeconds)}`,
				...(blockedReason === '' ? [] : [`blocked: ${blockedReason}`]),
				...(failedInstances.length === 0 ? [] : [`failed instances: ${failedInstances.join(', ')}`]),
				formatTable(['INSTANCE', 'POOL', 'PHASE'], rows.map(row => Object.values(row))),
			].join('\n'),
			data: {
				done, remaining, blockedReason, failedInstances, steps: rows, ...(estimatedSeconds === undefined ? {} : {estimatedSeconds}),
			},
		});
	} catch (error) {
		return toReadFailure(error);
	}
};
