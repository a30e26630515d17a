/** Guarantees 8 and 9: leaving upstreams and planned stops. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ResponseClass, createBalancer, planLoad, runLoad,
} from '@turmericbay/demo';
import type {EntryProcess, LoadReport} from '@turmericbay/demo';
import {readMonotonicClock} from '@turmericbay/fakes';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {checkAtMostOnce, checkOwnAnswers, checkRefusals} from '../observations.js';
import {
	createMixedSources, createOnceRequests, describeCounts, sendOnce, standardPlan,
} from '../setup.js';

const boundMilliseconds = 3000;
/** The launcher's setting. A balancer that takes longer is a fault of the run, not of the daemon. */
const balancerLagMilliseconds = 2000;

type LoadShape = {
	readonly durationMilliseconds: number;
	readonly runMilliseconds: number;
	readonly entryUrls: () => readonly string[];
};

const startLoad = async ({seed}: CaseContext, options: LoadShape): Promise<LoadReport> => {
	const {durationMilliseconds, runMilliseconds, entryUrls} = options;
	return runLoad({plan: planLoad({sources: createMixedSources(40, runMilliseconds), durationMilliseconds, seed}), seed, listEntryUrls: entryUrls});
};

const leavingUpstream: FaultCase = {
	name: 'leaving upstream gets no new work',
	guarantee: 8,
	seed: 8001,
	steps: 'mixed load; after 1 s the list shows one of six upstreams as leaving; load goes on for 6 s',
	bound: 'no run starts there 3 s after the list shows it',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const load = startLoad(context, {durationMilliseconds: 7000, runMilliseconds: 10, entryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl)});
		await sleep(1000);
		const [leaving] = fleet.upstreams;
		await fleet.markLeaving(leaving!);
		const shownAt = readMonotonicClock();
		const report = await load;
		const runs = await leaving!.readStartedRuns();
		const delays = runs.map(({startedAt}) => startedAt - shownAt);
		const last = Math.max(...delays);
		context.check('the upstream had work before', delays.some(delay => delay < 0), `${delays.filter(delay => delay < 0).length} runs before`);
		context.check('no new work after 3 s', last < boundMilliseconds, `last run started ${last.toFixed(0)} ms after the list showed it`);
		checkOwnAnswers(context, report.records);
		context.check('no request suffered', report.counts[ResponseClass.Answered] === report.sent, describeCounts(report));
	},
};

const plannedStop: FaultCase = {
	name: 'SIGTERM under load',
	guarantee: 9,
	seed: 9001,
	steps: 'mixed load of 300 ms runs through a balancer that polls readiness; SIGTERM to one of four entry instances after 2 s',
	bound: 'no request is cut; the instance ends with code 0 within its bound',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const balancer = createBalancer(fleet.entries);
		const load = startLoad(context, {durationMilliseconds: 7000, runMilliseconds: 300, entryUrls: balancer.listEntryUrls});
		await sleep(2000);
		const [stopping] = fleet.entries;
		const startedAt = performance.now();
		const status = await stopping!.stop();
		const stopMilliseconds = performance.now() - startedAt;
		const report = await load;
		balancer.stop();
		const noticed = (balancer.getRemovalTime(stopping!) ?? Number.POSITIVE_INFINITY) - startedAt;
		context.check('the balancer noticed in its lag', noticed < balancerLagMilliseconds, `after ${noticed.toFixed(0)} ms`);
		const there = report.records.filter(({entryUrl}) => entryUrl === stopping!.callersUrl);
		context.check('the instance had requests', there.length > 0, `${there.length} of ${report.sent} requests went to it`);
		context.check('no request was cut', report.counts[ResponseClass.Broken] === 0, describeCounts(report));
		context.check('exit code 0', status.code === 0, `code ${status.code}, signal ${status.signal}, after ${stopMilliseconds.toFixed(0)} ms`);
		checkOwnAnswers(context, report.records);
		await checkRefusals(context, report.records);
	},
};

const stopUpstream: FaultCase = {
	name: 'upstream leaves under load and ends',
	guarantee: 9,
	seed: 9002,
	steps: 'mixed load of 100 ms runs; one upstream is shown as leaving after 1 s and gets SIGTERM 3 s later',
	bound: 'the planned stop cuts no request',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const load = startLoad(context, {durationMilliseconds: 6000, runMilliseconds: 100, entryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl)});
		await sleep(1000);
		const [leaving] = fleet.upstreams;
		await fleet.markLeaving(leaving!);
		await sleep(boundMilliseconds);
		const status = await leaving!.stop();
		const report = await load;
		context.check('the upstream ended by itself', status.code === 0, `code ${status.code}, signal ${status.signal}`);
		context.check('every request was answered', report.counts[ResponseClass.Answered] === report.sent, describeCounts(report));
	},
};

const rollingReplacement: FaultCase = {
	name: 'all entry instances replaced one after the other under load',
	guarantee: 9,
	seed: 9003,
	steps: 'mixed load through a balancer for 16 s; each entry instance in turn gets SIGTERM and is started again; keys sent before are resent afterwards',
	bound: 'no request is cut; no key runs twice',
	plan: standardPlan,
	async run(context) {
		const {fleet, seed} = context;
		const before = createOnceRequests({count: 20, seed, runMilliseconds: 10});
		const first = await Promise.all(before.map(async (request, index) => sendOnce(fleet.entries[index % fleet.entries.length]!.callersUrl, request)));
		const balancer = createBalancer(fleet.entries);
		const load = startLoad(context, {durationMilliseconds: 16_000, runMilliseconds: 50, entryUrls: balancer.listEntryUrls});
		const replaced: EntryProcess[] = [];
		for (const entry of fleet.entries) {
			await entry.stop(); // eslint-disable-line no-await-in-loop -- One after the other.
			replaced.push(await fleet.restartEntry(entry)); // eslint-disable-line no-await-in-loop
		}

		const report = await load;
		balancer.stop();
		const resent = await Promise.all(before.map(async (request, index) => sendOnce(replaced[index % replaced.length]!.callersUrl, request)));
		const served = first.filter(({type}) => type === ResponseClass.Answered).length;
		const again = resent.filter(({type}) => type === ResponseClass.Answered).length;
		context.check('no request was cut', report.counts[ResponseClass.Broken] === 0, describeCounts(report));
		context.check('keys are known after the replacement', served === before.length && again === 0, `${served} answered before, ${again} answered again`);
		await checkAtMostOnce(context, before.map(({idempotencyKey}) => idempotencyKey));
		await checkRefusals(context, report.records);
	},
};

export const leavingCases: readonly FaultCase[] = [leavingUpstream, plannedStop, stopUpstream, rollingReplacement];
