/** The platform's services fail while requests go on (section 8 of the design page). */
import {setTimeout as sleep} from 'node:timers/promises';
import {ResponseClass, planLoad, runLoad} from '@turmericbay/demo';
import type {LoadRecord} from '@turmericbay/demo';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, checkOwnAnswers, checkRefusals} from '../observations.js';
import {
	createMixedSources, describeCounts, Queue, standardPlan,
} from '../setup.js';

const outageStart = 1000;
const recoveryMilliseconds = 3000;

const isOnQueue = (queue: Queue) => ({planned}: LoadRecord): boolean => planned.source.queue === String(queue);

const checkQueueAnswered = (context: CaseContext, records: readonly LoadRecord[], queue: Queue): void => {
	const onQueue = records.filter(record => isOnQueue(queue)(record));
	const answered = onQueue.filter(({response: answer}) => answer.type === ResponseClass.Answered);
	context.check(`queue ${queue} goes on`, answered.length === onQueue.length && onQueue.length > 0, `${answered.length} of ${onQueue.length} answered`);
};

const checkClaims = (context: CaseContext, records: readonly LoadRecord[], {claims, claimBoundMilliseconds}: Outage): void => {
	const unserved = records.filter(record => isOnQueue(Queue.Once)(record) && record.response.type !== ResponseClass.Answered);
	const times = unserved.map(({planned}) => planned.startMilliseconds - outageStart);
	const last = Math.max(0, ...times);
	context.check(claims, last <= claimBoundMilliseconds, `${unserved.length} not served, the last ${last.toFixed(0)} ms after the start`);
};

type Outage = {
	readonly name: string;
	readonly seed: number;
	readonly steps: string;
	/** What the design page says about claims. */
	readonly claims: string;
	/** Claims that are not served later than this after the start break the bound. */
	readonly claimBoundMilliseconds: number;
	readonly outageMilliseconds: number;
	readonly begin: (context: CaseContext) => Promise<void>;
	readonly end: (context: CaseContext) => Promise<void>;
};

const whileDown = {claims: 'claims are refused for at most 12 s, then served from memory', claimBoundMilliseconds: 12_000, outageMilliseconds: 16_000};
/** The service works; a claim takes one read more at most. */
const whileDisturbed = {claims: 'claims go on', claimBoundMilliseconds: 0, outageMilliseconds: 5000};

const outages: readonly Outage[] = [
	{
		...whileDown,
		name: 'platform refuses connections under load',
		seed: 6003,
		steps: 'mixed load for 20 s; the platform refuses connections from 1 s to 17 s',
		begin: async ({fleet}) => fleet.platform.control.refuseConnections(true),
		end: async ({fleet}) => fleet.platform.control.refuseConnections(false),
	},
	{
		...whileDown,
		name: 'platform does not answer under load',
		seed: 6004,
		steps: 'mixed load for 20 s; the platform gives no answer from 1 s to 17 s',
		begin: async ({fleet}) => fleet.platform.control.setFaults({faults: {cut: true}}),
		end: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
	{
		...whileDisturbed,
		name: 'platform loses the answers to all writes under load',
		seed: 6005,
		steps: 'mixed load for 9 s; from 1 s to 6 s the answers to writes are lost',
		begin: async ({fleet}) => fleet.platform.control.setFaults({faults: {lostAnswers: 1_000_000}}),
		end: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
	{
		...whileDisturbed,
		name: 'platform is slow under load',
		seed: 6006,
		steps: 'mixed load for 9 s; from 1 s to 6 s every answer takes 300 ms',
		begin: async ({fleet}) => fleet.platform.control.setFaults({faults: {delayMilliseconds: 300}}),
		end: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
	{
		// The page sets no bound for claims while both happen at once: the unknown outcomes are measured.
		claims: 'claims may have an unknown outcome meanwhile',
		claimBoundMilliseconds: 5000,
		outageMilliseconds: 5000,
		name: 'platform loses the answers to all writes and is slow under load',
		seed: 6007,
		steps: 'mixed load for 9 s; from 1 s to 6 s every answer takes 300 ms and those to writes are lost',
		begin: async ({fleet}) => fleet.platform.control.setFaults({faults: {delayMilliseconds: 300, lostAnswers: 1_000_000}}),
		end: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
];

const toCase = (outage: Outage): FaultCase => ({
	name: outage.name,
	seed: outage.seed,
	steps: outage.steps,
	guarantee: 6,
	bound: `requests go on; every not-run is true; no key runs twice; ${outage.claims}`,
	plan: standardPlan,
	async run(context) {
		const {fleet, seed} = context;
		const durationMilliseconds = outageStart + outage.outageMilliseconds + recoveryMilliseconds;
		const load = runLoad({
			plan: planLoad({sources: createMixedSources(20), durationMilliseconds, seed}), seed, listEntryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl),
		});
		await sleep(outageStart);
		await outage.begin(context);
		await sleep(outage.outageMilliseconds);
		await outage.end(context);
		const {records, ...report} = await load;
		checkQueueAnswered(context, records, Queue.Open);
		checkQueueAnswered(context, records, Queue.Keyed);
		checkClaims(context, records, outage);
		checkOwnAnswers(context, records);
		await checkRefusals(context, records);
		await checkAtMostOnce(context, records.filter(record => isOnQueue(Queue.Once)(record)).map(({idempotencyKey}) => idempotencyKey));
		context.check('no connection of a caller broke', report.counts[ResponseClass.Broken] === 0, describeCounts({...report, records}));
	},
});

export const outageCases: readonly FaultCase[] = outages.map(outage => toCase(outage));
