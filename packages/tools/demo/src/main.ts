/**
 * Demo of the whole system as separate processes on loopback: stand-ins for
 * the platform and twelve upstreams, nine entry instances in three availability
 * zones, a document submitted with the command line and requests of two teams.
 * Meanwhile one upstream leaves, one entry instance is killed and another is
 * stopped. Then jobs run on stand-in workers. Prints how many requests and jobs
 * ended in which way, and fails if the counts don't add up.
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCluster} from '@turmericbay/soak';
import {createBalancer} from './balancer.js';
import {createDemoDocument} from './demo-document.js';
import {startFleet} from './fleet.js';
import type {Fleet} from './fleet.js';
import {createLauncher} from './launcher.js';
import type {Launcher} from './launcher.js';
import {planLoad, runLoad} from './load.js';
import type {LoadReport, LoadSource} from './load.js';
import {runOperatorCommand, submitFirstDocument} from './operator-commands.js';
import {ResponseClass} from './send.js';

const seed = 20_261_204;
const loadMilliseconds = 15_000;
const runMilliseconds = 20;
/** The demo fails after this time, so that it never hangs. */
const timeoutMilliseconds = 120_000;

const listSources = (keys: Readonly<Record<string, string>>): readonly LoadSource[] => [
	{
		team: 'franchise', presentedKey: keys.franchise, queue: 'book-pickup', method: 'GET', ratePerSecond: 60, runMilliseconds,
	},
	{
		team: 'stables', presentedKey: keys.stables, queue: 'book-pickup', method: 'GET', ratePerSecond: 30, runMilliseconds,
	},
	{
		team: 'franchise', presentedKey: keys.franchise, queue: 'issue-invoice', method: 'POST', ratePerSecond: 30, runMilliseconds, withIdempotencyKey: true,
	},
];

type Event = {readonly atMilliseconds: number; readonly description: string};

const injectFaults = async (fleet: Fleet, log: (description: string) => void): Promise<void> => {
	const [, killed, stopped] = fleet.entries;
	const [leaving] = fleet.upstreams;
	await sleep(3000);
	if (leaving !== undefined) {
		log(`upstream ${leaving.name} is listed as leaving`);
		await fleet.markLeaving(leaving);
	}

	await sleep(2500);
	if (killed !== undefined) {
		log(`entry instance ${killed.name} is killed`);
		await killed.kill();
		await fleet.platform.control.removeInstance(killed.record.instance);
	}

	await sleep(2500);
	if (stopped !== undefined) {
		log(`entry instance ${stopped.name} is stopped gracefully`);
		const {code} = await stopped.stop();
		log(`entry instance ${stopped.name} ended with code ${code}`);
	}
};

/** Runs per idempotency key beyond the first, over all upstreams. */
const countRepeatedRuns = async (fleet: Fleet): Promise<number> => {
	const counts = new Map<string, number>();
	const logs = await Promise.all(fleet.upstreams.map(async ({control}) => control.readRunLog()));
	for (const {idempotencyKey} of logs.flat()) {
		if (idempotencyKey !== '') {
			counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
		}
	}

	return [...counts.values()].reduce((sum, count) => sum + count - 1, 0);
};

/** Requests without an upstream's response, by queue and problem or error code. */
const countFailureCodes = ({records}: LoadReport): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const {planned, response} of records) {
		if (response.type !== ResponseClass.Answered) {
			const name = `${planned.source.queue} ${response.code}`;
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}
	}

	return counts;
};

