/** Platform outages and degraded platform services under load. Guarantee 6: every not-run is true. */
import {setTimeout as sleep} from 'node:timers/promises';
import {ResponseClass, planLoad, runLoad} from '@turmericbay/demo';
import type {LoadRecord} from '@turmericbay/demo';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, checkNoMismatchedResponses, checkNotRunResponses} from '../observations.js';
import {
	createMixedSources, describeReport, Queue, standardPlan,
} from '../setup.js';

const outageStartMilliseconds = 1000;
const recoveryMilliseconds = 3000;

const createQueueFilter = (queue: Queue) => ({planned}: LoadRecord): boolean => planned.source.queue === String(queue);

const checkQueueAnswered = (context: CaseContext, records: readonly LoadRecord[], queue: Queue): void => {
	const onQueue = records.filter(record => createQueueFilter(queue)(record));
	const answered = onQueue.filter(({response}) => response.type === ResponseClass.Answered);
	context.check(`queue ${queue} stays available`, answered.length === onQueue.length && onQueue.length > 0, `${answered.length} of ${onQueue.length} answered`);
};

const checkClaims = (context: CaseContext, records: readonly LoadRecord[], {claimExpectation, maximumUnservedMilliseconds}: Outage): void => {
	const unserved = records.filter(record => createQueueFilter(Queue.NonRepeatable)(record) && record.response.type !== ResponseClass.Answered);
	const unservedTimes = unserved.map(({planned}) => planned.startMilliseconds - outageStartMilliseconds);
	const lastMilliseconds = Math.max(0, ...unservedTimes);
	context.check(claimExpectation, lastMilliseconds <= maximumUnservedMilliseconds, `${unserved.length} not served, the last ${lastMilliseconds.toFixed(0)} ms after the start`);
};

type Outage = {
	readonly name: string;
	readonly seed: number;
	readonly steps: string;
	/** Guaranteed behaviour of requests that need a claim. */
	readonly claimExpectation: string;
	/** Requests that need a claim may stay without a regular response until this time after the start of the outage. */
	readonly maximumUnservedMilliseconds: number;
	readonly outageMilliseconds: number;
	readonly injectFaults: (context: CaseContext) => Promise<void>;
	readonly clearFaults: (context: CaseContext) => Promise<void>;
};

const unavailablePlatform = {claimExpectation: 'claims are rejected for at most 12 s, then granted in memory mode', maximumUnservedMilliseconds: 12_000, outageMilliseconds: 16_000};
/** The store still applies writes; a claim needs at most one additional read. */
const degradedPlatform = {claimExpectation: 'claims stay available', maximumUnservedMilliseconds: 0, outageMilliseconds: 5000};

const outages: readonly Outage[] = [
	{
		...unavailablePlatform,
		name: 'platform refuses connections under load',
		seed: 6003,
		steps: 'mixed load for 20 s; the platform refuses connections from 1 s to 17 s',
		injectFaults: async ({fleet}) => fleet.platform.control.refuseConnections(true),
		clearFaults: async ({fleet}) => fleet.platform.control.refuseConnections(false),
	},
	{
		...unavailablePlatform,
		name: 'platform does not respond under load',
		seed: 6004,
		steps: 'mixed load for 20 s; the platform does not respond from 1 s to 17 s',
		injectFaults: async ({fleet}) => fleet.platform.control.setFaults({faults: {cut: true}}),
		clearFaults: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
	{
		...degradedPlatform,
		name: 'platform loses the responses to all writes under load',
		seed: 6005,
		steps: 'mixed load for 9 s; from 1 s to 6 s the responses to writes are lost',
		injectFaults: async ({fleet}) => fleet.platform.control.setFaults({faults: {lostAnswers: 1_000_000}}),
		clearFaults: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
	{
		...degradedPlatform,
		name: 'platform is slow under load',
		seed: 6006,
		steps: 'mixed load for 9 s; from 1 s to 6 s every response takes 300 ms',
		injectFaults: async ({fleet}) => fleet.platform.control.setFaults({faults: {delayMilliseconds: 300}}),
		clearFaults: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
	{
		// No bound is guaranteed for claims under this combination, so every unknown outcome within the outage is allowed and reported.
		claimExpectation: 'claims may have an unknown outcome during the outage',
		maximumUnservedMilliseconds: 5000,
		outageMilliseconds: 5000,
		name: 'platform loses the responses to all writes and is slow under load',
		seed: 6007,
		steps: 'mixed load for 9 s; from 1 s to 6 s every response takes 300 ms and those to writes are lost',
		injectFaults: async ({fleet}) => fleet.platform.control.setFaults({faults: {delayMilliseconds: 300, lostAnswers: 1_000_000}}),
		clearFaults: async ({fleet}) => fleet.platform.control.clearFaults(),
	},
];

const toCase = (outage: Outage): FaultCase => ({
	name: outage.name,
	seed: outage.seed,
	steps: outage.steps,
	guarantee: 6,
	bound: `requests without claims are answered; every not-run is true; no key runs twice; ${outage.claimExpectation}`,
	plan: standardPlan,
	async run(context) {
		const {fleet, seed} = context;
		const durationMilliseconds = outageStartMilliseconds + outage.outageMilliseconds + recoveryMilliseconds;
		const load = runLoad({
			plan: planLoad({sources: createMixedSources(20), durationMilliseconds, seed}), seed, listEntryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl),
		});
		await sleep(outageStartMilliseconds);
		await outage.injectFaults(context);
		await sleep(outage.outageMilliseconds);
		await outage.clearFaults(context);
		const {records, ...report} = await load;
		checkQueueAnswered(context, records, Queue.Open);
		checkQueueAnswered(context, records, Queue.Authenticated);
		checkClaims(context, records, outage);
		checkNoMismatchedResponses(context, records);
		await checkNotRunResponses(context, records);
		await checkAtMostOnce(context, records.filter(record => createQueueFilter(Queue.NonRepeatable)(record)).map(({idempotencyKey}) => idempotencyKey));
		context.check('no response is incomplete', report.counts[ResponseClass.Broken] === 0, describeReport({...report, records}));
	},
});

export const outageCases: readonly FaultCase[] = outages.map(outage => toCase(outage));
