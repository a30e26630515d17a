/** Derives the limit and the longest run time of each team from the document, for the grant ledger. */
import type {ConfigurationDocument} from '@turmericbay/document';
import type {TeamLimit} from '@turmericbay/grant-ledger';
import type {TeamName} from '@turmericbay/types';

export const listTeamLimits = ({teams, queues}: ConfigurationDocument): ReadonlyMap<TeamName, TeamLimit> => new Map(Object.entries(teams).map(([team, {limit}]) => {
	const runTimes = Object.values(queues)
		.filter(queue => queue.teams.length === 0 || queue.teams.includes(team))
		.map(queue => queue.maximumRunMilliseconds);
	return [team, {limit, longestRunMilliseconds: Math.max(0, ...runTimes)}];
}));
