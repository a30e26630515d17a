/** Guarantee 8: a leaving upstream gets no new requests; guarantee 9: planned stops interrupt no request. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ResponseClass, createBalancer, planLoad, runLoad,
} from '@turmericbay/demo';
import type {EntryProcess, LoadReport} from '@turmericbay/demo';
import {readMonotonicClock} from '@turmericbay/fakes';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, checkNoMismatchedResponses, checkNotRunResponses} from '../observations.js';
import {
	createMixedSources, createNonRepeatableRequests, describeReport, sendNonRepeatable, standardPlan,
} from '../setup.js';

const maximumDelayMilliseconds = 3000;
/** Time that the launcher's settings allow the load balancer; a slower one invalidates the run and shows no fault of the daemon. */
const maximumBalancerLagMilliseconds = 2000;

type LoadOptions = {
	readonly durationMilliseconds: number;
	readonly runMilliseconds: number;
	readonly listEntryUrls: () => readonly string[];
};

const startLoad = async ({seed}: CaseContext, options: LoadOptions): Promise<LoadReport> => {
	const {durationMilliseconds, runMilliseconds, listEntryUrls} = options;
	return runLoad({plan: planLoad({sources: createMixedSources(40, runMilliseconds), durationMilliseconds, seed}), seed, listEntryUrls});
};

const leavingUpstream: FaultCase = {
	name: 'leaving upstream gets no new requests',
	guarantee: 8,
	seed: 8001,
	steps: 'mixed load for 7 s; after 1 s the instance list marks one of six upstreams as leaving',
	bound: 'no run starts there later than 3 s after the instance list marks it',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const load = startLoad(context, {durationMilliseconds: 7000, runMilliseconds: 10, listEntryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl)});
		await sleep(1000);
		const [leaving] = fleet.upstreams;
		await fleet.markLeaving(leaving!);
		const markedAt = readMonotonicClock();
		const report = await load;
		const runs = await leaving!.readStartedRuns();
		const delays = runs.map(({startedAt}) => startedAt - markedAt);
		const lastDelay = Math.max(...delays);
		context.check('the upstream had requests before', delays.some(delay => delay < 0), `${delays.filter(delay => delay < 0).length} runs before`);
		context.check('no new requests after 3 s', lastDelay < maximumDelayMilliseconds, `last run started ${lastDelay.toFixed(0)} ms after it was marked`);
		checkNoMismatchedResponses(context, report.records);
		context.check('every request was answered', report.counts[ResponseClass.Answered] === report.sent, describeReport(report));
	},
};

const plannedStop: FaultCase = {
	name: 'SIGTERM under load',
	guarantee: 9,
	seed: 9001,
	steps: 'mixed load of 300 ms runs through a load balancer that polls readiness; SIGTERM to one of four entry instances after 2 s',
	bound: 'no request is interrupted; the instance exits with code 0 within its drain timeout',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const balancer = createBalancer(fleet.entries);
		const load = startLoad(context, {durationMilliseconds: 7000, runMilliseconds: 300, listEntryUrls: balancer.listEntryUrls});
		await sleep(2000);
		const [stopping] = fleet.entries;
		const startedAt = performance.now();
		const status = await stopping!.stop();
		const stopMilliseconds = performance.now() - startedAt;
		const report = await load;
		balancer.stop();
		const removalDelay = (balancer.getRemovalTime(stopping!) ?? Number.POSITIVE_INFINITY) - startedAt;
		context.check('the load balancer removed the instance in time', removalDelay < maximumBalancerLagMilliseconds, `after ${removalDelay.toFixed(0)} ms`);
		const ownRecords = report.records.filter(({entryUrl}) => entryUrl === stopping!.callersUrl);
		context.check('the instance had requests', ownRecords.length > 0, `${ownRecords.length} of ${report.sent} requests went to it`);
		context.check('no request was interrupted', report.counts[ResponseClass.Broken] === 0, describeReport(report));
		context.check('exit code 0', status.code === 0, `code ${status.code}, signal ${status.signal}, after ${stopMilliseconds.toFixed(0)} ms`);
		checkNoMismatchedResponses(context, report.records);
		await checkNotRunResponses(context, report.records);
	},
};

const stoppedUpstream: FaultCase = {
	name: 'upstream leaves under load and exits',
	guarantee: 9,
	seed: 9002,
	steps: 'mixed load of 100 ms runs; one upstream is marked as leaving after 1 s and gets SIGTERM 3 s later',
	bound: 'the planned stop interrupts no request',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const load = startLoad(context, {durationMilliseconds: 6000, runMilliseconds: 100, listEntryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl)});
		await sleep(1000);
		const [leaving] = fleet.upstreams;
		await fleet.markLeaving(leaving!);
		await sleep(maximumDelayMilliseconds);
		const status = await leaving!.stop();
		const report = await load;
		context.check('the upstream exited with code 0', status.code === 0, `code ${status.code}, signal ${status.signal}`);
		context.check('every request was answered', report.counts[ResponseClass.Answered] === report.sent, describeReport(report));
	},
};

const rollingReplacement: FaultCase = {
	name: 'all entry instances replaced one after the other under load',
	guarantee: 9,
	seed: 9003,
	steps: 'mixed load through a load balancer for 16 s; each entry instance in turn gets SIGTERM and is restarted; keys sent before are resent afterwards',
	bound: 'no request is interrupted; no key runs twice',
	plan: standardPlan,
	async run(context) {
		const {fleet, seed} = context;
		const before = createNonRepeatableRequests({count: 20, seed, runMilliseconds: 10});
		const first = await Promise.all(before.map(async (request, index) => sendNonRepeatable(fleet.entries[index % fleet.entries.length]!.callersUrl, request)));
		const balancer = createBalancer(fleet.entries);
		const load = startLoad(context, {durationMilliseconds: 16_000, runMilliseconds: 50, listEntryUrls: balancer.listEntryUrls});
		const replaced: EntryProcess[] = [];
		for (const entry of fleet.entries) {
			await entry.stop(); // eslint-disable-line no-await-in-loop -- One after the other.
			replaced.push(await fleet.restartEntry(entry)); // eslint-disable-line no-await-in-loop
		}

		const report = await load;
		balancer.stop();
		const resent = await Promise.all(before.map(async (request, index) => sendNonRepeatable(replaced[index % replaced.length]!.callersUrl, request)));
		const served = first.filter(({type}) => type === ResponseClass.Answered).length;
		const answeredAgain = resent.filter(({type}) => type === ResponseClass.Answered).length;
		context.check('no request was interrupted', report.counts[ResponseClass.Broken] === 0, describeReport(report));
		context.check('keys are still known after the replacement', served === before.length && answeredAgain === 0, `${served} answered before, ${answeredAgain} answered again`);
		await checkAtMostOnce(context, before.map(({idempotencyKey}) => idempotencyKey));
		await checkNotRunResponses(context, report.records);
	},
};

export const leavingCases: readonly FaultCase[] = [leavingUpstream, plannedStop, stoppedUpstream, rollingReplacement];
