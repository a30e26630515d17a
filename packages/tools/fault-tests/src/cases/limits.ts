/** Guarantee 4: no team has more running than its limit, measured at the upstreams. */
import {setTimeout as sleep} from 'node:timers/promises';
import {planLoad, runLoad} from '@turmericbay/demo';
import type {LoadReport, LoadSource} from '@turmericbay/demo';
import type {CaseContext, FaultCase} from '../fault-case.js';
import {readMaximumRunning} from '../observations.js';
import {
	describeCounts, invoicesLimit, presentedKeys, Queue, standardPlan, Team,
} from '../setup.js';

/** About 20 runs at a time are asked for, three times the limit. */
const source: LoadSource = {
	team: Team.Invoices, presentedKey: presentedKeys[Team.Invoices], queue: Queue.Keyed, method: 'GET', ratePerSecond: 100, runMilliseconds: 200, timeoutMilliseconds: 2000,
};

const playLoad = async ({fleet, seed}: CaseContext, durationMilliseconds: number): Promise<LoadReport> => runLoad({
	plan: planLoad({sources: [source], durationMilliseconds, seed}), seed, listEntryUrls: () => fleet.entries.map(({callersUrl}) => callersUrl),
});

const checkLimit = async (context: CaseContext, report: LoadReport): Promise<void> => {
	const maximum = await readMaximumRunning(context.fleet, Team.Invoices);
	context.check('never above the limit', maximum > 0 && maximum <= invoicesLimit, `at most ${maximum} running of ${invoicesLimit}; ${describeCounts(report)}`);
};

const steadyLimit: FaultCase = {
	name: 'a team asks for three times its limit',
	guarantee: 4,
	seed: 4001,
	steps: 'load of one team at all four entry instances for 5 s',
	bound: 'at most 6 running over all upstreams, and at least half of the limit is used',
	plan: standardPlan,
	async run(context) {
		const report = await playLoad(context, 5000);
		await checkLimit(context, report);
		const maximum = await readMaximumRunning(context.fleet, Team.Invoices);
		context.check('the limit can be used', maximum >= invoicesLimit / 2, `at most ${maximum} running`);
	},
};

const limitWithFailures: FaultCase = {
	name: 'holders of the limit are killed, frozen and cut off',
	guarantee: 4,
	seed: 4002,
	steps: 'the same load for 14 s; one entry instance is killed at 1 s and replaced at 3 s, one is frozen from 2 s to 12 s, zone-b is cut off from 5 s to 10 s',
	bound: 'at most 6 running over all upstreams',
	plan: standardPlan,
	async run(context) {
		const {fleet} = context;
		const [killed, frozen] = fleet.entries;
		const load = playLoad(context, 14_000);
		await sleep(1000);
		await killed!.kill();
		await sleep(1000);
		frozen!.pause();
		await sleep(1000);
		await fleet.restartEntry(killed!);
		await sleep(2000);
		await fleet.setZoneIsolated('zone-b', true);
		await sleep(5000);
		await fleet.setZoneIsolated('zone-b', false);
		await sleep(2000);
		frozen!.resume();
		await checkLimit(context, await load);
	},
};

export const limitCases: readonly FaultCase[] = [steadyLimit, limitWithFailures];
