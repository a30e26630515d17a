/**
 * Waits until every entry instance serves every kind of queue. A ready instance
 * has a document in force but may still lack the instance list, grants or claim
 * partitions, which the cases assume.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ResponseClass, createSeededRandom, createUuidV7, sendRequest,
} from '@turmericbay/demo';
import type {CallerResponse, EntryProcess, Fleet} from '@turmericbay/demo';
import type {RandomSource} from '@turmericbay/types';
import {
	describeResponses, presentedKeys, Queue, Team,
} from './setup.js';

const timeoutMilliseconds = 20_000;
const roundIntervalMilliseconds = 100;
/** Several consecutive rounds, since each one reaches only randomly chosen upstreams and partitions. */
const requiredRounds = 3;

const callAllQueues = async (entry: EntryProcess, random: RandomSource): Promise<readonly CallerResponse[]> => Promise.all([
	{queue: Queue.Open, team: Team.Booking}, {queue: Queue.Authenticated, team: Team.Booking}, {queue: Queue.Authenticated, team: Team.Invoices}, {queue: Queue.NonRepeatable, team: Team.Booking},
].map(async ({queue, team}) => sendRequest({
	entryUrl: entry.callersUrl,
	queue,
	method: 'POST',
	path: '/warm-up',
	presentedKey: presentedKeys[team],
	idempotencyKey: createUuidV7({wallMilliseconds: Date.now(), random}),
	body: 'warm-up',
	timeoutMilliseconds: 2000,
})));

/** Returns the milliseconds that it took; throws after the timeout, with the latest responses. */
export const waitUntilServing = async (fleet: Fleet, seed: number): Promise<number> => {
	const random = createSeededRandom(seed);
	const startedAt = performance.now();
	let consecutiveRounds = 0;
	while (consecutiveRounds < requiredRounds) {
		const responses = await Promise.all(fleet.entries.map(async entry => callAllQueues(entry, random))); // eslint-disable-line no-await-in-loop -- Rounds are consecutive.
		const isServing = responses.flat().every(({type}) => type === ResponseClass.Answered);
		consecutiveRounds = isServing ? consecutiveRounds + 1 : 0;
		if (performance.now() - startedAt > timeoutMilliseconds) {
			throw new Error(`not serving every queue after ${timeoutMilliseconds} ms; ${responses.map((group, index) => `${fleet.entries[index]!.name}: ${describeResponses(group)}`).join('; ')}`);
		}

		await sleep(roundIntervalMilliseconds); // eslint-disable-line no-await-in-loop
	}

	return performance.now() - startedAt;
};
