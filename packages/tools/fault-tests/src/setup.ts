/** Fleet, document and callers that the cases share. */
import type {
	CallerResponse, FleetPlan, LoadReport, LoadSource,
} from '@turmericbay/demo';
import {createSeededRandom, createUuidV7, sendRequest} from '@turmericbay/demo';
import {createTeamKey} from '@turmericbay/document';

export enum Team {
	Booking = 'booking',
	/** Has a limit that the cases exceed on purpose. */
	Invoices = 'invoices',
}

export enum Queue {
	/** Open to all, may always be repeated. */
	Open = 'prices',
	/** For teams; repeated only with safe methods. */
	Keyed = 'pickups',
	/** For teams; may not be repeated. */
	Once = 'billing',
}

export const invoicesLimit = 6;

const keys = {[Team.Booking]: createTeamKey(), [Team.Invoices]: createTeamKey()};

export const presentedKeys: Readonly<Record<Team, string>> = {
	[Team.Booking]: keys[Team.Booking].presentedKey,
	[Team.Invoices]: keys[Team.Invoices].presentedKey,
};

const timeouts = {timeoutMilliseconds: 4000, maximumRunMilliseconds: 5000};

/** The document that each case begins with; members are replaced by `changes`. */
export const createDocument = (changes: {readonly teams?: Record<string, unknown>} = {}): unknown => ({
	schemaVersion: 1,
	pools: {runners: {kind: 'upstream', maximumUnavailable: 2}},
	teams: {
		[Team.Booking]: {share: 2, limit: 200, keys: [keys[Team.Booking].declaration]},
		[Team.Invoices]: {share: 1, limit: invoicesLimit, keys: [keys[Team.Invoices].declaration]},
		...changes.teams,
	},
	queues: {
		[Queue.Open]: {
			pool: 'runners', access: 'open', repeatability: 'always', ...timeouts,
		},
		[Queue.Keyed]: {pool: 'runners', ...timeouts},
		[Queue.Once]: {pool: 'runners', repeatability: 'never', ...timeouts},
	},
});

/** Two zones, each with two entry instances and three upstreams. */
export const standardPlan: FleetPlan = {
	zones: ['zone-a', 'zone-b'], entriesPerZone: 2, upstreamsPerZone: {runners: 3}, document: createDocument(),
};

const getSource = (queue: Queue, ratePerSecond: number): LoadSource => ({
	team: Team.Booking, presentedKey: presentedKeys[Team.Booking], queue, method: 'GET', ratePerSecond, withIdempotencyKey: true,
});

/** Load on all kinds of queues; every request carries a key by which its runs are counted. */
export const createMixedSources = (ratePerSecond: number, runMilliseconds = 10): readonly LoadSource[] => [
	{...getSource(Queue.Open, ratePerSecond), presentedKey: undefined},
	getSource(Queue.Keyed, ratePerSecond),
	{...getSource(Queue.Once, ratePerSecond), method: 'POST' as const},
].map(source => ({...source, runMilliseconds}));

/** Counts of answers by type and problem code. */
export const describeAnswers = (answers: readonly CallerResponse[]): string => {
	const counts = new Map<string, number>();
	for (const {type, code} of answers) {
		const name = code === '' ? type : `${type} ${code}`;
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return [...counts].map(([name, count]) => `${count} ${name}`).join(', ');
};

export const describeCounts = ({sent, records}: LoadReport): string =>
	`${sent} sent: ${describeAnswers(records.map(({response: answer}) => answer))}`;

export type OnceRequest = {readonly idempotencyKey: string; readonly body: string; readonly runMilliseconds: number};

export const createOnceRequests = (options: {readonly count: number; readonly seed: number; readonly runMilliseconds: number}): readonly OnceRequest[] => {
	const random = createSeededRandom(options.seed);
	return Array.from({length: options.count}, (_, index) => ({
		idempotencyKey: createUuidV7({wallMilliseconds: Date.now(), random}), body: `invoice ${index}`, runMilliseconds: options.runMilliseconds,
	}));
};

/** Sends a request that may not be repeated to one entry instance. */
export const sendOnce = async (entryUrl: string, request: OnceRequest): Promise<CallerResponse> => sendRequest({
	entryUrl,
	queue: Queue.Once,
	method: 'POST',
	path: `/charge?run=${request.runMilliseconds}&label=${Team.Booking}`,
	presentedKey: presentedKeys[Team.Booking],
	idempotencyKey: request.idempotencyKey,
	body: request.body,
	timeoutMilliseconds: 3000,
});
