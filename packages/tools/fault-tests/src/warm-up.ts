/**
 * Waits until every entry instance serves every kind of queue. Readiness only
 * says that a document is in force; instance list, grants and claim partitions
 * follow, and the cases are about a fleet that has them.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ResponseClass, createSeededRandom, createUuidV7, sendRequest,
} from '@turmericbay/demo';
import type {CallerResponse, EntryProcess, Fleet} from '@turmericbay/demo';
import type {RandomSource} from '@turmericbay/types';
import {
	describeAnswers, presentedKeys, Queue, Team,
} from './setup.js';

const boundMilliseconds = 20_000;
const roundMilliseconds = 100;
/** Rounds in a row, so that the random choice meets more than one upstream and partition. */
const neededRounds = 3;

const callAll = async (entry: EntryProcess, random: RandomSource): Promise<readonly CallerResponse[]> => Promise.all([
	{queue: Queue.Open, team: Team.Booking}, {queue: Queue.Keyed, team: Team.Booking}, {queue: Queue.Keyed, team: Team.Invoices}, {queue: Queue.Once, team: Team.Booking},
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

/** Returns how long it took; throws after the bound, with the last answers. */
export const warmUp = async (fleet: Fleet, seed: number): Promise<number> => {
	const random = createSeededRandom(seed);
	const startedAt = performance.now();
	let roundsInRow = 0;
	while (roundsInRow < neededRounds) {
		const answers = await Promise.all(fleet.entries.map(async entry => callAll(entry, random))); // eslint-disable-line no-await-in-loop -- Rounds follow each other.
		const isServed = answers.flat().every(({type}) => type === ResponseClass.Answered);
		roundsInRow = isServed ? roundsInRow + 1 : 0;
		if (performance.now() - startedAt > boundMilliseconds) {
			throw new Error(`not warm after ${boundMilliseconds} ms; ${answers.map((group, index) => `${fleet.entries[index]!.name}: ${describeAnswers(group)}`).join('; ')}`);
		}

		await sleep(roundMilliseconds); // eslint-disable-line no-await-in-loop
	}

	return performance.now() - startedAt;
};
