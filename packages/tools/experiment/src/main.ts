/** Command `npm run experiment`: compares policies under one load, or runs random fault schedules, in virtual time. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import type {Load, SimulationResult, SimulationPolicy} from './index.js';
import {
	createRandom, drawFaults, runEvacuationSchedule, runRestartSchedule, runSchedule, runSimulation, runTakeoverSchedule, runWaveSchedule, smallLoad, rotatingPeaksLoad, defaultPolicy,
} from './index.js';

const usage = `Usage: npm run experiment -- [--load turns|small] [--policy NAME]... [--seeds N] [--faults N] [--json]
       npm run experiment -- --schedules N [--evacuations|--waves|--restarts|--takeovers] [--from SEED] [--json]
Policies: usual, long-lease, five-instances, two-instances, dispatchers.
Schedules run under the first policy.
`;
/** EX_USAGE of sysexits.h. */
const usageExitCode = 64;

const policies: ReadonlyMap<string, SimulationPolicy> = new Map([
	['usual', defaultPolicy],
	['long-lease', {...defaultPolicy, leaseMilliseconds: 2 * defaultPolicy.leaseMilliseconds}],
	['five-instances', {...defaultPolicy, instances: 5}],
	['dispatchers', {...defaultPolicy, largestDirectFleet: 0}],
	['two-instances', {...defaultPolicy, instances: 2}],
]);
const loads: ReadonlyMap<string, Load> = new Map([rotatingPeaksLoad, smallLoad].map(load => [load.name, load]));

const exitWithUsage = (message: string): never => {
	process.stderr.write(`${message}\n${usage}`);
	process.exit(usageExitCode); // eslint-disable-line unicorn/no-process-exit -- Command line program.
};

const parseOptions = () => {
	try {
		return parseArgs({
			options: {
				load: {type: 'string', default: 'turns'},
				policy: {type: 'string', multiple: true, default: ['usual']},
				seeds: {type: 'string', default: '1'},
				faults: {type: 'string', default: '0'},
				schedules: {type: 'string'},
				evacuations: {type: 'boolean', default: false},
				waves: {type: 'boolean', default: false},
				restarts: {type: 'boolean', default: false},
				takeovers: {type: 'boolean', default: false},
				from: {type: 'string', default: '1'},
				json: {type: 'boolean', default: false},
			},
		}).values;
	} catch (error) {
		return exitWithUsage(error instanceof Error ? error.message : String(error));
	}
};

const parseCount = (name: string, text: string): number => {
	const value = Number(text);
	return Number.isSafeInteger(value) && value >= 0 ? value : exitWithUsage(`--${name} expects a non-negative integer, got ${text}`);
};

const values = parseOptions();
const printProgress = (text: string): void => {
	if (process.stderr.isTTY) {
		process.stderr.write(`\r${text.padEnd(60)}`);
	}
};

const printRows = (rows: ReadonlyArray<Readonly<Record<string, unknown>>>): void => {
	if (values.json) {
		process.stdout.write(`${JSON.stringify(rows, undefined, '\t')}\n`);
	} else {
		console.table(rows);
	}
};

const summarize = (policy: string, seed: number, figures: SimulationResult) => ({
	policy, seed, sent: figures.sent, accepted: figures.accepted, completed: figures.completed, inTime: figures.completedInTime, late: figures.completedLate,
	starts: figures.starts, poolSeconds: figures.poolMachineSeconds, moves: figures.machineMoves, median: figures.medianMilliseconds, worstTenth: figures.ninetiethPercentileMilliseconds,
	violations: figures.violations.length, unfinished: figures.unfinished.length,
});

const comparePolicies = async (load: Load): Promise<boolean> => {
	const rows: Array<ReturnType<typeof summarize>> = [];
	for (const name of values.policy) {
		const policy = policies.get(name) ?? exitWithUsage(`unknown policy: ${name}`);
		for (let seed = 1; seed <= parseCount('seeds', values.seeds); seed += 1) {
			printProgress(`${name}, seed ${seed}`);
			// eslint-disable-next-line no-await-in-loop -- Virtual time replaces the global timers of the process.
			rows.push(summarize(name, seed, await runSimulation({
				load, faults: drawFaults(createRandom(seed), parseCount('faults', values.faults)), seed, ...policy,
			})));
		}
	}

	printRows(rows);
	return rows.every(({violations, unfinished}) => violations === 0 && unfinished === 0);
};

const runScheduleOfKind = async (seed: number): Promise<SimulationResult> => {
	if (values.evacuations) {
		return runEvacuationSchedule(seed);
	}

	const policy = policies.get(values.policy[0] ?? 'usual') ?? exitWithUsage('unknown policy');
	if (values.restarts) {
		return runRestartSchedule(seed, policy);
	}

	if (values.takeovers) {
		return runTakeoverSchedule(seed, policy);
	}

	return values.waves ? runWaveSchedule(seed, policy) : runSchedule(seed, policy);
};

const runSchedules = async (count: number): Promise<boolean> => {
	const from = parseCount('from', values.from);
	const failedSchedules: Array<Record<string, unknown>> = [];
	for (let seed = from; seed < from + count; seed += 1) {
		printProgress(`schedule ${seed}, ${failedSchedules.length} failed`);
		// eslint-disable-next-line no-await-in-loop -- Virtual time replaces the global timers of the process.
		const figures = await runScheduleOfKind(seed);
		const [first] = figures.violations;
		if (first !== undefined || figures.unfinished.length > 0) {
			failedSchedules.push({
				seed, rule: first?.rule ?? 'LOST', at: first?.at, what: first?.what ?? figures.unfinished[0], count: figures.violations.length + figures.unfinished.length,
			});
		}
	}

	printRows(failedSchedules);
	process.stdout.write(values.json ? '' : `${count - failedSchedules.length} passed, ${failedSchedules.length} failed\n`);
	return failedSchedules.length === 0;
};

const load = loads.get(values.load) ?? exitWithUsage(`unknown load: ${values.load}`);
const isPassed = values.schedules === undefined ? await comparePolicies(load) : await runSchedules(parseCount('schedules', values.schedules));
process.exitCode = isPassed ? 0 : 1;
