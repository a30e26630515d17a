/**
 * Open-loop load generator: requests start at times drawn from a seed, however
 * long earlier ones take, so that a slow system does not reduce the load.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {QueueName, RandomSource, TeamName} from '@turmericbay/types';
import {millisecondsPerSecond} from '@turmericbay/types';
import {Agent} from 'undici';
import {createSeededRandom, createUuidV7} from './seeded-random.js';
import type {CallerResponse, CallerRequest} from './send.js';
import {ResponseClass, sendRequest} from './send.js';

export type LoadSource = {
	readonly team: TeamName;
	readonly presentedKey?: string;
	readonly queue: QueueName;
	readonly method: 'GET' | 'POST';
	/** Mean arrival rate of this source. */
	readonly ratePerSecond: number;
	/** Run time that the request asks of the upstream stand-in. */
	readonly runMilliseconds?: number;
	readonly timeoutMilliseconds?: number;
	/** Sends a UUIDv7 as idempotency key. */
	readonly withIdempotencyKey?: boolean;
};

export type PlannedRequest = {
	readonly startMilliseconds: number;
	readonly source: LoadSource;
	/** In [0, 1); selects one of the entry instances that the balancer lists when the request is sent. */
	readonly entryChoice: number;
	/** Unique body, so that the response to another request is recognised. */
	readonly body: string;
};

export type LoadRecord = {
	readonly planned: PlannedRequest;
	readonly entryUrl: string;
	readonly idempotencyKey: string;
	readonly response: CallerResponse;
	/** From the planned start to the end of the response. */
	readonly durationMilliseconds: number;
};

export type LoadReport = {
	readonly sent: number;
	/** Adds up to `sent`. */
	readonly counts: Readonly<Record<ResponseClass, number>>;
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

const createPath = ({source}: PlannedRequest): string => {
	const query = new URLSearchParams({label: source.team});
	if (source.runMilliseconds !== undefined) {
		query.set('run', String(source.runMilliseconds));
	}

	return `/load?${query.toString()}`;
};

const createCallerRequest = (planned: PlannedRequest, entryUrl: string, idempotencyKey: string): CallerRequest => {
	const {source, body} = planned;
	return {
		entryUrl,
		queue: source.queue,
		method: source.method,
		path: createPath(planned),
		timeoutMilliseconds: source.timeoutMilliseconds ?? defaultTimeoutMilliseconds,
		...(source.presentedKey !== undefined && {presentedKey: source.presentedKey}),
		...(idempotencyKey !== '' && {idempotencyKey}),
		...(source.method === 'POST' && {body}),
	};
};

export const countResponses = (records: readonly LoadRecord[]): Readonly<Record<ResponseClass, number>> => {
	const count = (type: ResponseClass): number => records.filter(({response}) => response.type === type).length;
	return {
		[ResponseClass.Answered]: count(ResponseClass.Answered),
		[ResponseClass.NotRun]: count(ResponseClass.NotRun),
		[ResponseClass.Unknown]: count(ResponseClass.Unknown),
		[ResponseClass.AlreadyRun]: count(ResponseClass.AlreadyRun),
		[ResponseClass.Broken]: count(ResponseClass.Broken),
		[ResponseClass.Mismatched]: count(ResponseClass.Mismatched),
	};
};

/** Sends the planned requests to the entry instances and waits until all have ended. */
export const runLoad = async (options: {
	readonly plan: readonly PlannedRequest[];
	readonly seed: number;
	/** Base URLs of the entry instances that the balancer lists at the moment. */
	readonly listEntryUrls: () => readonly string[];
}): Promise<LoadReport> => {
	const random = createSeededRandom(options.seed);
	const dispatcher = new Agent();
	const startedAt = performance.now();

	const send = async (planned: PlannedRequest): Promise<LoadRecord> => {
		await sleep(Math.max(0, startedAt + planned.startMilliseconds - performance.now()));
		const urls = options.listEntryUrls();
		const entryUrl = urls[Math.floor(planned.entryChoice * urls.length)] ?? '';
		const idempotencyKey = planned.source.withIdempotencyKey === true ? createUuidV7({wallMilliseconds: Date.now(), random}) : '';
		const response = await sendRequest({...createCallerRequest(planned, entryUrl, idempotencyKey), dispatcher});
		return {
			planned, entryUrl, idempotencyKey, response, durationMilliseconds: performance.now() - startedAt - planned.startMilliseconds,
		};
	};

	const records = await Promise.all(options.plan.map(async planned => send(planned)));
	await dispatcher.destroy();
	return {sent: records.length, counts: countResponses(records), records};
};
