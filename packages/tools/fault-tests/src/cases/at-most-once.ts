/** Guarantee 7: a non-repeatable request runs at most once. */
import {setTimeout as sleep} from 'node:timers/promises';
import {ResponseClass} from '@turmericbay/demo';
import type {CallerResponse, EntryProcess} from '@turmericbay/demo';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, countRunsByKey, readAllRuns} from '../observations.js';
import {
	createNonRepeatableRequests, describeResponses, sendNonRepeatable, standardPlan,
} from '../setup.js';
import type {NonRepeatableRequest} from '../setup.js';

const sendAll = async (requests: readonly NonRepeatableRequest[], entries: readonly EntryProcess[]): Promise<readonly CallerResponse[]> =>
	Promise.all(requests.map(async (request, index) => sendNonRepeatable(entries[index % entries.length]!.callersUrl, request)));

/** Sends each request once per round with the same idempotency key, each round to another entry instance, as callers do that retry without a complete response. */
const resend = async (requests: readonly NonRepeatableRequest[], entries: readonly EntryProcess[], rounds: number): Promise<readonly CallerResponse[]> => {
	const responses = await sendAll(requests, entries);
	if (rounds <= 1) {
		return responses;
	}

	await sleep(1000);
	const rotatedEntries = [...entries.slice(1), ...entries.slice(0, 1)];
	return [...responses, ...await resend(requests, rotatedEntries, rounds - 1)];
};

const checkKeys = async (context: CaseContext, requests: readonly NonRepeatableRequest[]): Promise<void> =>
	checkAtMostOnce(context, requests.map(({idempotencyKey}) => idempotencyKey));

/** Checks that no upstream ran a key whose last response was `not-run`. */
const checkNotRun = async (context: CaseContext, requests: readonly NonRepeatableRequest[], responses: readonly CallerResponse[]): Promise<void> => {
	const counts = countRunsByKey(await readAllRuns(context.fleet));
	const notRun = requests.filter((_, index) => responses[index]?.type === ResponseClass.NotRun);
	const falseNotRuns = notRun.filter(({idempotencyKey}) => (counts.get(idempotencyKey) ?? 0) > 0);
	context.check('every not-run is true', falseNotRuns.length === 0, `${notRun.length} not-run responses, ${falseNotRuns.length} of them false`);
};

const requestCount = 40;

const killDuringSend: FaultCase = {
	name: 'entry instance killed with requests in flight',
	guarantee: 7,
	seed: 7001,
	steps: '40 requests that run 400 ms are sent to one entry instance; SIGKILL after 200 ms; resent with the same keys to the others in three rounds',
	bound: 'no key runs twice',
	plan: standardPlan,
	async run(context) {
		const [first, ...others] = context.fleet.entries;
		const requests = createNonRepeatableRequests({count: requestCount, seed: context.seed, runMilliseconds: 400});
		const sending = sendAll(requests, [first!]);
		await sleep(200);
		await first!.kill();
		const interrupted = await sending;
		const started = countRunsByKey(await readAllRuns(context.fleet)).size;
		context.check('the kill hit requests in flight', started > 0 && interrupted.some(({type}) => type === ResponseClass.Broken), `${started} had started; ${describeResponses(interrupted)}`);
		const resent = await resend(requests, others, 3);
		await checkKeys(context, requests);
		await checkNotRun(context, requests, resent.slice(-requestCount));
	},
};

const sendDuplicates: FaultCase = {
	name: 'same key sent to all entry instances concurrently',
	guarantee: 7,
	seed: 7002,
	steps: '40 keys, each sent to all four entry instances at the same time',
	bound: 'no key runs twice; each key is answered by exactly one entry instance',
	plan: standardPlan,
	async run(context) {
		const {entries} = context.fleet;
		const requests = createNonRepeatableRequests({count: requestCount, seed: context.seed, runMilliseconds: 50});
		const responses = await Promise.all(requests.map(async request => sendAll(entries.map(() => request), entries)));
		const answeredOnce = responses.filter(group => group.filter(({type}) => type === ResponseClass.Answered).length === 1);
		context.check('each key is answered by exactly one entry instance', answeredOnce.length === requestCount, `${answeredOnce.length} of ${requestCount}; ${describeResponses(responses.flat())}`);
		await checkKeys(context, requests);
	},
};

const pauseMilliseconds = 13_000;

const pauseEntry: FaultCase = {
	name: 'entry instance paused longer than its lease',
	guarantee: 7,
	seed: 7003,
	steps: '40 requests are sent to one entry instance, which is paused 30 ms later for 13 s; resent with the same keys to the others; resumed',
	bound: 'no key runs twice',
	plan: standardPlan,
	async run(context) {
		const [first, ...others] = context.fleet.entries;
		const requests = createNonRepeatableRequests({count: requestCount, seed: context.seed, runMilliseconds: 200});
		const sending = sendAll(requests, [first!]);
		await sleep(30);
		first!.pause();
		const resending = resend(requests, others, 3);
		await sleep(pauseMilliseconds);
		first!.resume();
		await Promise.all([sending, resending]);
		const resent = await resend(requests, context.fleet.entries, 1);
		await checkKeys(context, requests);
		context.check('all entry instances respond again', resent.every(({type}) => type !== ResponseClass.Broken), describeResponses(resent));
	},
};

const outageMilliseconds = 16_000;

const platformOutage: FaultCase = {
	name: 'platform outage while keys are resent',
	guarantee: 7,
	seed: 7004,
	steps: 'platform outage of 16 s; 40 keys sent before, resent during and after it, and 40 new keys each at the start and at the end of the outage',
	bound: 'no key runs twice; requests that need a claim get not-run for at most 12 s, then claims are granted in memory mode',
	plan: standardPlan,
	async run(context) {
		const {entries, platform} = context.fleet;
		const before = createNonRepeatableRequests({count: requestCount, seed: context.seed, runMilliseconds: 20});
		await sendAll(before, entries);
		await platform.control.refuseConnections(true);
		const early = createNonRepeatableRequests({count: requestCount, seed: context.seed + 100, runMilliseconds: 20});
		const earlyResponses = await sendAll(early, entries);
		await sleep(outageMilliseconds - 3000);
		const late = createNonRepeatableRequests({count: requestCount, seed: context.seed + 200, runMilliseconds: 20});
		const lateResponses = await sendAll(late, entries);
		await resend(before, entries, 1);
		await platform.control.refuseConnections(false);
		await sleep(3000);
		const all = [...before, ...early, ...late];
		await resend(all, entries.toReversed(), 2);
		const served = lateResponses.filter(({type}) => type === ResponseClass.Answered).length;
		context.check('claims are granted in memory mode after 12 s', served === requestCount, `at the start: ${describeResponses(earlyResponses)}; after 13 s: ${describeResponses(lateResponses)}`);
		await checkKeys(context, all);
	},
};

export const atMostOnceCases: readonly FaultCase[] = [killDuringSend, sendDuplicates, pauseEntry, platformOutage];
