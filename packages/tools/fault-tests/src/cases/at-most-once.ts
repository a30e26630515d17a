/** Guarantee 7: a request that may not be repeated runs at most once. */
import {setTimeout as sleep} from 'node:timers/promises';
import {ResponseClass} from '@turmericbay/demo';
import type {CallerResponse, EntryProcess} from '@turmericbay/demo';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, countRunsByKey, readAllRuns} from '../observations.js';
import {
	createOnceRequests, describeAnswers, sendOnce, standardPlan,
} from '../setup.js';
import type {OnceRequest} from '../setup.js';

const sendAll = async (requests: readonly OnceRequest[], entries: readonly EntryProcess[]): Promise<readonly CallerResponse[]> =>
	Promise.all(requests.map(async (request, index) => sendOnce(entries[index % entries.length]!.callersUrl, request)));

/** Callers that got no answer, or a promise that nothing ran, send again with the same key. */
const resend = async (requests: readonly OnceRequest[], entries: readonly EntryProcess[], rounds: number): Promise<readonly CallerResponse[]> => {
	const answers = await sendAll(requests, entries);
	if (rounds <= 1) {
		return answers;
	}

	await sleep(1000);
	const rotated = [...entries.slice(1), ...entries.slice(0, 1)];
	return [...answers, ...await resend(requests, rotated, rounds - 1)];
};

const checkKeys = async (context: CaseContext, requests: readonly OnceRequest[]): Promise<void> =>
	checkAtMostOnce(context, requests.map(({idempotencyKey}) => idempotencyKey));

/** An upstream that ran a key whose last answer promised `not-run` makes that promise untrue. */
const checkNotRun = async (context: CaseContext, requests: readonly OnceRequest[], answers: readonly CallerResponse[]): Promise<void> => {
	const counts = countRunsByKey(await readAllRuns(context.fleet));
	const refused = requests.filter((_, index) => answers[index]?.type === ResponseClass.NotRun);
	const untrue = refused.filter(({idempotencyKey}) => (counts.get(idempotencyKey) ?? 0) > 0);
	context.check('every not-run is true', untrue.length === 0, `${refused.length} refusals, ${untrue.length} untrue`);
};

const requestCount = 40;

const killDuringSend: FaultCase = {
	name: 'entry instance killed in the middle of sending',
	guarantee: 7,
	seed: 7001,
	steps: '40 requests that run 400 ms at one entry instance; SIGKILL after 200 ms; resent with the same keys at the others, three rounds',
	bound: 'no key runs twice',
	plan: standardPlan,
	async run(context) {
		const [first, ...others] = context.fleet.entries;
		const requests = createOnceRequests({count: requestCount, seed: context.seed, runMilliseconds: 400});
		const sending = sendAll(requests, [first!]);
		await sleep(200);
		await first!.kill();
		const cut = await sending;
		const started = countRunsByKey(await readAllRuns(context.fleet)).size;
		context.check('the kill hit requests in flight', started > 0 && cut.some(({type}) => type === ResponseClass.Broken), `${started} had started; ${describeAnswers(cut)}`);
		const again = await resend(requests, others, 3);
		await checkKeys(context, requests);
		await checkNotRun(context, requests, again.slice(-requestCount));
	},
};

const raceDuplicates: FaultCase = {
	name: 'one key raced at all entry instances',
	guarantee: 7,
	seed: 7002,
	steps: '40 keys, each sent at the same time at all four entry instances',
	bound: 'no key runs twice; each key gets one answer',
	plan: standardPlan,
	async run(context) {
		const {entries} = context.fleet;
		const requests = createOnceRequests({count: requestCount, seed: context.seed, runMilliseconds: 50});
		const answers = await Promise.all(requests.map(async request => sendAll(entries.map(() => request), entries)));
		const answeredOnce = answers.filter(group => group.filter(({type}) => type === ResponseClass.Answered).length === 1);
		context.check('each key is answered at one place', answeredOnce.length === requestCount, `${answeredOnce.length} of ${requestCount}; ${describeAnswers(answers.flat())}`);
		await checkKeys(context, requests);
	},
};

const freezeMilliseconds = 13_000;

const freezeEntry: FaultCase = {
	name: 'entry instance frozen longer than its lease',
	guarantee: 7,
	seed: 7003,
	steps: '40 requests at one entry instance; frozen 30 ms later for 13 s; resent with the same keys at the others; thawed',
	bound: 'no key runs twice',
	plan: standardPlan,
	async run(context) {
		const [first, ...others] = context.fleet.entries;
		const requests = createOnceRequests({count: requestCount, seed: context.seed, runMilliseconds: 200});
		const sending = sendAll(requests, [first!]);
		await sleep(30);
		first!.pause();
		const resending = resend(requests, others, 3);
		await sleep(freezeMilliseconds);
		first!.resume();
		await Promise.all([sending, resending]);
		const again = await resend(requests, context.fleet.entries, 1);
		await checkKeys(context, requests);
		context.check('all entry instances answer again', again.every(({type}) => type !== ResponseClass.Broken), describeAnswers(again));
	},
};

const outageMilliseconds = 16_000;

const platformOutage: FaultCase = {
	name: 'platform down while keys are resent',
	guarantee: 7,
	seed: 7004,
	steps: 'platform down for 16 s; 40 keys sent before, resent during and after, and 40 new keys each at the start and at the end of the outage',
	bound: 'no key runs twice; claims are refused not-run for at most 12 s, then served from memory',
	plan: standardPlan,
	async run(context) {
		const {entries, platform} = context.fleet;
		const before = createOnceRequests({count: requestCount, seed: context.seed, runMilliseconds: 20});
		await sendAll(before, entries);
		await platform.control.refuseConnections(true);
		const early = createOnceRequests({count: requestCount, seed: context.seed + 100, runMilliseconds: 20});
		const earlyAnswers = await sendAll(early, entries);
		await sleep(outageMilliseconds - 3000);
		const late = createOnceRequests({count: requestCount, seed: context.seed + 200, runMilliseconds: 20});
		const lateAnswers = await sendAll(late, entries);
		await resend(before, entries, 1);
		await platform.control.refuseConnections(false);
		await sleep(3000);
		const all = [...before, ...early, ...late];
		await resend(all, entries.toReversed(), 2);
		const served = lateAnswers.filter(({type}) => type === ResponseClass.Answered).length;
		context.check('claims are served from memory after 12 s', served === requestCount, `at the start: ${describeAnswers(earlyAnswers)}; after 13 s: ${describeAnswers(lateAnswers)}`);
		await checkKeys(context, all);
	},
};

export const atMostOnceCases: readonly FaultCase[] = [killDuringSend, raceDuplicates, freezeEntry, platformOutage];
