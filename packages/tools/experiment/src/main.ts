/** Command `npm run experiment`: compares policies under one load, or plays random fault schedules, in virtual time. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import type {Load, RunFigures, SitePolicy} from './index.js';
import {
	createRandom, drawFaults, playSchedule, runSite, smallLoad, turnsLoad, usualPolicy,
} from './index.js';

const usage = `Usage: npm run experiment -- [--load turns|small] [--policy NAME]... [--seeds N] [--faults N] [--json]
       npm run experiment -- --schedules N [--from SEED] [--json]
Policies: usual, long-lease, five-instances, two-instances.
`;
/** Exit code for wrong arguments (EX_USAGE of sysexits.h). */
const usageExitCode = 64;

const policies: ReadonlyMap<string, SitePolicy> = new Map([
	['usual', usualPolicy],
	['long-lease', {...usualPolicy, leaseMilliseconds: 2 * usualPolicy.leaseMilliseconds}],
	['five-instances', {...usualPolicy, instances: 5}],
	['two-instances', {...usualPolicy, instances: 2}],
]);
const loads: ReadonlyMap<string, Load> = new Map([turnsLoad, smallLoad].map(load => [load.name, load]));

const refuse = (message: string): never => {
	process.stderr.write(`${message}\n${usage}`);
	process.exit(usageExitCode); // eslint-disable-line unicorn/no-process-exit -- The program itself.
};

const parse = () => {
	try {
		return parseArgs({
			options: {
				load: {type: 'string', default: 'turns'},
				policy: {type: 'string', multiple: true, default: ['usual']},
				seeds: {type: 'string', default: '1'},
				faults: {type: 'string', default: '0'},
				schedules: {type: 'string'},
				from: {type: 'string', default: '1'},
				json: {type: 'boolean', default: false},
			},
		}).values;
	} catch (error) {
		return refuse(error instanceof Error ? error.message : String(error));
	}
};

const readCount = (name: string, text: string): number => {
	const value = Number(text);
	return Number.isSafeInteger(value) && value >= 0 ? value : refuse(`--${name} takes a whole number, not ${text}`);
};

const values = parse();
const progress = (text: string): void => {
	if (process.stderr.isTTY) {
		process.stderr.write(`\r${text.padEnd(60)}`);
	}
};

const print = (rows: ReadonlyArray<Readonly<Record<string, unknown>>>): void => {
	if (values.json) {
		process.stdout.write(`${JSON.stringify(rows, undefined, '\t')}\n`);
	} else {
		console.table(rows);
	}
};

const summarize = (policy: string, seed: number, figures: RunFigures) => ({
	policy, seed, sent: figures.sent, accepted: figures.accepted, completed: figures.completed, inTime: figures.inTime, late: figures.late,
	starts: figures.starts, poolSeconds: figures.poolSeconds, moves: figures.moves, median: figures.medianMilliseconds, worstTenth: figures.worstTenthMilliseconds,
	violations: figures.violations.length, unfinished: figures.unfinished.length,
});

const comparePolicies = async (load: Load): Promise<boolean> => {
	const rows: Array<ReturnType<typeof summarize>> = [];
	for (const name of values.policy) {
		const policy = policies.get(name) ?? refuse(`there is no policy ${name}`);
		for (let seed = 1; seed <= readCount('seeds', values.seeds); seed += 1) {
			progress(`${name}, seed ${seed}`);
			// eslint-disable-next-line no-await-in-loop -- Virtual time replaces the global timers of the process.
			rows.push(summarize(name, seed, await runSite({
				load, faults: drawFaults(createRandom(seed), readCount('faults', values.faults)), seed, ...policy,
			})));
		}
	}

	print(rows);
	return rows.every(({violations, unfinished}) => violations === 0 && unfinished === 0);
};

const playSchedules = async (count: number): Promise<boolean> => {
	const from = readCount('from', values.from);
	const broken: Array<Record<string, unknown>> = [];
	for (let seed = from; seed < from + count; seed += 1) {
		progress(`schedule ${seed}, ${broken.length} broken`);
		// eslint-disable-next-line no-await-in-loop -- Virtual time replaces the global timers of the process.
		const figures = await playSchedule(seed);
		const [first] = figures.violations;
		if (first !== undefined || figures.unfinished.length > 0) {
			broken.push({
				seed, rule: first?.rule ?? 'LOST', at: first?.at, what: first?.what ?? figures.unfinished[0], count: figures.violations.length + figures.unfinished.length,
			});
		}
	}

	print(broken);
	process.stdout.write(values.json ? '' : `${count - broken.length} passed, ${broken.length} failed\n`);
	return broken.length === 0;
};

const load = loads.get(values.load) ?? refuse(`there is no load ${values.load}`);
const isSound = values.schedules === undefined ? await comparePolicies(load) : await playSchedules(readCount('schedules', values.schedules));
process.exitCode = isSound ? 0 : 1;
