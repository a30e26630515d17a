/** Guarantee 4: no team has more requests running than its limit, measured at the upstreams. */
import {setTimeout as sleep} from 'node:timers/promises';
import {planLoad, runLoad} from '@turmericbay/demo';
import type {LoadReport, LoadSource} from '@turmericbay/demo';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {readMaximumRunning} from '../observations.js';
import {
	describeReport, invoicesLimit, presentedKeys, Queue, standardPlan, Team,
} from '../setup.js';

/** Demands about 20 concurrent runs, three times the limit. */
const source: LoadSource = {
	team: Team.Invoices, presentedKey: presentedKeys[Team.Invoices], queue: Queue.Authenticated, method: 'GET', ratePerSecond: 100, runMilliseconds: 200, timeoutMilliseconds: 2000,
};

const runTeamLoad = async ({fleet, seed}: CaseContext, durationMilliseconds: number): Promise<LoadReport> => runLoad({
	plan: planLoad({sources: [source], durationMilliseconds, seed}), seed, listEntryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl),
});

const checkLimit = async (context: CaseContext, report: LoadReport): Promise<void> => {
	const maximum = await readMaximumRunning(context.fleet, Team.Invoices);
	context.check('the limit is never exceeded', maximum > 0 && maximum <= invoicesLimit, `at most ${maximum} running of ${invoicesLimit}; ${describeReport(report)}`);
};

const limitUnderOverload: FaultCase = {
	name: 'a team demands three times its limit',
	guarantee: 4,
	seed: 4001,
	steps: 'load of one team on all four entry instances for 5 s',
	bound: 'at most 6 running on all upstreams together, and at least half of the limit is used',
	plan: standardPlan,
	async run(context) {
		const report = await runTeamLoad(context, 5000);
		await checkLimit(context, report);
		const maximum = await readMaximumRunning(context.fleet, Team.Invoices);
		context.check('at least half of the limit is used', maximum >= invoicesLimit / 2, `at most ${maximum} running`);
	},
};

const limitWithFailures: FaultCase = {
	name: 'entry instances that hold grants are killed, paused and isolated',
	guarantee: 4,
	seed: 4002,
	steps: 'the same load for 14 s; one entry instance is killed at 1 s and restarted at 3 s, one is paused from 2 s to 12 s, zone-b is isolated from 5 s to 10 s',
	bound: 'at most 6 running on all upstreams together',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const [killed, paused] = fleet.entries;
		const load = runTeamLoad(context, 14_000);
		await sleep(1000);
		await killed!.kill();
		await sleep(1000);
		paused!.pause();
		await sleep(1000);
		await fleet.restartEntry(killed!);
		await sleep(2000);
		await fleet.setZoneIsolated('zone-b', true);
		await sleep(5000);
		await fleet.setZoneIsolated('zone-b', false);
		await sleep(2000);
		paused!.resume();
		await checkLimit(context, await load);
	},
};

export const limitCases: readonly FaultCase[] = [limitUnderOverload, limitWithFailures];
