/** The configuration document of the demo: two teams, two queues, two pools. */
import {createTeamKey} from '@turmericbay/document';

export type DemoDocument = {
	readonly document: unknown;
	/** API key by team, as callers present it. */
	readonly keys: Readonly<Record<string, string>>;
};

export const demoPools = ['pickups', 'invoices'] as const;

export const createDemoDocument = (): DemoDocument => {
	const franchise = createTeamKey();
	const stables = createTeamKey();
	return {
		keys: {franchise: franchise.presentedKey, stables: stables.presentedKey},
		document: {
			schemaVersion: 1,
			pools: {
				pickups: {kind: 'upstream', slotsPerInstance: 8, maximumUnavailable: 1},
				invoices: {kind: 'upstream', slotsPerInstance: 8, maximumUnavailable: 1},
			},
			teams: {
				franchise: {share: 3, limit: 60, keys: [franchise.declaration]},
				stables: {share: 1, limit: 30, keys: [stables.declaration]},
			},
			queues: {
				'book-pickup': {pool: 'pickups'},
				'issue-invoice': {
					pool: 'invoices', teams: ['franchise'], repeatability: 'never', maximumRunMilliseconds: 5000,
				},
			},
			maintenance: {enabled: true, maximumUnavailablePerRack: 1, maximumUnavailablePerZone: 2},
		},
	};
};
