/** Fleet plan, configuration document and requests shared by the cases. */
import type {
	CallerResponse, FleetPlan, LoadReport, LoadSource,
} from '@turmericbay/demo';
import {createSeededRandom, createUuidV7, sendRequest} from '@turmericbay/demo';
import {createTeamKey} from '@turmericbay/document';

export enum Team {
	Booking = 'booking',
	/** Has a limit that some cases exceed. */
	Invoices = 'invoices',
}

export enum Queue {
	/** Needs no API key; requests may always be repeated. */
	Open = 'prices',
	/** Needs an API key; requests are repeated only with safe methods. */
	Authenticated = 'pickups',
	/** Needs an API key; requests may not be repeated. */
	NonRepeatable = 'billing',
}

export const invoicesLimit = 6;

const teamKeys = {[Team.Booking]: createTeamKey(), [Team.Invoices]: createTeamKey()};

export const presentedKeys: Readonly<Record<Team, string>> = {
	[Team.Booking]: teamKeys[Team.Booking].presentedKey,
	[Team.Invoices]: teamKeys[Team.Invoices].presentedKey,
};

const timeouts = {timeoutMilliseconds: 4000, maximumRunMilliseconds: 5000};

/** Initial document of each case; `overrides` adds or replaces teams. */
export const createDocument = (overrides: {readonly teams?: Record<string, unknown>} = {}): unknown => ({
	schemaVersion: 1,
	pools: {runners: {kind: 'upstream', maximumUnavailable: 2}},
	teams: {
		[Team.Booking]: {share: 2, limit: 200, keys: [teamKeys[Team.Booking].declaration]},
		[Team.Invoices]: {share: 1, limit: invoicesLimit, keys: [teamKeys[Team.Invoices].declaration]},
		...overrides.teams,
	},
	queues: {
		[Queue.Open]: {
			pool: 'runners', access: 'open', repeatability: 'always', ...timeouts,
		},
		[Queue.Authenticated]: {pool: 'runners', ...timeouts},
		[Queue.NonRepeatable]: {pool: 'runners', repeatability: 'never', ...timeouts},
	},
});

/** Two zones, each with two entry instances and three upstreams. */
export const standardPlan: FleetPlan = {
	zones: ['zone-a', 'zone-b'], entriesPerZone: 2, upstreamsPerZone: {runners: 3}, document: createDocument(),
};

const createSource = (queue: Queue, ratePerSecond: number): LoadSource => ({
	team: Team.Booking, presentedKey: presentedKeys[Team.Booking], queue, method: 'GET', ratePerSecond, withIdempotencyKey: true,
});

/** Load on all kinds of queues; every request has an idempotency key by which its runs are counted. */
export const createMixedSources = (ratePerSecond: number, runMilliseconds = 10): readonly LoadSource[] => [
	{...createSource(Queue.Open, ratePerSecond), presentedKey: undefined},
	createSource(Queue.Authenticated, ratePerSecond),
	{...createSource(Queue.NonRepeatable, ratePerSecond), method: 'POST' as const},
].map(source => ({...source, runMilliseconds}));

/** Formats the number of responses by class and problem code. */
export const describeResponses = (responses: readonly CallerResponse[]): string => {
	const counts = new Map<string, number>();
	for (const {type, code} of responses) {
		const name = code === '' ? type : `${type} ${code}`;
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return [...counts].map(([name, count]) => `${count} ${name}`).join(', ');
};

export const describeReport = ({sent, records}: LoadReport): string =>
	`${sent} sent: ${describeResponses(records.map(({response}) => response))}`;

export type NonRepeatableRequest = {readonly idempotencyKey: string; readonly body: string; readonly runMilliseconds: number};

export const createNonRepeatableRequests = (options: {readonly count: number; readonly seed: number; readonly runMilliseconds: number}): readonly NonRepeatableRequest[] => {
	const random = createSeededRandom(options.seed);
	return Array.from({length: options.count}, (_, index) => ({
		idempotencyKey: createUuidV7({wallMilliseconds: Date.now(), random}), body: `invoice ${index}`, runMilliseconds: options.runMilliseconds,
	}));
};

/** Sends a non-repeatable request to one entry instance. */
export const sendNonRepeatable = async (entryUrl: string, request: NonRepeatableRequest): Promise<CallerResponse> => sendRequest({
	entryUrl,
	queue: Queue.NonRepeatable,
	method: 'POST',
	path: `/charge?run=${request.runMilliseconds}&label=${Team.Booking}`,
	presentedKey: presentedKeys[Team.Booking],
	idempotencyKey: request.idempotencyKey,
	body: request.body,
	timeoutMilliseconds: 3000,
});
