/** Command `npm run soak`: plays seeds one after the other and names those that broke a promise. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSoak} from './soak.js';

const usage = 'Usage: npm run soak -- [--from SEED] [--seeds N] [--faults N]\n';
const usageExitCode = 64;

const parse = () => {
	try {
		const {values} = parseArgs({options: {from: {type: 'string', default: '1'}, seeds: {type: 'string', default: '3'}, faults: {type: 'string', default: '6'}}});
		const [from, seeds, faults] = [values.from, values.seeds, values.faults].map(Number);
		if ([from, seeds, faults].every(value => Number.isSafeInteger(value))) {
			return {from: from!, seeds: seeds!, faults: faults!};
		}
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
	}

	process.stderr.write(usage);
	process.exit(usageExitCode); // eslint-disable-line unicorn/no-process-exit -- The program itself.
};

const {from, seeds, faults} = parse();
let broken = 0;
for (let seed = from; seed < from + seeds; seed += 1) {
	// eslint-disable-next-line no-await-in-loop -- One seed at a time keeps the machine free.
	const report = await runSoak({seed, faults});
	const {isSound} = report;
	broken += isSound ? 0 : 1;
	process.stdout.write(`seed ${seed}: ${report.sent} sent, ${report.accepted} accepted, ${report.ended} ended, ${report.starts} starts, ${isSound ? 'sound' : 'BROKEN'}\n`);
	if (!isSound) {
		process.stdout.write(`${JSON.stringify({
			violations: report.violations.slice(0, 5), unfinished: report.unfinished, exits: report.exits, faults: report.faults, logs: report.folder,
		}, undefined, '\t')}\n`);
	}
}

process.stdout.write(`${seeds - broken} passed, ${broken} failed\n`);
process.exitCode = broken === 0 ? 0 : 1;
