/**
 * Open-loop load: requests start at seeded times, however long earlier ones
 * take, so that a slow system cannot slow the load down.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {QueueName, RandomSource, TeamName} from '@turmericbay/types';
import {millisecondsPerSecond} from '@turmericbay/types';
import {Agent} from 'undici';
import {createSeededRandom, createTimedKey} from './seeded-random.js';
import type {CallerAnswer, CallerRequest} from './send.js';
import {AnswerClass, sendRequest} from './send.js';

export type LoadSource = {
	readonly team: TeamName;
	readonly presentedKey?: string;
	readonly queue: QueueName;
	readonly method: 'GET' | 'POST';
	/** Mean rate of this source in requests a second. */
	readonly ratePerSecond: number;
	/** Run time that the upstream stand-in is asked for. */
	readonly runMilliseconds?: number;
	readonly timeoutMilliseconds?: number;
	/** Sends a UUIDv7 as idempotency key. */
	readonly withIdempotencyKey?: boolean;
};

export type PlannedRequest = {
	readonly startMilliseconds: number;
	readonly source: LoadSource;
	/** In [0, 1); picks the entry instance among those that take requests at the time. */
	readonly entryChoice: number;
	/** Distinct body, by which a mixed-up answer is recognised. */
	readonly body: string;
};

export type LoadRecord = {
	readonly planned: PlannedRequest;
	readonly entryUrl: string;
	readonly idempotencyKey: string;
	readonly answer: CallerAnswer;
	/** From the planned start to the whole answer. */
	readonly durationMilliseconds: number;
};

export type LoadReport = {
	readonly sent: number;
	/** Adds up to `sent`. */
	readonly counts: Readonly<Record<AnswerClass, number>>;
	readonly records: readonly LoadRecord[];
};

const defaultTimeoutMilliseconds = 5000;

const planSource = (source: LoadSource, durationMilliseconds: number, random: RandomSource): PlannedRequest[] => {
	const planned: PlannedRequest[] = [];
	const meanGap = millisecondsPerSecond / source.ratePerSecond;
	let startMilliseconds = 0;
	for (;;) {
		// Exponential gaps give Poisson arrivals.
		startMilliseconds -= Math.log(1 - random()) * meanGap;
		if (startMilliseconds >= durationMilliseconds) {
			return planned;
		}

		planned.push({
			startMilliseconds, source, entryChoice: random(), body: `${source.team}/${source.queue}/${planned.length}/${Math.floor(random() * 1e9)}`,
		});
	}
};

/** The same seed gives the same plan; sources do not influence each other. */
export const planLoad = (options: {
	readonly sources: readonly LoadSource[];
	readonly durationMilliseconds: number;
	readonly seed: number;
}): readonly PlannedRequest[] => options.sources
	.flatMap((source, index) => planSource(source, options.durationMilliseconds, createSeededRandom(options.seed + index)))
	.toSorted((a, b) => a.startMilliseconds - b.startMilliseconds);

const toPath = ({source}: PlannedRequest): string => {
	const query = new URLSearchParams({label: source.team});
	if (source.runMilliseconds !== undefined) {
		query.set('run', String(source.runMilliseconds));
	}

	return `/load?${query.toString()}`;
};

const toRequest = (planned: PlannedRequest, entryUrl: string, idempotencyKey: string): CallerRequest => {
	const {source, body} = planned;
	return {
		entryUrl,
		queue: source.queue,
		method: source.method,
		path: toPath(planned),
		timeoutMilliseconds: source.timeoutMilliseconds ?? defaultTimeoutMilliseconds,
		...(source.presentedKey !== undefined && {presentedKey: source.presentedKey}),
		...(idempotencyKey !== '' && {idempotencyKey}),
		...(source.method === 'POST' && {body}),
	};
};

export const countAnswers = (records: readonly LoadRecord[]): Readonly<Record<AnswerClass, number>> => {
	const count = (type: AnswerClass): number => records.filter(({answer}) => answer.type === type).length;
	return {
		[AnswerClass.Answered]: count(AnswerClass.Answered),
		[AnswerClass.NotRun]: count(AnswerClass.NotRun),
		[AnswerClass.Unknown]: count(AnswerClass.Unknown),
		[AnswerClass.AlreadyRun]: count(AnswerClass.AlreadyRun),
		[AnswerClass.Broken]: count(AnswerClass.Broken),
		[AnswerClass.Foreign]: count(AnswerClass.Foreign),
	};
};

/** Plays a plan against entry instances and waits for all answers. */
export const runLoad = async (options: {
	readonly plan: readonly PlannedRequest[];
	readonly seed: number;
	/** Base addresses of the entry instances that the balancer shows at the moment. */
	readonly entryUrls: () => readonly string[];
}): Promise<LoadReport> => {
	const random = createSeededRandom(options.seed);
	const dispatcher = new Agent();
	const startedAt = performance.now();

	const play = async (planned: PlannedRequest): Promise<LoadRecord> => {
		await sleep(Math.max(0, startedAt + planned.startMilliseconds - performance.now()));
		const urls = options.entryUrls();
		const entryUrl = urls[Math.floor(planned.entryChoice * urls.length)] ?? '';
		const idempotencyKey = planned.source.withIdempotencyKey === true ? createTimedKey({wallMilliseconds: Date.now(), random}) : '';
		const answer = await sendRequest({...toRequest(planned, entryUrl, idempotencyKey), dispatcher});
		return {
			planned, entryUrl, idempotencyKey, answer, durationMilliseconds: performance.now() - startedAt - planned.startMilliseconds,
		};
	};

	const records = await Promise.all(options.plan.map(async planned => play(planned)));
	await dispatcher.destroy();
	return {sent: records.length, counts: countAnswers(records), records};
};