const printReport = (report: LoadReport, repeatedRuns: number, events: readonly Event[]): boolean => {
	const {sent, counts} = report;
	const sum = Object.values(counts).reduce((total, count) => total + count, 0);
	for (const {atMilliseconds, description} of events) {
		console.log(`${(atMilliseconds / 1000).toFixed(1).padStart(6)} s  ${description}`);
	}

	const rows: ReadonlyArray<readonly [string, number]> = [
		['sent', sent],
		['answered once', counts[ResponseClass.Answered]],
		['refused not-run', counts[ResponseClass.NotRun]],
		['outcome unknown', counts[ResponseClass.Unknown]],
		['already run', counts[ResponseClass.AlreadyRun]],
		['connection broken', counts[ResponseClass.Broken]],
		['wrong answer', counts[ResponseClass.Mismatched]],
		['run twice', repeatedRuns],
	];
	console.log('');
	for (const [name, count] of rows) {
		console.log(`${name.padEnd(18)} ${String(count).padStart(6)}`);
	}

	const isCorrect = sum === sent && sent > 0 && counts[ResponseClass.Answered] > 0 && repeatedRuns === 0 && counts[ResponseClass.Mismatched] === 0;
	for (const [name, count] of countFailureCodes(report)) {
		console.log(`  ${name.padEnd(30)} ${String(count).padStart(4)}`);
	}

	console.log(`\n${isCorrect ? 'The counts add up.' : 'The counts do not add up.'}`);
	return isCorrect;
};

const runDemo = async (launcher: Launcher): Promise<boolean> => {
	const startedAt = performance.now();
	const events: Event[] = [];
	const log = (description: string) => {
		events.push({atMilliseconds: performance.now() - startedAt, description});
	};

	const {document, keys} = createDemoDocument();
	const fleet = await startFleet(launcher, {
		zones: ['south', 'east', 'west'], entriesPerZone: 3, upstreamsPerZone: {pickups: 2, invoices: 2}, document,
		async submitFirst({operationsUrl}) {
			const output = await submitFirstDocument({operationsUrl, folder: launcher.folder, document});
			log(`command line: ${output.split('\n')[0] ?? ''}`);
		},
	});
	log(`${fleet.entries.length} entry instances and ${fleet.upstreams.length} upstreams are ready`);
	const balancer = createBalancer(fleet.entries);
	const plan = planLoad({sources: listSources(keys), durationMilliseconds: loadMilliseconds, seed});
	const [report] = await Promise.all([
		runLoad({plan, seed, listEntryUrls: () => balancer.listEntryUrls()}),
		injectFaults(fleet, log),
	]);
	balancer.stop();
	const orders = await fleet.platform.control.readOrders();
	log(`the maintenance wave has rebooted ${orders.filter(({type}) => type === 'reboot').length} upstreams`);
	const operationsUrl = fleet.entries.find(entry => entry.isRunning())?.operationsUrl ?? '';
	const status = await runOperatorCommand({operationsUrl, commandArguments: ['status']});
	console.log(status);
	return printReport(report, await countRepeatedRuns(fleet), events);
};

const jobsSeed = 1;

/** Runs jobs on stand-in workers, meanwhile kills one worker and one entry instance and cancels one job. */
const runJobs = async (): Promise<boolean> => {
	const report = await runCluster({
		seed: jobsSeed,
		async injectFaults({instances, crashWorker, cancelJob}) {
			crashWorker(0);
			await sleep(1000);
			cancelJob();
			const [killed] = instances;
			killed?.signal('SIGKILL');
			await killed?.restart(1000);
			await sleep(2000);
		},
	});
	const rows: ReadonlyArray<readonly [string, number]> = [
		['jobs sent', report.sent],
		['accepted', report.accepted],
		['ended', report.ended],
		['of these cancelled', report.cancelled],
		['tasks started', report.starts],
		['run twice', report.violations.filter(({rule}) => rule === 'TWICE').length],
	];
	console.log('\nJobs, with one worker and one entry instance killed and one job cancelled:\n');
	for (const [name, count] of rows) {
		console.log(`${name.padEnd(18)} ${String(count).padStart(6)}`);
	}

	const isCorrect = report.isPassed && report.accepted === report.ended && report.cancelled === 1;
	console.log(`\n${isCorrect ? 'The counts add up.' : 'The counts do not add up.'}`);
	return isCorrect;
};

const launcher = await createLauncher();
const watchdog = setTimeout(() => {
	console.error(`the demo did not end within ${timeoutMilliseconds} ms`);
	process.exit(1); // eslint-disable-line unicorn/no-process-exit -- Exit handlers kill the child processes.
}, timeoutMilliseconds);
try {
	const isRequestDemoCorrect = await runDemo(launcher);
	process.exitCode = await runJobs() && isRequestDemoCorrect ? 0 : 1;
} finally {
	clearTimeout(watchdog);
	await launcher.shutDown();
}
