/** Reviews a document before it is submitted: lists its changes and warns of likely mistakes. */
import type {PoolName, TeamName} from '@turmericbay/types';
import {
	ChangeKind, diffDocuments, DocumentSection, formatDocumentChange,
} from './diff.js';
import {QueueAccess} from './schema.js';
import type {ConfigurationDocument} from './schema.js';

/** Current state of the fleet; a team without an entry counts as idle, and a pool without an entry has an unknown size. */
export type ObservedFleet = {
	readonly runningByTeam: ReadonlyMap<TeamName, number>;
	readonly instancesByPool: ReadonlyMap<PoolName, number>;
};

export type DocumentReview = {
	readonly changes: readonly string[];
	readonly warnings: readonly string[];
};

type ReviewInput = {
	/** Undefined before the first document. */
	readonly current: ConfigurationDocument | undefined;
	readonly next: ConfigurationDocument;
	readonly observed: ObservedFleet;
};

/** Takes maintenance and policy from the document, so that a first document shows only additions. */
const createEmptyDocument = (document: ConfigurationDocument): ConfigurationDocument => ({
	...document, pools: {}, teams: {}, queues: {},
});

const warnAboutTeams = ({current, next, observed}: ReviewInput): readonly string[] => {
	const limitWarnings = Object.entries(next.teams).flatMap(([team, {limit}]) => {
		const running = observed.runningByTeam.get(team) ?? 0;
		return [
			...(limit === 0 ? [`team ${team}: its limit is 0, so it can run nothing`] : []),
			...(running > limit ? [`team ${team}: ${running} are running, more than the new limit ${limit}; they finish, and nothing new starts until fewer than ${limit} run`] : []),
		];
	});
	const removalWarnings = Object.entries(current?.teams ?? {}).flatMap(([team, {share, keys}]) => {
		const running = observed.runningByTeam.get(team) ?? 0;
		return Object.hasOwn(next.teams, team)
			? []
			: [`team ${team}: it is removed; its share of ${share} goes to the other teams, its ${keys.length} keys stop working and ${running} running requests finish`];
	});
	return [...limitWarnings, ...removalWarnings];
};

const warnAboutKeys = ({current, next}: ReviewInput): readonly string[] => Object.entries(current?.teams ?? {}).flatMap(([team, {keys}]) => {
	const nextHashes = new Map((Object.hasOwn(next.teams, team) ? next.teams[team]?.keys : undefined)?.map(key => [key.id, key.hash]));
	return Object.hasOwn(next.teams, team)
		? keys.filter(key => nextHashes.get(key.id) !== key.hash).map(key => `team ${team}: key ${key.id} stops working within seconds`)
		: [];
});

const warnAboutPools = ({current, next, observed}: ReviewInput): readonly string[] => {
	const sizeWarnings = Object.entries(next.pools).flatMap(([pool, {maximumUnavailable, minimumInstances}]) => {
		const instances = observed.instancesByPool.get(pool);
		if (instances === undefined) {
			return [];
		}

		return [
			...(instances <= maximumUnavailable ? [`pool ${pool}: it has ${instances} instances and lets ${maximumUnavailable} be out of service, so all can be out at once`] : []),
			...(instances < minimumInstances ? [`pool ${pool}: it has ${instances} instances, fewer than its minimum of ${minimumInstances}`] : []),
		];
	});
	const removalWarnings = Object.keys(current?.pools ?? {}).flatMap(pool => {
		const instances = observed.instancesByPool.get(pool) ?? 0;
		return Object.hasOwn(next.pools, pool) || instances === 0 ? [] : [`pool ${pool}: it is removed but has ${instances} instances, which get no more work`];
	});
	return [...sizeWarnings, ...removalWarnings];
};

const warnAboutQueues = ({current, next}: ReviewInput): readonly string[] => {
	const hasKey = (team: TeamName) => Object.hasOwn(next.teams, team) && (next.teams[team]?.keys.length ?? 0) > 0;
	const accessWarnings = Object.entries(next.queues).flatMap(([queue, {access, teams}]) => {
		if (access === QueueAccess.Open) {
			const before = current !== undefined && Object.hasOwn(current.queues, queue) ? current.queues[queue] : undefined;
			return before?.access === QueueAccess.Team ? [`queue ${queue}: it becomes open to everybody without a key or a team limit`] : [];
		}

		const allowed = teams.length > 0 ? teams : Object.keys(next.teams);
		if (!allowed.some(team => hasKey(team))) {
			return [`queue ${queue}: none of its teams has a key, so nobody can use it`];
		}

		return teams.filter(team => !hasKey(team)).map(team => `queue ${queue}: its team ${team} has no key`);
	});
	const removalWarnings = Object.keys(current?.queues ?? {})
		.filter(queue => !Object.hasOwn(next.queues, queue))
		.map(queue => `queue ${queue}: it is removed, so its callers get status 404`);
	return [...accessWarnings, ...removalWarnings];
};

const isAddition = (kind: ChangeKind, section: DocumentSection): boolean => kind === ChangeKind.Added && section !== DocumentSection.Maintenance && section !== DocumentSection.Policy;

/** Lists every change, with removals and modifications before additions, and a warning for each likely mistake. */
export const reviewDocument = (input: ReviewInput): DocumentReview => {
	const {current, next} = input;
	const changes = diffDocuments({from: current ?? createEmptyDocument(next), to: next});
	const additions = changes.filter(({kind, section}) => isAddition(kind, section));
	const others = changes.filter(({kind, section}) => !isAddition(kind, section));
	return {
		changes: [...others, ...additions].map(change => formatDocumentChange(change)),
		warnings: [...warnAboutPools(input), ...warnAboutTeams(input), ...warnAboutKeys(input), ...warnAboutQueues(input)],
	};
};
