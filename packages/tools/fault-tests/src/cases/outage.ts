/** The platform's services fail while requests go on (section 8 of the design page). */
import {setTimeout as sleep} from 'node:timers/promises';
import {AnswerClass, planLoad, runLoad} from '@turmericbay/demo';
import type {LoadRecord} from '@turmericbay/demo';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, checkOwnAnswers, checkRefusals} from '../observations.js';
import {
	createMixedSources, describeCounts, Queue, standardPlan,
} from '../setup.js';

const outageStart = 1000;
const outageEnd = 17_000;
const durationMilliseconds = 20_000;
/** Claims may be refused until the owner's lease must have lapsed: 10 s plus 2 s. */
const claimRefusalBound = 12_000;

const isOnQueue = (queue: Queue) => ({planned}: LoadRecord): boolean => planned.source.queue === String(queue);

const checkQueueAnswered = (context: CaseContext, records: readonly LoadRecord[], queue: Queue): void => {
	const onQueue = records.filter(record => isOnQueue(queue)(record));
	const answered = onQueue.filter(({answer}) => answer.type === AnswerClass.Answered);
	context.check(`queue ${queue} goes on`, answered.length === onQueue.length && onQueue.length > 0, `${answered.length} of ${onQueue.length} answered`);
};

const checkClaims = (context: CaseContext, records: readonly LoadRecord[]): void => {
	const unserved = records.filter(record => isOnQueue(Queue.Once)(record) && record.answer.type !== AnswerClass.Answered);
	const times = unserved.map(({planned}) => planned.startMilliseconds - outageStart);
	const last = Math.max(0, ...times);
	context.check('claims are refused for at most 12 s', last <= claimRefusalBound, `${unserved.length} not served, the last ${last.toFixed(0)} ms after the start`);
};

type Outage = {
	readonly name: string;
	readonly seed: number;
	readonly steps: string;
	readonly begin: (context: CaseContext) => Promise<void>;
	readonly end: (context: CaseContext) => Promise<void>;
};

const outages: readonly Outage[] = [
	{
		name: 'platform refuses connections under load',
		seed: 6003,
		steps: 'mixed load for 20 s; the platform refuses connections from 1 s to 17 s',
		begin: async ({fleet}) => fleet.platform.control.refuseConnections(true),
		end: async ({fleet}) => fleet.platform.control.refuseConnections(false),
	},
	{
		name: 'platform does not answer under load',
		seed: 6004,
		steps: 'mixed load for 20 s; the platform gives no answer from 1 s to 17 s',
		begin: async ({fleet}) => fleet.platform.control.setFaults({faults: {cut: true}}),
		end: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
	{
		name: 'platform loses answers and is slow under load',
		seed: 6005,
		steps: 'mixed load for 20 s; from 1 s to 17 s every answer takes 300 ms and those to writes are lost',
		begin: async ({fleet}) => fleet.platform.control.setFaults({faults: {delayMilliseconds: 300, lostAnswers: 1_000_000}}),
		end: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
];

const toCase = ({begin, end, ...description}: Outage): FaultCase => ({
	...description,
	guarantee: 6,
	bound: 'requests go on; every not-run is true; no key runs twice; claims are refused for at most 12 s',
	plan: standardPlan,
	async run(context) {
		const {fleet, seed} = context;
		const load = runLoad({
			plan: planLoad({sources: createMixedSources(20), durationMilliseconds, seed}), seed, entryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl),
		});
		await sleep(outageStart);
		await begin(context);
		await sleep(outageEnd - outageStart);
		await end(context);
		const {records, ...report} = await load;
		checkQueueAnswered(context, records, Queue.Open);
		checkQueueAnswered(context, records, Queue.Keyed);
		checkClaims(context, records);
		checkOwnAnswers(context, records);
		await checkRefusals(context, records);
		await checkAtMostOnce(context, records.filter(record => isOnQueue(Queue.Once)(record)).map(({idempotencyKey}) => idempotencyKey));
		context.check('no connection of a caller broke', report.counts[AnswerClass.Broken] === 0, describeCounts({...report, records}));
	},
});

export const outageCases: readonly FaultCase[] = outages.map(outage => toCase(outage));
